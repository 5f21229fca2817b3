"""Engines that end when they begin an answer on a part of a prompt, and callers of them."""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import deployment as d

from turmericproxy.edge import AnswerWriter, ClientRequest

ENGINE_COUNT = 6
# A server is back some seconds after it crashed, under a new id; its entry goes after three
# heartbeats of 1.2 s.
RESTART_SECONDS, EXPIRY_SECONDS = 2.0, 3.6
CRASH_SECONDS = 0.02
WARM_UP_SECONDS = 4.0
STABLE_SECONDS = 3.0
COUNTED_CRASH = 5
ALLOWED_REQUESTS = 3
BAD_PART = "bad0bad0"


@dataclass(frozen=True)
class Load:
    """Requests a second, sound ones and those with the bad part, and for how many seconds."""

    sound: float = 24.0
    bad: float = 5.0
    seconds: float = 40.0


class SilentAddress:
    """Hold an address that answers nothing, as that of a machine without power.

    The queue of its connections is full, so that the kernel drops each further attempt.
    """

    def __init__(self, address: str) -> None:
        ip, port = address.split(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        self._sockets = [listener]
        for _ in range(2):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((ip, int(port)))
            self._sockets.append(sock)

    def close(self) -> None:
        """Let the address refuse connections."""
        for sock in self._sockets:
            sock.close()


@dataclass
class CrashingEngine(d.SlowServer):
    """An engine that crashes on a part; with ``is_dark``, it falls silent until ``release``."""

    is_dark: bool = False

    def __post_init__(self) -> None:
        super().__post_init__()
        self._silence: SilentAddress | None = None

    def end(self) -> None:
        """Crash: connections are closed, or they and the address fall silent."""
        if not self.is_dark:
            super().end()
            return
        if self._silence is None:
            address = self.address
            self.close()
            self._silence = SilentAddress(address)
            self.on_end()

    def release(self) -> None:
        """End the silence of a crashed engine."""
        if self._silence:
            self._silence.close()
            self._server.abort()

    async def _answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        await self._wait_while_dark()
        await super()._answer(request, writer)

    async def _wait_while_silent(self) -> None:
        await self._wait_while_dark()
        await super()._wait_while_silent()

    async def _wait_while_dark(self) -> None:
        if self._silence:
            await asyncio.Event().wait()


class EnginePool:
    """Engines that crash on ``BAD_PART`` and are started again.

    With ``dark_seconds``, crashed ones are silent for so long.
    """

    def __init__(self, deployment: d.Deployment, dark_seconds: float) -> None:
        self._deployment = deployment
        self._dark_seconds = dark_seconds
        self._tasks: list[asyncio.Task[None]] = []
        self._count = 0
        self.crashes: list[float] = []

    def build(self, name: str, address: str = "127.0.0.1:0") -> CrashingEngine:
        """Return an engine that isn't started."""
        self._count += 1
        engine = CrashingEngine(
            name, d.ENGINES, d.MODEL, listen_on=address, born=1_700_000_000_000 + self._count
        )
        engine.is_dark = self._dark_seconds > 0
        engine.domain = "abc"[self._count % 3]
        engine.events, engine.event_interval = 10, 0.03
        engine.crash_seconds = CRASH_SECONDS
        if d.HAS_TROUBLE:
            engine.crashing_parts = frozenset({BAD_PART})
        engine.on_end = lambda: self._record_crash(engine)
        return engine

    def _record_crash(self, engine: CrashingEngine) -> None:
        self.crashes.append(time.monotonic())
        self._deployment.record.write(f"CRASH {len(self.crashes)} of engine {engine.instance}")
        self._tasks.append(asyncio.create_task(self._expire(engine)))
        self._tasks.append(asyncio.create_task(self._restart(engine)))

    async def _expire(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(EXPIRY_SECONDS)
        self._deployment.store.delete("servers", engine.instance)

    async def _restart(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(self._dark_seconds or RESTART_SECONDS)
        engine.release()
        address = "127.0.0.1:0" if engine.is_dark else engine.last_address
        base, _, life = engine.instance.rpartition("-")
        await self._deployment.add_server(self.build(f"{base}-{int(life) + 1}", address))

    def close(self) -> None:
        """Start no engine any more."""
        for task in self._tasks:
            task.cancel()


# Returns the header lines of a request that holds the part on which engines crash, by its number.
BuildBad = Callable[[int], list[str]]


def describe_prompt(*parts: str) -> list[str]:
    """Return the header lines of a prompt with parts of 20 tokens."""
    return [
        f"X-Model: {d.MODEL}",
        f"X-Token-Count: {20 * len(parts)},10",
        "X-Prompt-Prefix: " + ",".join(f"{part}:20" for part in parts),
    ]


@dataclass
class Sent:
    """A request, when it was sent, and its answer."""

    request_id: str
    at: float
    is_bad: bool
    answer: d.Answer | None = None


@dataclass
class Callers:
    """Send requests of one caller at a steady rate to hosts by chance.

    Sound ones begin with the parts ``shared``.
    """

    deployment: d.Deployment
    build_bad: BuildBad
    shared: tuple[str, ...]
    chance: random.Random = field(default_factory=lambda: random.Random(1))
    sent: list[Sent] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    async def send_steadily(self, per_second: float, *, is_bad: bool) -> None:
        """Send sound requests, or those with the bad part, at random times."""
        while True:
            self.tasks.append(asyncio.create_task(self._send(is_bad=is_bad)))
            await asyncio.sleep(self.chance.expovariate(per_second))

    async def _send(self, *, is_bad: bool) -> None:
        number = len(self.sent)
        prefix = "bad" if is_bad else "sound"
        sent = Sent(f"{prefix}-{number:05d}", time.monotonic(), is_bad)
        self.sent.append(sent)
        if is_bad:
            lines = self.build_bad(number)
        else:
            lines = describe_prompt(*self.shared, f"b{number % 6}", f"{number:x}f")
        host = self.chance.choice(self.deployment.hosts)
        client = d.Client(host.front)
        sent.answer = await client.send(
            d.build_request(
                d.STREAM_HOST, d.STREAM_TARGET, "key-1", sent.request_id, *lines, wait_ms=4000
            )
        )
        client.close()
        state = "whole" if sent.answer.is_complete else "broken"
        self.deployment.record.write(f"{sent.request_id} {host.name} {sent.answer.status} {state}")


async def run(
    deployment: d.Deployment,
    build_bad: BuildBad,
    shared: tuple[str, ...] = ("aa",),
    load: Load = Load(),
    dark_seconds: float = 0.0,
) -> int:
    """Play sound requests, with ``shared`` parts, beside bad ones; check BUDGET of the letters."""
    pool = EnginePool(deployment, dark_seconds)
    engines = [pool.build(f"x{number}-0") for number in range(ENGINE_COUNT)]
    configuration = d.build_configuration(d.build_tenant("t", "key-1", 1_000_000))
    if not await deployment.start(configuration, list(engines), 3):
        return d.NOT_RUN
    callers = Callers(deployment, build_bad, shared)
    tasks = [asyncio.create_task(callers.send_steadily(load.sound, is_bad=False))]
    await asyncio.sleep(WARM_UP_SECONDS)
    tasks.append(asyncio.create_task(callers.send_steadily(load.bad, is_bad=True)))
    await asyncio.sleep(load.seconds)
    has_run = await d.stop_tasks(tasks, deployment.record)
    pool.close()
    await asyncio.sleep(4.5)
    has_run = await d.stop_tasks(callers.tasks, deployment.record) and has_run
    return conclude(deployment, pool, callers) if has_run else d.NOT_RUN


def conclude(deployment: d.Deployment, pool: EnginePool, callers: Callers) -> int:
    """Write what was seen; return the exit code."""
    record = deployment.record
    deployment.record_runs()
    bad = {sent.request_id for sent in callers.sent if sent.is_bad}
    arrivals = sorted(
        at
        for server in deployment.servers
        for request_id, at in getattr(server, "arrivals", {}).items()
        if request_id in bad
    )
    is_counted = len(pool.crashes) >= COUNTED_CRASH
    start = pool.crashes[COUNTED_CRASH - 1] + STABLE_SECONDS if is_counted else float("inf")
    late = [at for at in arrivals if at > start]
    late_sound = [s for s in callers.sent if not s.is_bad and s.at > start and s.answer]
    cut = [s for s in late_sound if s.answer and s.answer.status != 503 and not is_whole(s)]
    record.conclude(f"{len(pool.crashes)} crashes; {len(bad)} requests with the bad part sent")
    record.conclude(f"{len(arrivals)} of them reached servers, {len(late)} from 3 s after the 5th")
    record.conclude(f"sound requests since then: {len(late_sound)}, {len(cut)} accepted and lost")
    for host in deployment.hosts:
        record.conclude(f"{host.name}: {len(host.ends)} ends")
    is_broken = len(late) > ALLOWED_REQUESTS
    record.conclude(f"BUDGET broken: {is_broken}")
    return d.BROKEN if is_broken else d.HELD


def is_whole(sent: Sent) -> bool:
    """Return whether a request was answered with success in full."""
    return sent.answer is not None and sent.answer.status == 200 and sent.answer.is_complete
