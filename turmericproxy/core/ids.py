"""Define the types of names and identifiers."""

import uuid
from typing import NewType

AccountName = NewType("AccountName", str)
AttemptId = NewType("AttemptId", str)
DomainName = NewType("DomainName", str)
EngineName = NewType("EngineName", str)
InstanceId = NewType("InstanceId", str)
HostName = NewType("HostName", str)
Incarnation = NewType("Incarnation", str)
KeyId = NewType("KeyId", str)
ModelName = NewType("ModelName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)


def create_id() -> str:
    """Return a new random identifier of 32 hexadecimal digits."""
    return uuid.uuid4().hex
