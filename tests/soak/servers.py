"""Run stand-ins of servers behind relays, and record what reaches them."""

import asyncio
import itertools
from dataclasses import dataclass, field

from tests.soak.history import History, Order, Run
from tests.soak.relay import Relay
from turmericproxy.edge import AnswerWriter, ClientRequest
from turmericproxy.standins.platform_wire_server import WireServer
from turmericproxy.standins.platform_wire_store import WireStore

_NUMBERS = itertools.count(1)
EVENTS = 6


@dataclass
class Server:
    """Own one server and the relay before it; a crash makes it start anew under another name."""

    service: str
    model: str | None
    domain: str
    store: WireStore
    history: History
    told: dict[str, object] = field(default_factory=dict)

    async def start(self, version: int = 1) -> None:
        """Start and register."""
        number = next(_NUMBERS)
        self.wire = _RecordingServer(
            f"{self.service}-{number}",
            self.service,
            self.model,
            version,
            EVENTS,
            self.domain,
            load_seconds=0.2,
            born=number,
        )
        self.wire.history = self.history
        await self.wire.start()
        self.relay = Relay(self.wire.address)
        await self.relay.start()
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the registration if it has changed."""
        described = {**self.wire.describe(state), "address": self.relay.address}
        if described != self.told:
            self.told = described
            self.store.put("servers", self.wire.instance, described)

    def refresh(self) -> None:
        """Register new weights once they are loaded."""
        if self.told:
            self.register(str(self.told["state"]))

    def drain(self) -> None:
        """Register that no new requests are taken."""
        self.register("draining")
        self.history.drained_at[self.wire.instance] = asyncio.get_running_loop().time()

    async def replace(self, *, is_crash: bool) -> None:
        """End the server, at once or after its requests, and start another one."""
        version = self.wire.version
        self.store.delete("servers", self.wire.instance)
        self.told = {}
        if is_crash:
            self.close()
        await self.start(version)

    def close(self) -> None:
        """Break all connections and end."""
        self.relay.close()
        self.wire.close()


class _RecordingServer(WireServer):
    """Note each request and order as it comes."""

    history: History

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        started_at = asyncio.get_running_loop().time()
        try:
            await super()._run(request, writer)
        finally:
            self._note(request, started_at)

    async def _handle_order(self, request: ClientRequest, writer: AnswerWriter) -> None:
        known = len(self.orders)
        await super()._handle_order(request, writer)
        for order in self.orders[known:]:
            fence = int(str(order["fence"]))
            self.history.orders.append(Order(self.instance, str(order["holder"]), fence))

    def _note(self, request: ClientRequest, started_at: float) -> None:
        received = next(s for s in reversed(self.received_requests) if s.request is request)
        run = Run(
            received.get("X-Attempt-Id") or "",
            self.instance,
            started_at,
            received.get("X-Tenant"),
            received.get("Authorization"),
            is_shed=not received.was_executed,
        )
        self.history.runs.append(run)
