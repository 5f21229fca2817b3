"""Stand in for a server of the users' platform: a model engine or a plain service."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeServer

EVENT_INTERVAL_SECONDS = 0.005
TRICKLE_INTERVAL_SECONDS = 0.1
# Faults that delay an answer, but do not change it or end it early.
_DELAYS = frozenset({"silent", "trickle"})


@dataclass
class Faults:
    """Faults of the next requests; each field counts the requests still to be affected.

    ``break_after`` is the number of complete events in a broken stream. A trickled stream sends
    single bytes after its first event and never ends.
    """

    refuse: int = 0
    fail: int = 0
    crash: int = 0
    silent: int = 0
    break_stream: int = 0
    break_after: int = 2
    foreign: int = 0
    truncate: int = 0
    trickle: int = 0
    unanswered_orders: int = 0


@dataclass
class ReceivedRequest:
    """Request as received, and whether it was executed and answered in full.

    ``was_faulty`` is true if a fault was applied to the request, other than a delay.
    """

    request: ClientRequest
    was_executed: bool = False
    is_complete: bool = False
    was_faulty: bool = False

    def get(self, name: str) -> str | None:
        """Return a header field."""
        return self.request.headers.get(name)

    def list_shared_parts(self) -> list[str]:
        """Return the identifiers of the prompt's parts but the last one."""
        entries = (self.get("X-Prompt-Prefix") or "").split(",")
        return [entry.partition(":")[0] for entry in entries[:-1]]


