"""Check that a fleet stops sending prompts on which engines end, at full size and when it is cut.

The hosts' controllers run with the engines' real addresses, but pass each other messages directly.
"""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from turmericproxy.core import HostName, ModelName, RequestId
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.crashes.controller import CrashController
from turmericproxy.crashes.evidence import BrokenPrompt, EngineStart
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry

MODEL = ModelName("m")
ENGINES = 24
RESTART_SECONDS = 1.0
LONG_RESTART_SECONDS = 4.0
# Interval between messages of a host, and the way of a message through two hubs.
MESSAGE_SECONDS = 0.1
DELIVERY_SECONDS = 0.2
CRASHING_PER_SECOND = 20.0
SOUND_PER_SECOND = 200.0
# Sound prompts that break with an engine.
NEIGHBOURS = 3
# The users allow three requests that are sent later than this after the fifth end.
GRACE_SECONDS = 3.0
ENDS_BEFORE_GRACE = 5
ALLOWED_REQUESTS = 3
COUNTED_SECONDS = 2.0


@dataclass
class Engine:
    """Represent an engine that listens, or is down."""

    instance: InstanceId
    started_at: int = 1
    is_running: bool = False
    server: asyncio.Server | None = None
    port: int = 0

    async def start(self) -> None:
        if self.server is None:
            self.server = await asyncio.start_server(lambda _, w: w.close(), "127.0.0.1", self.port)
            self.port = self.server.sockets[0].getsockname()[1]
        self.is_running = True

    def end(self, *, keeps_listening: bool) -> None:
        """End; something before the engine may go on accepting connections."""
        self.is_running = False
        if self.server and not keeps_listening:
            self.server.close()
            self.server = None

    def describe(self) -> UpstreamEntry:
        return UpstreamEntry(
            self.instance,
            ServiceName("s"),
            f"127.0.0.1:{self.port}",
            "a",
            8,
            EntryState.READY,
            started_at=self.started_at,
        )


@dataclass
class Side:
    """Hold the hosts that reach each other, and when they sent the prompts that ended engines."""

    hosts: list[CrashController] = field(default_factory=list)
    registries: list[UpstreamRegistry] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    refused: int = 0
    sound_refused: int = 0


class Fleet:
    """Run engines and the controllers of hosts, on one side or on several."""

    def __init__(self, sizes: tuple[int, ...], *, keeps_listening: bool = False) -> None:
        self._keeps_listening = keeps_listening
        self._restart_seconds = LONG_RESTART_SECONDS if keeps_listening else RESTART_SECONDS
        self.random = random.Random(30)
        self.engines = [Engine(InstanceId(f"e{number}")) for number in range(ENGINES)]
        self.sides = [Side() for _ in sizes]
        self._sizes = sizes
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        for engine in self.engines:
            await engine.start()
        for number, (side, size) in enumerate(zip(self.sides, self._sizes, strict=True)):
            names = [HostName(f"h{number}-{index}") for index in range(size)]
            for name in names:
                self._add_host(side, name, [other for other in names if other != name])

    def _add_host(self, side: Side, name: HostName, peers: list[HostName]) -> None:
        registry = UpstreamRegistry()
        for engine in self.engines:
            registry.update(engine.describe())
        controller = CrashController(name, registry, lambda: peers, self._loop.time, Metrics())
        side.hosts.append(controller)
        side.registries.append(registry)
        self._run(self._exchange(side, name, controller))

    def _run(self, coroutine: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)

    async def _exchange(self, side: Side, name: HostName, host: CrashController) -> None:
        await asyncio.sleep(self.random.uniform(0.0, MESSAGE_SECONDS))
        while True:
            state = host.take_state()
            for other in side.hosts if state else ():
                if other is not host:
                    self._loop.call_later(DELIVERY_SECONDS, other.receive, name, state)
            await asyncio.sleep(MESSAGE_SECONDS)

    def answer_sound(self) -> None:
        """Let a host answer a sound prompt: the route's part, one of ten rules, a session's."""
        parts = ("route", f"rules-{self.random.randrange(10)}", f"s-{self.random.randrange(999)}")
        side = self.random.choice(self.sides)
        host = self.random.choice(side.hosts)
        if host.find_block(RequestId("sound"), MODEL, parts):
            side.sound_refused += 1
            return
        now, start = self._loop.time(), EngineStart(InstanceId("other"), 1)
        host.record_answer(start, MODEL, parts, now - 0.1)

    def send_crashing(self) -> None:
        """Let a host send a prompt with the part on which engines end, unless it refuses it."""
        self._number += 1
        side = self.random.choice(self.sides)
        host = self.random.choice(side.hosts)
        request_id = RequestId(f"r{self._number}")
        parts = ("route", "bad", f"s-{self.random.randrange(999)}")
        if host.find_block(request_id, MODEL, parts):
            side.refused += 1
            return
        running = [engine for engine in self.engines if engine.is_running]
        if not running:
            return
        side.sent_at.append(self._loop.time())
        engine = self.random.choice(running)
        start = EngineStart(engine.instance, engine.started_at)
        engine.end(keeps_listening=self._keeps_listening)
        host.record_broken(start, BrokenPrompt(request_id, MODEL, parts, True, 0.05))
        for number in range(NEIGHBOURS):
            other = self.random.choice(self.random.choice(self.sides).hosts)
            sound = ("route", f"rules-{self.random.randrange(10)}")
            name = RequestId(f"{request_id}-{number}")
            other.record_broken(start, BrokenPrompt(name, MODEL, sound, False, 0.05))
        self._run(self._restart(engine))

    async def _restart(self, engine: Engine) -> None:
        await asyncio.sleep(self._restart_seconds)
        engine.started_at += 1
        await engine.start()
        for side in self.sides:
            for registry in side.registries:
                registry.update(engine.describe())

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for side in self.sides:
            for host in side.hosts:
                host.close()
        for engine in self.engines:
            if engine.server:
                engine.server.close()


