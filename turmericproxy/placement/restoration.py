"""Hold back registrations that an older copy of the store has brought back."""

from turmericproxy.logs import Part, log_event
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.placement.starts import RememberedStarts

# Time in which upstreams write their registrations again, and in which those of upstreams that are
# gone expire: three heartbeats and a margin.
RESTORATION_SECONDS = 6.0


class RestorationGuard:
    """Decide which registrations are older than what this host knows; times are in seconds."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._registry = registry
        self._removed = RememberedStarts()
        self._until = 0.0

    def begin(self, now: float) -> None:
        """Start to hold back older registrations, after the store was restored."""
        self._until = now + RESTORATION_SECONDS

    def record_removed(self, entry: UpstreamEntry) -> None:
        """Remember an upstream that is gone."""
        self._removed.record(entry.instance, entry.started_at)

    def is_outdated(self, entry: UpstreamEntry, now: float) -> bool:
        """Return whether a registration contradicts what was known before the restoration."""
        if now >= self._until:
            return False
        state = self._registry.find(entry.instance)
        if state is None:
            is_outdated = self._removed.holds(entry.instance, entry.started_at)
        elif entry.started_at == state.entry.started_at:
            was_draining = state.entry.state is EntryState.DRAINING
            is_outdated = was_draining and entry.state is EntryState.READY
        else:
            is_outdated = entry.started_at < state.entry.started_at
        if is_outdated:
            log_event(
                Part.ROUTING,
                "outdated registration ignored",
                upstream=entry.instance,
                started_at=entry.started_at,
                state=entry.state.value,
            )
        return is_outdated
