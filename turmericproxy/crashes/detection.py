"""Find out whether an engine has ended, rather than only an answer or a connection."""

import asyncio
from enum import Enum

from turmericproxy.crashes.evidence import EngineStart
from turmericproxy.edge.upstream import NotConnected, open_connection
from turmericproxy.placement.entries import EntryState
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState

# Many round trips between failure domains.
CONNECT_TIMEOUT_SECONDS = 0.15


class EngineStatus(Enum):
    """Tell what this host knows of one start of an engine."""

    RUNNING = "running"
    ENDED = "ended"
    # Unknown, leaving as planned, or gone from the list of upstreams.
    UNCLEAR = "unclear"


class EndDetector:
    """Determine the status of engines from the registry, or by a connection."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._registry = registry

    def is_eligible(self, engine: EngineStart) -> bool:
        """Return whether an end of the engine would be unplanned."""
        return _is_in_use(self._registry.find(engine.instance), engine)

    def is_leaving(self, engine: EngineStart) -> bool:
        """Return whether the engine has announced that it leaves, so that its end is planned."""
        state = self._registry.find(engine.instance)
        return state is not None and not _is_in_use(state, engine)

    def read_status(self, engine: EngineStart) -> EngineStatus:
        """Return what the registry shows, without a connection."""
        state = self._registry.find(engine.instance)
        if state and state.entry.started_at != engine.started_at:
            return EngineStatus.ENDED
        if state is None or state.is_leaving or state.entry.state is EntryState.DRAINING:
            return EngineStatus.UNCLEAR
        is_gone = state.is_refusing or state.is_superseded
        return EngineStatus.ENDED if is_gone else EngineStatus.RUNNING

    async def probe(self, engine: EngineStart) -> EngineStatus:
        """Open a connection to an engine that looks alive, to see whether it is refused."""
        status = self.read_status(engine)
        state = self._registry.find(engine.instance)
        if status is not EngineStatus.RUNNING or state is None:
            return status
        transport = await open_connection(state.entry.address, CONNECT_TIMEOUT_SECONDS)
        if isinstance(transport, NotConnected):
            if transport.is_refused:
                self._registry.record_refused_connection(engine.instance)
            return self.read_status(engine)
        transport.abort()
        return EngineStatus.RUNNING


def _is_in_use(state: UpstreamState | None, engine: EngineStart) -> bool:
    if state is None:
        return False
    if state.entry.started_at != engine.started_at:
        return True
    return state.entry.state is EntryState.READY and not state.is_leaving


async def wait_and_probe(
    detector: EndDetector, engine: EngineStart, delays: tuple[float, ...]
) -> EngineStatus:
    """Probe an engine after each of some delays in seconds, until it isn't running."""
    status = EngineStatus.RUNNING
    for delay in delays:
        await asyncio.sleep(delay)
        status = await detector.probe(engine)
        if status is not EngineStatus.RUNNING:
            break
    return status