async def play(fleet: Fleet) -> None:
    """Send prompts of both kinds until the requests that the users count are over."""
    loop = asyncio.get_running_loop()
    begins_at = loop.time() + 2.0
    next_sound, next_crashing = loop.time(), begins_at
    while True:
        now = loop.time()
        sent = sorted(at for side in fleet.sides for at in side.sent_at)
        fifth_at = sent[ENDS_BEFORE_GRACE - 1] if len(sent) >= ENDS_BEFORE_GRACE else begins_at
        if now > fifth_at + GRACE_SECONDS + COUNTED_SECONDS:
            return
        while next_sound <= now:
            fleet.answer_sound()
            next_sound += 1.0 / SOUND_PER_SECOND
        while next_crashing <= now:
            fleet.send_crashing()
            next_crashing += 1.0 / CRASHING_PER_SECOND
        await asyncio.sleep(0.01)


def play_and_check(sizes: tuple[int, ...], *, keeps_listening: bool = False) -> None:
    async def run() -> Fleet:
        fleet = Fleet(sizes, keeps_listening=keeps_listening)
        await fleet.start()
        await play(fleet)
        await fleet.close()
        return fleet

    fleet = asyncio.run(run())
    sent = sorted(at for side in fleet.sides for at in side.sent_at)
    if len(sent) >= ENDS_BEFORE_GRACE:
        limit = sent[ENDS_BEFORE_GRACE - 1] + GRACE_SECONDS
        assert sum(at > limit for at in sent) <= ALLOWED_REQUESTS
    assert all(side.refused for side in fleet.sides)
    assert not any(side.sound_refused for side in fleet.sides)


# Issue 30: no host sees five ends by itself, and the users' bound runs over all hosts, also over
# those on each side of a cut.
@pytest.mark.parametrize("sizes", [(195,), (98, 97), (4, 4), (7, 1)])
def test_fleet_stops_sending_a_part_on_which_engines_end(sizes: tuple[int, ...]) -> None:
    play_and_check(sizes)


# An engine whose address goes on accepting connections isn't seen to end before it is back.
def test_fleet_stops_sending_a_part_though_ended_engines_accept_connections() -> None:
    play_and_check((8,), keeps_listening=True)
