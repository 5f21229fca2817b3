"""Remember the work of lost peers that engines may still hold, and find engines without room."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import UpstreamState

# Time after which most requests of a lost peer have ended. Others can't use the memory until then,
# so it isn't much longer than usual streams under load.
LOST_WORK_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class LostWork:
    """Tokens that a lost peer had reserved at one start of an engine, and when to forget them."""

    started_at: int
    reserved_tokens: int
    expires_at: float


class LostWorkMonitor:
    """Hold the last known work of peers that were lost a short time ago."""

    def __init__(self) -> None:
        self._by_engine: dict[InstanceId, dict[HostName, LostWork]] = {}
        self._next_expiry = 0.0

    def record_lost(self, host: HostName, states: Iterable[UpstreamState], now: float) -> None:
        """Remember the work of a peer that is about to be forgotten."""
        for state in states:
            work = state.work_by_peer.get(host)
            if work and work.reserved_tokens:
                lost = LostWork(
                    state.entry.started_at, work.reserved_tokens, now + LOST_WORK_SECONDS
                )
                self._by_engine.setdefault(state.entry.instance, {})[host] = lost

    def record_returned(self, host: HostName) -> None:
        """Forget the work of a peer that reports its current work again."""
        for works in self._by_engine.values():
            works.pop(host, None)

    def count_tokens(self, state: UpstreamState, now: float) -> int:
        """Return the tokens that lost peers may still have reserved at an engine."""
        works = self._by_engine.get(state.entry.instance)
        if not works:
            return 0
        current = {h: w for h, w in works.items() if w.expires_at > now}
        if current:
            self._by_engine[state.entry.instance] = current
        else:
            del self._by_engine[state.entry.instance]
        return sum(
            w.reserved_tokens for w in current.values() if w.started_at == state.entry.started_at
        )


def find_full_engines(
    states: Iterable[UpstreamState],
    needed_tokens: int,
    capacity_tokens: int,
    lost_tokens: Mapping[InstanceId, int],
) -> frozenset[InstanceId]:
    """Return the engines whose memory would be exceeded by one more request of that size."""
    limit = capacity_tokens - needed_tokens
    return frozenset(
        state.entry.instance
        for state in states
        if state.reserved_tokens + lost_tokens.get(state.entry.instance, 0) > limit
    )
