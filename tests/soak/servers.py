"""Run server stand-ins behind relays, and record the requests and orders that reach them."""

import asyncio
import itertools
from dataclasses import dataclass, field

from tests.soak.history import History, LoadOrder, ReceivedRequest
from tests.soak.relay import Relay
from turmericproxy.edge import AnswerWriter, ClientRequest
from turmericproxy.standins.platform_wire_server import WireServer
from turmericproxy.standins.platform_wire_store import WireStore

_INSTANCE_NUMBERS = itertools.count(1)
EVENTS_PER_STREAM = 6
# Engines end when they begin an answer on a prompt with this part.
CRASHING_PART = "bad"
ENGINE_RESTART_SECONDS = 1.0
EVENT_INTERVAL_SECONDS, SLOW_EVENT_INTERVAL_SECONDS = 0.04, 1.2


@dataclass
class Server:
    """Manage one server and its relay; a replacement gets a new instance name."""

    service: str
    model: str | None
    domain: str
    store: WireStore
    history: History
    registration: dict[str, object] = field(default_factory=dict)

    async def start(self, version: int = 1) -> None:
        """Start a new instance and register it."""
        number = next(_INSTANCE_NUMBERS)
        self.wire = _RecordingServer(
            f"{self.service}-{number}",
            self.service,
            self.model,
            version,
            EVENTS_PER_STREAM,
            self.domain,
            load_seconds=0.2,
            event_interval=EVENT_INTERVAL_SECONDS,
            born=number,
        )
        self.wire.history = self.history
        wire = self.wire
        wire.crashing_parts = frozenset({CRASHING_PART})
        wire.on_end = lambda: self._handle_end(wire)
        await self.wire.start()
        self.relay = Relay(self.wire.address)
        await self.relay.start()
        self.address = self.relay.address
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the registration to the store if it has changed."""
        registration = self.wire.describe_at(self.address, state)
        if registration != self.registration:
            self.registration = registration
            self.store.put("servers", self.wire.instance, registration)

    def refresh(self) -> None:
        """Register new weights once they are loaded."""
        if self.registration:
            self.register(str(self.registration["state"]))

    def drain(self) -> None:
        """Register the server as draining, so that it gets no new requests."""
        self.register("draining")
        self.history.drain_times[self.wire.instance] = asyncio.get_running_loop().time()

    async def replace(self, *, is_crash: bool) -> None:
        """Deregister the server and start a new instance; a crash also resets all connections."""
        version = self.wire.version
        self.store.delete("servers", self.wire.instance)
        self.registration = {}
        if is_crash:
            self.close()
        await self.start(version)

    def _handle_end(self, wire: WireServer) -> None:
        """Break all connections of a server that has ended, and start it again soon."""
        loop = asyncio.get_running_loop()
        self.history.engine_ends.append(loop.time())
        self.reset()
        self.relay.close()
        self._restart = loop.create_task(self._start_again(wire))

    async def _start_again(self, wire: WireServer) -> None:
        await asyncio.sleep(ENGINE_RESTART_SECONDS)
        if self.wire is wire:
            await self.replace(is_crash=False)

    async def send_events_slowly(self, seconds: float) -> None:
        """Send the events of streams at long intervals for some seconds."""
        wire = self.wire
        wire.event_interval = SLOW_EVENT_INTERVAL_SECONDS
        await asyncio.sleep(seconds)
        wire.event_interval = EVENT_INTERVAL_SECONDS

    def reset(self) -> None:
        """Reset all connections."""
        self.history.break_offs.append((self.service, asyncio.get_running_loop().time()))
        self.relay.reset()

    def close(self) -> None:
        """Reset all connections and stop the server."""
        self.reset()
        self.relay.close()
        self.wire.close()


class _RecordingServer(WireServer):
    """Record each request and order in the history."""

    history: History

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        started_at = asyncio.get_running_loop().time()
        try:
            await super()._run(request, writer)
        finally:
            self._record(request, started_at)

    async def _handle_order(self, request: ClientRequest, writer: AnswerWriter) -> None:
        recorded_count = len(self.orders)
        await super()._handle_order(request, writer)
        for order in self.orders[recorded_count:]:
            fence = int(str(order["fence"]))
            self.history.orders.append(LoadOrder(self.instance, str(order["holder"]), fence))

    def _record(self, request: ClientRequest, started_at: float) -> None:
        seen = next(s for s in reversed(self.received_requests) if s.request is request)
        received = ReceivedRequest(
            seen.get("X-Attempt-Id") or "",
            self.instance,
            started_at,
            seen.get("X-Tenant"),
            seen.get("Authorization"),
            is_rejected=not seen.was_executed,
            was_faulty=seen.was_faulty,
        )
        self.history.received.append(received)
