"""Steady requests to hosts whose upstreams name limits, and what reached the upstreams."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.host.support import Answer, HostEnvironment, run_scenario
from turmericproxy.standins.platform_wire_server import WireServer

PER_SECOND = 33.0
# Time after a limit was first named from which it is binding.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
# Time after its naming from which requests of a host that was told count.
TOLD_SECONDS = 0.5
# What an upstream may get in a window, as a factor of its limit and in requests.
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5
ENGINE_TARGET = "/lepu270/deep/2f"
PROMPTS = tuple(("aa", f"b{n}") for n in range(6))


@dataclass(frozen=True)
class Sent:
    """A request that was sent, by the event loop's time, its answer and when that came."""

    at: float
    answered_at: float
    host: int
    answer: Answer

    @property
    def is_served(self) -> bool:
        return self.answer.status == 200 and self.answer.is_complete

    @property
    def is_refused(self) -> bool:
        return self.answer.status == 503


@dataclass
class Callers:
    """Send bookings or prompts at a steady rate to random hosts."""

    environment: HostEnvironment
    seed: int = 1
    hosts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._number = 0

    async def send(self, is_prompt: bool, host: int) -> Sent:
        self._number += 1
        request_id, loop = f"q{self.seed}-{self._number}", asyncio.get_running_loop()
        at = loop.time()
        if is_prompt:
            shared = (*self._random.choice(PROMPTS), f"{self._number:x}f")
            answer = await self.environment.send_request(
                ENGINE_TARGET,
                "X-Model: m",
                "X-Token-Count: 60,5",
                "X-Prompt-Prefix: " + ",".join(f"{part}:20" for part in shared),
                host="jepu9.example",
                request_id=request_id,
                index=host,
                wait_ms=4000,
            )
        else:
            answer = await self.environment.send_request(
                "/book/1", request_id=request_id, index=host
            )
        return Sent(at, loop.time(), host, answer)

    async def send_steadily(
        self, seconds: float, *, per_second: float = PER_SECOND, is_prompt: bool = False
    ) -> list[Sent]:
        hosts = self.hosts or list(range(len(self.environment.hosts)))
        tasks = []
        for _ in range(int(per_second * seconds)):
            task = self.send(is_prompt, self._random.choice(hosts))
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(1 / per_second)
        return list(await asyncio.gather(*tasks))


def list_arrivals(server: WireServer) -> list[float]:
    return [received.request.received_at for received in server.received_requests]


def count_most(arrivals: list[float], start: float, window: float = WINDOW_SECONDS) -> int:
    """Return the most arrivals in a window that ends at or after ``start``."""
    ordered = sorted(arrivals)
    return max(
        (sum(end - window < at <= end for at in ordered) for end in ordered if end >= start),
        default=0,
    )


def compute_allowed(limit: float, window: float = WINDOW_SECONDS) -> int:
    return int(ALLOWED_FACTOR * limit * window + ALLOWED_EXTRA)


def check_limit_is_kept(server: WireServer, limit: float, named_at: float) -> None:
    """Check all windows that begin once hosts have had time to tell each other of the limit."""
    arrivals = [at for at in list_arrivals(server) if at >= named_at + TOLD_SECONDS]
    assert count_most(arrivals, named_at + STABLE_SECONDS) <= compute_allowed(limit)


def check_limit_is_used(server: WireServer, limit: float, start: float, end: float) -> None:
    arrivals = sum(start <= at < end for at in list_arrivals(server))
    assert arrivals >= 0.5 * limit * (end - start)


def check_refusals(sent: list[Sent]) -> None:
    """Check that what wasn't served was refused soon, as not run, with a time to come back."""
    ids = Counter(s.answer.status for s in sent if not s.is_served)
    assert set(ids) <= {503}
    assert all(float(s.answer.fields["retry-after"]) > 0 for s in sent if s.is_refused)


def run_limit_scenario(
    scenario: Callable[[HostEnvironment], Awaitable[None]], *, hosts: int = 3, domains: int = 1
) -> None:
    """Run a scenario with two engines, two plain upstreams and some hosts that know each other."""
    run_scenario(scenario, hosts=hosts, domains=domains, start_seconds=0.5)
