"""Remember starts of upstreams."""

from turmericproxy.core.ids import InstanceId

# Upstreams that are remembered; the oldest records are dropped.
MAX_REMEMBERED_UPSTREAMS = 4096


class RememberedStarts:
    """Remember one start of each upstream by its start time, in Unix milliseconds."""

    def __init__(self) -> None:
        self._started_at: dict[InstanceId, int] = {}

    def record(self, instance: InstanceId, started_at: int) -> None:
        """Remember a start, in place of an earlier one of the same upstream."""
        self._started_at.pop(instance, None)
        self._started_at[instance] = started_at
        if len(self._started_at) > MAX_REMEMBERED_UPSTREAMS:
            del self._started_at[next(iter(self._started_at))]

    def holds(self, instance: InstanceId, started_at: int) -> bool:
        """Return whether this start is remembered."""
        return self._started_at.get(instance) == started_at

    def list_all(self) -> tuple[tuple[InstanceId, int], ...]:
        """Return the remembered upstreams with their start times."""
        return tuple(self._started_at.items())
