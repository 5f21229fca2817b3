"""Stand in for a model server: it caches parts of prompts under the salt of each request."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass

from review.harness.configuration import LLM, MODEL
from review.harness.http import Connection, HttpServer, Message

PREFILL_TOKENS_PER_SECOND = 44_200.0
STEP_SECONDS = 0.0034
EVENTS = 6
LOAD_SECONDS = 0.32
# Cache events are told late.
EVENT_DELAY_SECONDS = 0.2
BEAT_SECONDS = 1.2


@dataclass(frozen=True)
class CachedPart:
    """A cached part: the request that made it, its tenant, and the version of the weights."""

    tokens: int
    attempt: str
    tenant: str
    version: int


@dataclass(frozen=True)
class PartUse:
    """A request that used a cached part, and who made that."""

    engine: str
    attempt: str
    tenant: str
    part_id: str
    salt: str
    made: CachedPart


@dataclass(frozen=True)
class ReceivedOrder:
    """An order as it arrived, at a time of the event loop."""

    at: float
    engine: str
    holder: str
    fence: int
    version: int
    answer: int


class EngineStandIn:
    """A model server with one model; parts are never evicted, as few are used."""

    def __init__(
        self,
        name: str,
        zone: str,
        born: int,
        write: Callable[[str], None],
        service: str = LLM,
    ) -> None:
        self.name, self.zone, self.born, self.service = name, zone, born, service
        self._write = write
        self.http = HttpServer(self._handle)
        self.version = 1
        self.is_busy = False
        self.accepted_orders = 0
        self.parts: dict[tuple[str, str], CachedPart] = {}
        self.events: list[tuple[float, list[object]]] = []
        self.uses: list[PartUse] = []
        self.orders: list[ReceivedOrder] = []
        self.runs: list[str] = []
        self._prefill = asyncio.Lock()

    def describe(self) -> dict[str, object]:
        """Return the registration."""
        return {
            "service": self.service,
            "address": self.http.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "sequence": self.accepted_orders,
            "born": self.born,
        }

    async def _handle(self, request: Message, connection: Connection) -> None:
        path, _, query = request.target.partition("?")
        if path == "/api/report":
            self._send_report(connection)
        elif path == "/api/order":
            self._take_order(request, connection)
        elif path == "/api/kv-events":
            await self._send_events(int(query.partition("=")[2] or 0), request, connection)
        elif path == "/health":
            connection.send(200, [("X-Instance-Id", self.name)])
        else:
            await self._run(request, connection)

    def _send_report(self, connection: Connection) -> None:
        content = {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": self.is_busy,
            "sequence": self.accepted_orders,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 94603,
            "handles": 0,
            "born": self.born,
        }
        connection.send(200, [("Content-Type", "application/json")], json.dumps(content).encode())

    def _take_order(self, request: Message, connection: Connection) -> None:
        order = json.loads(request.body)
        if request.get("X-Expect-Instance") not in (None, self.name):
            connection.send(421, [("X-Instance-Id", self.name)])
            return
        expected = order.get("expected", self.accepted_orders)
        if self.is_busy or expected != self.accepted_orders:
            answer = 409
        elif order["version"] <= self.version:
            answer = 200
        else:
            answer = 202
            self.accepted_orders += 1
            self.is_busy = True
            asyncio.get_running_loop().call_later(LOAD_SECONDS, self._finish, order["version"])
        received = ReceivedOrder(
            asyncio.get_running_loop().time(),
            self.name,
            str(order["holder"]),
            int(order["fence"]),
            int(order["version"]),
            answer,
        )
        self.orders.append(received)
        self._write(
            f"engine {self.name} got an order of {received.holder}, fence {received.fence}, "
            f"version {received.version}, and answers {answer}"
        )
        connection.send(answer, [])

    def _finish(self, version: int) -> None:
        self.version, self.is_busy = version, False
        self.parts.clear()

    async def _send_events(self, since: int, request: Message, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.get("Wait-Ms") or 0) / 1000
        while True:
            told = [e for at, e in self.events[since:] if at + EVENT_DELAY_SECONDS <= loop.time()]
            if told or loop.time() >= until:
                break
            await asyncio.sleep(0.02)
        page = {"epoch": self.born, "next": since + len(told), "lost": False, "events": told}
        connection.send(200, [("Content-Type", "application/json")], json.dumps(page).encode())

    async def _run(self, request: Message, connection: Connection) -> None:
        attempt, tenant = request.get("X-Attempt-Id") or "", request.get("X-Tenant") or ""
        echo = [("X-Attempt-Id", attempt)]
        is_other = request.get("X-Expect-Instance") not in (None, self.name)
        if is_other or request.get("X-Expect-Version") not in (None, str(self.version)):
            connection.send(421, [*echo, ("X-Instance-Id", self.name)])
            return
        if self.is_busy:
            connection.send(503, [*echo, ("X-Not-Executed", "1")])
            return
        self.runs.append(attempt)
        salt = request.get("X-Cache-Salt") or ""
        parts = [
            (part_id, int(tokens))
            for part_id, _, tokens in (
                entry.strip().partition(":")
                for entry in (request.get("X-Prompt-Prefix") or "").split(",")
            )
        ]
        used = await self._read_prompt(attempt, tenant, salt, parts)
        self._write(
            f"engine {self.name} runs {attempt} of tenant {tenant}, salt {salt!r}, "
            f"used from the cache: {', '.join(used) or 'nothing'}"
        )
        signature = ("X-Response-Signature", f"{self.name}.{attempt}")
        kind = ("Content-Type", "text/event-stream")
        connection.start_chunked(
            200, [*echo, signature, kind, ("X-Weight-Versions", str(self.version))]
        )
        for number in range(1, EVENTS + 1):
            connection.send_chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(STEP_SECONDS)
        connection.send_chunk(b"")

    async def _read_prompt(
        self, attempt: str, tenant: str, salt: str, parts: list[tuple[str, int]]
    ) -> list[str]:
        """Read what the cache lacks of a prompt; return what it held, and who made that."""
        used = []
        async with self._prefill:
            cached = 0
            while cached < len(parts) and (salt, parts[cached][0]) in self.parts:
                part_id = parts[cached][0]
                made = self.parts[salt, part_id]
                self.uses.append(PartUse(self.name, attempt, tenant, part_id, salt, made))
                used.append(f"{part_id} made by {made.attempt} of {made.tenant}")
                cached += 1
            for part_id, tokens in parts[cached:]:
                await asyncio.sleep(tokens / PREFILL_TOKENS_PER_SECOND)
                self.parts[salt, part_id] = CachedPart(tokens, attempt, tenant, self.version)
                event = [len(self.events), "+", salt, part_id, tokens, MODEL]
                self.events.append((asyncio.get_running_loop().time(), event))
        return used
