"""Send requests to hosts over connections that are reused until they close."""

import asyncio
import itertools
import random

from tests.soak.history import ENGINE_SERVICE, PLAIN_SERVICE, Call, History, Kind
from tests.soak.hosts import Host
from tests.soak.servers import CRASHING_PART, EVENTS_PER_STREAM
from turmericproxy.edge import UpstreamCall
from turmericproxy.edge.upstream import EndKind, NotConnected, open_connection

DEADLINE_MS = {
    Kind.BOOKING: 1500,
    Kind.LOOKUP: 1500,
    Kind.STREAM: 4000,
    Kind.RESUMABLE_STREAM: 6000,
}
TARGETS = {
    Kind.BOOKING: ("POST", "/book/", "app.example"),
    Kind.LOOKUP: ("GET", "/look/", "app.example"),
    Kind.STREAM: ("POST", "/lepu270/", "jepu9.example"),
    Kind.RESUMABLE_STREAM: ("POST", "/lepu270/deep/", "jepu9.example"),
}
# Time limit of plain routes in the test configuration.
PLAIN_ROUTE_LIMIT_MS = 800
MEAN_INTERVAL_SECONDS = 0.36
# Share of requests that callers cancel before the answer.
CANCELLED_SHARE = 0.03
_REQUEST_NUMBERS = itertools.count(1)


class Caller:
    """Send random requests to one host; ``key`` is the API key of the account."""

    def __init__(self, host: Host, key: str, history: History, seed: int) -> None:
        self._host = host
        self._key = key
        self._history = history
        self._rng = random.Random(seed)
        self._transport: asyncio.Transport | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_INTERVAL_SECONDS))
            kind = self._rng.choice(list(Kind))
            if self._rng.random() < CANCELLED_SHARE:
                await self._send_and_cancel(kind)
            else:
                await self.send(kind)

    async def send(self, kind: Kind, *, ends_engines: bool = False) -> Call | None:
        """Send one request and record its answer; return ``None`` if the host is unreachable."""
        transport, self._transport = self._transport, None
        if transport is None or transport.is_closing():
            opened = await open_connection(self._host.callers, 1.0)
            if isinstance(opened, NotConnected):
                return None
            transport = opened
        loop = asyncio.get_running_loop()
        call = self._create_call(kind, loop.time())
        call.ends_engines = ends_engines
        call.host_disturbed_at = max(self._host.disrupted_at, self._host.started_at)
        self._history.calls.append(call)
        exchange = UpstreamCall.start(transport, self._render_request(call))
        try:
            async with asyncio.timeout(call.limit_seconds + 5):
                await _read_answer(exchange, call)
        except TimeoutError:
            pass
        finally:
            self._transport = exchange.release()
            if self._transport is None:
                exchange.close()
        call.ended_at = loop.time()
        call.was_host_disrupted = self._host.disrupted_at >= call.sent_at
        return call

    async def _send_and_cancel(self, kind: Kind) -> None:
        sending = asyncio.create_task(self.send(kind))
        await asyncio.wait({sending}, timeout=self._rng.uniform(0, 0.05))
        sending.cancel()
        await asyncio.wait({sending})

    def _create_call(self, kind: Kind, now: float) -> Call:
        number = next(_REQUEST_NUMBERS)
        events = b"".join(
            b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, EVENTS_PER_STREAM + 1)
        )
        is_plain = kind.service == PLAIN_SERVICE
        body = b"done:visit" if kind is Kind.BOOKING else b"done:"
        limit_ms = PLAIN_ROUTE_LIMIT_MS if is_plain else DEADLINE_MS[kind]
        return Call(
            f"r{number}",
            kind,
            self._host.name,
            now,
            limit_ms / 1000,
            expected_body=body if is_plain else events,
        )

    def _render_request(self, call: Call) -> bytes:
        method, target, host = TARGETS[call.kind]
        body = b"visit" if call.kind is Kind.BOOKING else b""
        lines = [f"{method} {target}{call.request_id} HTTP/1.1", f"Host: {host}"]
        lines += [f"X-Attempt-Id: {call.request_id}", f"Authorization: Bearer {self._key}"]
        lines += [f"X-Request-Deadline: {DEADLINE_MS[call.kind]}", f"Content-Length: {len(body)}"]
        if call.kind.service == ENGINE_SERVICE:
            lines += ["X-Model: m", "X-Token-Count: 60,5"]
            part = CRASHING_PART if call.ends_engines else f"b{self._rng.randrange(4)}"
            lines += [f"X-Prompt-Prefix: aa:20,{part}:20,{call.request_id}:20"]
        return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_answer(exchange: UpstreamCall, call: Call) -> None:
    head = await exchange.read_head()
    if head is None:
        return
    call.status, call.answer_id = head.status, head.headers.get("X-Attempt-Id")
    call.result_code = head.headers.get("X-Result-Code")
    while isinstance(part := await exchange.read_part(), bytes):
        call.body += part
    call.is_complete = part is EndKind.COMPLETE
