"""Hold what upstreams register of themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId, ServiceName


class EntryState(Enum):
    """Tell whether an upstream takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Hold the registration of one upstream.

    ``started_at`` is the time that the upstream gives for its start, in Unix milliseconds; it
    tells two lives under one id apart. ``versions`` holds the version of each model's weights.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    domain: str
    slots: int
    state: EntryState
    started_at: int = 0
    versions: Mapping[ModelName, int] = field(default_factory=dict)
