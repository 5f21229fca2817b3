"""Hold the resources that operators create and spread their changes."""

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