@dataclass
class WireServer:
    """Answer requests, reports and orders; ``events`` is the length of a stream.

    While ``is_leaving``, all answers say so, and while ``limit`` or ``load`` is set, all name it.
    While ``retry_after`` is set, all calls are answered with 503 and this Retry-After; ``calls``
    counts all calls. Reports and orders are handled after ``silence_seconds``. An engine ends
    ``crash_seconds`` after it began an answer on a prompt with one of the ``crashing_parts``, but
    not for the last part; ``on_end`` is then called. ``software`` is the version in the
    registration; ``bad_share`` of the requests are answered with a failure.
    """

    instance: str
    service: str
    model: str | None = None
    version: int = 1
    events: int = 5
    domain: str = "a"
    load_seconds: float = 0.02
    event_interval: float = EVENT_INTERVAL_SECONDS
    faults: Faults = field(default_factory=Faults)
    received_requests: list[ReceivedRequest] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)
    born: int = 1000
    is_leaving: bool = False
    retry_after: str | None = None
    limit: str | None = None
    load: str | None = None
    calls: int = 0
    silence_seconds: float = 0.0
    crashing_parts: frozenset[str] = frozenset()
    crash_seconds: float = 0.02
    on_end: Callable[[], None] = lambda: None
    listen_on: str = "127.0.0.1:0"
    software: str = "v1"
    bad_share: float = 0.0

    def __post_init__(self) -> None:
        self._server = EdgeServer(self.listen_on, self._answer)
        self.last_address = self.listen_on
        self._accepted_orders = 0
        self._is_busy = False
        self._silent_until = 0.0
        self._bad_credit = 0.0

    @property
    def address(self) -> str:
        """Return the address that the stand-in listens on."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def end(self) -> None:
        """End as a process that crashes does: no answer is completed, no connection accepted."""
        self.last_address = self.address
        self._server.close()
        self._server.abort()
        self.on_end()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some seconds, then go on; a server that is silent already stays so."""
        now = asyncio.get_running_loop().time()
        if now >= self._silent_until:
            self._silent_until = now + seconds

    def describe(self, state: str = "ready") -> dict[str, object]:
        """Return the registration of the server."""
        return self.describe_at(self.address, state)

    def describe_at(self, address: str, state: str = "ready") -> dict[str, object]:
        """Return the registration of the server at an address."""
        registration: dict[str, object] = {
            "service": self.service,
            "address": address,
            "zone": self.domain,
            "version": self.software,
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        if self.model:
            registration["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
        return registration

    async def _answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        self.calls += 1
        if request.path.startswith("/api/"):
            await self._wait_while_silent()
        if self.retry_after is not None:
            fields = [("X-Not-Executed", "1"), ("Retry-After", self.retry_after)]
            writer.send(503, [*fields, *self._list_notice_fields()])
        elif request.path == "/api/report":
            await asyncio.sleep(self.silence_seconds)
            self._send_report(writer)
        elif request.path == "/api/order":
            await asyncio.sleep(self.silence_seconds)
            await self._handle_order(request, writer)
        elif request.path == "/api/kv-events":
            await self._send_events(request, writer)
        else:
            await self._run(request, writer)

    def _send_report(self, writer: AnswerWriter) -> None:
        content = {
            "stage": "both",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": self._is_busy,
            "sequence": self._accepted_orders,
            "born": self.born,
        }
        writer.send(200, self._list_notice_fields(), json.dumps(content).encode())

    async def _send_events(self, request: ClientRequest, writer: AnswerWriter) -> None:
        # The stand-in's cache never changes.
        await asyncio.sleep(int(request.headers.get("Wait-Ms") or 0) / 1000)
        content = {"epoch": self.born, "next": 0, "lost": False, "events": []}
        writer.send(200, self._list_notice_fields(), json.dumps(content).encode())

    async def _handle_order(self, request: ClientRequest, writer: AnswerWriter) -> None:
        order = json.loads(request.body)
        if request.headers.get("X-Expect-Instance") != self.instance:
            writer.send(421, [("X-Instance-Id", self.instance), *self._list_notice_fields()])
            return
        if self.faults.unanswered_orders:
            self.faults.unanswered_orders -= 1
            writer.abort()
            return
        if self._is_busy or order["expected"] != self._accepted_orders:
            writer.send(409, self._list_notice_fields())
            return
        self.orders.append(order)
        self._accepted_orders += 1
        self._is_busy = True
        writer.send(202, self._list_notice_fields())
        # The load continues even if the sender of the order disconnects.
        asyncio.get_running_loop().call_later(self.load_seconds, self._finish_load, order)

    def _finish_load(self, order: dict[str, int]) -> None:
        self.version = order["version"]
        self._is_busy = False

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        received = ReceivedRequest(request)
        self.received_requests.append(received)
        expected_version = received.get("X-Expect-Version")
        is_other_version = expected_version not in (None, str(self.version))
        if received.get("X-Expect-Instance") not in (None, self.instance) or is_other_version:
            writer.send(421, [("X-Instance-Id", self.instance), *self._list_notice_fields()])
            return
        if self._consume_fault(received, "refuse"):
            writer.send(503, [("X-Not-Executed", "1"), *self._list_notice_fields()])
            return
        received.was_executed = True
        await self._wait_while_silent()
        if self._consume_fault(received, "silent"):
            await asyncio.sleep(60)
        if self._consume_fault(received, "crash"):
            writer.abort()
            return
        headers = self._build_headers(received)
        self._bad_credit += self.bad_share
        if self._bad_credit >= 1.0:
            self._bad_credit -= 1.0
            self.faults.fail += 1
        if self._consume_fault(received, "fail"):
            writer.send(500, headers, b"failed")
        elif self._consume_fault(received, "truncate"):
            writer.start(200, headers, 1000)
            writer.write(b"partial")
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            writer.abort()
        elif self.model:
            await self._stream(received, writer, headers)
        else:
            writer.send(200, headers, b"done:" + request.body)
            received.is_complete = True

    async def _stream(
        self, received: ReceivedRequest, writer: AnswerWriter, headers: list[tuple[str, str]]
    ) -> None:
        first = int(received.get("Last-Event-Id") or 0) + 1
        is_broken = self._consume_fault(received, "break_stream")
        last = first + self.faults.break_after if is_broken else None
        writer.start(200, [*headers, ("Content-Type", "text/event-stream")], None)
        if self.crashing_parts.intersection(received.list_shared_parts()):
            await asyncio.sleep(self.crash_seconds)
            self.end()
            return
        for number in range(first, self.events + 1):
            if number == last:
                writer.write(b"id: %d\ndata: ha" % number)
                await asyncio.sleep(EVENT_INTERVAL_SECONDS)
                writer.abort()
                return
            writer.write(b"id: %d\ndata: t%d\n\n" % (number, number))
            await asyncio.sleep(self.event_interval)
            await self._wait_while_silent()
            if self._consume_fault(received, "trickle"):
                while True:
                    writer.write(b"x")
                    await asyncio.sleep(TRICKLE_INTERVAL_SECONDS)
        writer.finish()
        received.is_complete = True

    def _build_headers(self, received: ReceivedRequest) -> list[tuple[str, str]]:
        is_foreign = self._consume_fault(received, "foreign")
        request_id = "other" if is_foreign else received.get("X-Attempt-Id") or ""
        headers = [("X-Attempt-Id", request_id), ("X-Response-Signature", f"s.{self.instance}")]
        if self.model:
            headers.append(("X-Weight-Versions", str(self.version)))
        return headers + self._list_notice_fields()

    def _list_notice_fields(self) -> list[tuple[str, str]]:
        fields = [("Server-Leaving", "1")] if self.is_leaving else []
        if self.load is not None:
            fields.append(("X-Server-Load", self.load))
        return fields if self.limit is None else [*fields, ("Server-Limit", self.limit)]

    async def _wait_while_silent(self) -> None:
        while (seconds := self._silent_until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(seconds)

    def _consume_fault(self, received: ReceivedRequest, name: str) -> bool:
        remaining: int = getattr(self.faults, name)
        if remaining:
            setattr(self.faults, name, remaining - 1)
            received.was_faulty |= name not in _DELAYS
        return bool(remaining)
