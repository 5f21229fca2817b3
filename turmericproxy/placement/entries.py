"""Define the registrations of upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId, ServiceName


class EntryState(Enum):
    """Tell whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Hold the registration of one upstream.

    ``started_at`` is the start time that the upstream reports, in Unix milliseconds; it
    distinguishes a restarted upstream from its predecessor with the same id. ``versions`` holds the
    version of each model's weights, ``software`` the version of the upstream's own software.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    domain: str
    slots: int
    state: EntryState
    started_at: int = 0
    versions: Mapping[ModelName, int] = field(default_factory=dict)
    software: str = ""
