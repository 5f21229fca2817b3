"""Remember the pauses that removed upstreams had asked for."""

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.entries import UpstreamEntry
from turmericproxy.placement.health import Health
from turmericproxy.placement.starts import MAX_REMEMBERED_UPSTREAMS


class RequestedPauses:
    """Remember the health of removed upstreams that had asked for a pause, by their start."""

    def __init__(self) -> None:
        self._health: dict[InstanceId, tuple[int, Health]] = {}

    def record(self, entry: UpstreamEntry, health: Health) -> None:
        """Remember the health of a removed upstream if it had asked for a pause."""
        if not health.silent_until:
            return
        self._health.pop(entry.instance, None)
        self._health[entry.instance] = (entry.started_at, health)
        if len(self._health) > MAX_REMEMBERED_UPSTREAMS:
            del self._health[next(iter(self._health))]

    def restore(self, entry: UpstreamEntry) -> Health:
        """Return the health of a registered upstream; a new start has asked for nothing."""
        started_at, health = self._health.pop(entry.instance, (None, Health()))
        return health if started_at == entry.started_at else Health()
