"""Store the resources that operators create, and replicate changes of them to all hosts."""

from turmericproxy.configuration.resources import (
    RESOURCE_TYPES,
    Account,
    Engine,
    Key,
    Kind,
    Model,
    Resource,
    Route,
    Upstream,
    UpstreamState,
)
from turmericproxy.configuration.snapshot import Snapshot, VersionedResource, replace_resource

__all__ = [
    "RESOURCE_TYPES",
    "Account",
    "Engine",
    "Key",
    "Kind",
    "Model",
    "Resource",
    "Route",
    "Snapshot",
    "Upstream",
    "UpstreamState",
    "VersionedResource",
    "replace_resource",
]
