"""Check that prompts which end engines are no longer sent, and that no others are refused."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.host.crashing_engines import (
    ALLOWED_REQUESTS,
    STABLE_SECONDS,
    Callers,
    EnginePool,
    measure_served,
)
from tests.host.support import HostEnvironment

SOUND_PROMPTS = tuple(("aa", f"b{n}") for n in range(6))
SOUND_PER_SECOND, CRASHING_PER_SECOND = 40.0, 10.0
WARM_UP_SECONDS = 1.5


def run_pool_scenario(
    scenario: Callable[[HostEnvironment, EnginePool], Awaitable[None]],
    *crashing_parts: str,
    hosts: int = 3,
) -> None:
    """Run a scenario with eight engines that end on certain parts, and some hosts."""

    async def run() -> None:
        environment = HostEnvironment()
        await environment.store.start()
        environment.configure()
        pool = EnginePool(environment, frozenset(crashing_parts))
        await pool.start(8)
        for number in range(hosts):
            await environment.add_host(f"h{number}")
        await asyncio.sleep(0.4)
        try:
            await scenario(environment, pool)
        finally:
            await environment.close()
            pool.close()

    asyncio.run(run())


def check_arrivals(pool: EnginePool, part: str) -> None:
    late = [at for at in pool.list_arrivals(part) if at > pool.ends[4] + STABLE_SECONDS]
    assert len(late) <= ALLOWED_REQUESTS


# Incident 30: requests with one part in common ended engine after engine, since each attempt was
# judged alone; sound requests broke with them.
@pytest.mark.parametrize(
    "crashing",
    [(("bad", "c1"), ("bad", "c2")), (("aa", "bad"), ("aa", "b1", "bad"))],
    ids=["first", "behind_a_shared_part"],
)
def test_part_on_which_engines_end_is_no_longer_sent(crashing: tuple[tuple[str, ...], ...]) -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        started = asyncio.get_running_loop().time()
        callers, others = Callers(environment, 1), Callers(environment, 2)
        sound = asyncio.create_task(callers.send_steadily(SOUND_PER_SECOND, 10.0, *SOUND_PROMPTS))
        await asyncio.sleep(WARM_UP_SECONDS)
        await others.send_steadily(CRASHING_PER_SECOND, 8.5, *crashing)
        sent = await sound
        assert len(pool.ends) >= 1
        if len(pool.ends) >= 5:
            check_arrivals(pool, "bad")
        late = started + 7.5
        before = measure_served(sent, started, started + WARM_UP_SECONDS)
        assert measure_served(sent, late, late + 3) >= before / 2
        assert len([end for end in pool.ends if end > late]) == 0

    run_pool_scenario(scenario, "bad")


# Guards the mend of incident 30: engines that end for other reasons must not count against the
# parts of the prompts that broke with them.
def test_ends_for_other_reasons_blame_no_part() -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        started = asyncio.get_running_loop().time()
        sound = asyncio.create_task(
            Callers(environment).send_steadily(SOUND_PER_SECOND, 7.0, *SOUND_PROMPTS)
        )
        await asyncio.sleep(WARM_UP_SECONDS)
        for _ in range(8):
            pool.end_one()
            await asyncio.sleep(0.3)
        sent = await sound
        assert measure_served(sent, started + 5, started + 8) == 1.0

    run_pool_scenario(scenario)
