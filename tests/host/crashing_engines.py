"""Engine stand-ins that end on certain parts of prompts and come back empty, and callers."""

import asyncio
import random
from dataclasses import dataclass, field

from tests.host.support import Answer, HostEnvironment
from turmericproxy.standins.platform_wire_server import WireServer

ENGINE_TARGET = "/lepu270/deep/2f"
SERVICE, MODEL = "huvo11a", "m"
RESTART_SECONDS = 1.0
# Time after its end for which an engine stays registered: three heartbeats.
EXPIRY_SECONDS = 3.0
# Time after the fifth end by which all hosts have to know the part.
STABLE_SECONDS = 3.0
ALLOWED_REQUESTS = 3


@dataclass
class EnginePool:
    """Engines of one service, and when each of them ended, by the event loop's time."""

    environment: HostEnvironment
    crashing_parts: frozenset[str]
    servers: list[WireServer] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)

    async def start(self, count: int) -> None:
        for number in range(count):
            await self._add(f"x{number}-0", "127.0.0.1:0")

    def set_crashing_parts(self, *parts: str) -> None:
        self.crashing_parts = frozenset(parts)
        for server in self.servers:
            server.crashing_parts = self.crashing_parts

    def list_arrivals(self, part: str) -> list[float]:
        """Return when requests with a part reached engines."""
        return sorted(
            received.request.received_at
            for server in self.servers
            for received in server.received_requests
            if part in received.list_shared_parts()
        )

    def end_one(self) -> None:
        """End a running engine for a reason that has nothing to do with its requests."""
        next(server for server in self.servers if server.instance in self._running).end()

    @property
    def _running(self) -> set[str]:
        return {s.instance for s in self.servers} - self._ended

    def __post_init__(self) -> None:
        self._ended: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def _add(self, name: str, address: str) -> None:
        server = WireServer(name, SERVICE, MODEL, listen_on=address, born=len(self.servers) + 1)
        server.crashing_parts = self.crashing_parts
        server.on_end = lambda: self._replace(server)
        server.event_interval = 0.02
        await server.start()
        self.servers.append(server)
        self.environment.store.put("servers", name, server.describe())

    def _replace(self, server: WireServer) -> None:
        self.ends.append(asyncio.get_running_loop().time())
        self._ended.add(server.instance)
        task = asyncio.get_running_loop().create_task(self._restart(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, server: WireServer) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        base, _, life = server.instance.rpartition("-")
        await self._add(f"{base}-{int(life) + 1}", server.last_address)
        await asyncio.sleep(EXPIRY_SECONDS - RESTART_SECONDS)
        self.environment.store.delete("servers", server.instance)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.on_end = lambda: None
            server.close()


@dataclass(frozen=True)
class Sent:
    """A request that was sent, by the event loop's time, and its answer."""

    at: float
    answer: Answer

    @property
    def is_served(self) -> bool:
        return self.answer.status == 200 and self.answer.is_complete


@dataclass
class Callers:
    """Send requests at a steady rate to hosts in turn."""

    environment: HostEnvironment
    seed: int = 1

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._number = 0

    async def send(self, *shared: str, host: int | None = None) -> Sent:
        """Send one request with these shared parts and a last part of its own."""
        self._number += 1
        number, loop = self._number, asyncio.get_running_loop()
        index = self._random.randrange(len(self.environment.hosts)) if host is None else host
        at = loop.time()
        answer = await self.environment.send_request(
            ENGINE_TARGET,
            "X-Model: m",
            "X-Token-Count: 60,5",
            "X-Prompt-Prefix: " + ",".join(f"{p}:20" for p in (*shared, f"{number:x}f")),
            host="jepu9.example",
            request_id=f"q{self.seed}-{number}",
            index=index,
            wait_ms=4000,
        )
        return Sent(at, answer)

    async def send_steadily(
        self, per_second: float, seconds: float, *prompts: tuple[str, ...], host: int | None = None
    ) -> list[Sent]:
        """Send requests with prompts drawn from those given."""
        tasks = []
        for _ in range(int(per_second * seconds)):
            shared = self._random.choice(prompts)
            tasks.append(asyncio.create_task(self.send(*shared, host=host)))
            await asyncio.sleep(1 / per_second)
        return list(await asyncio.gather(*tasks))


def measure_served(sent: list[Sent], start: float, end: float) -> float:
    """Return the share of the requests sent in a time that were served."""
    within = [s for s in sent if start <= s.at < end]
    return sum(s.is_served for s in within) / len(within)
