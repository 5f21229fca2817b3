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
from turmericproxy.crashes import persistence

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
    if len(pool.ends) < 5:
        return
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


async def end_engines_on(
    environment: HostEnvironment, pool: EnginePool, *shared: str, seconds: float = 3.0
) -> None:
    """Send sound requests, and some that end engines, until these are refused."""
    sound = Callers(environment, 1).send_steadily(SOUND_PER_SECOND, seconds, *SOUND_PROMPTS)
    task = asyncio.create_task(sound)
    await asyncio.sleep(1.0)
    await Callers(environment, 2).send_steadily(CRASHING_PER_SECOND, seconds - 1.5, shared)
    await task
    assert pool.ends


def find_block_rows(environment: HostEnvironment) -> list[str]:
    return [key for table, key in environment.store.list_keys() if table == "blocked"]


# A host that starts later would otherwise send the prompts that all others refuse.
def test_host_that_starts_later_refuses_what_the_others_refuse() -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        await end_engines_on(environment, pool, "aa", "bad")
        arrivals, ends = len(pool.list_arrivals("bad")), len(pool.ends)
        await environment.add_host("late")
        sent = await Callers(environment, 3).send_steadily(50.0, 1.0, ("b1", "bad"), host=3)
        assert {s.answer.status for s in sent} <= {503}
        assert len(pool.list_arrivals("bad")) == arrivals
        assert len(pool.ends) == ends
        assert (await Callers(environment, 4).send("aa", "b1", host=3)).is_served

    run_pool_scenario(scenario, "bad")


# No host remembers anything if all of them restart at once.
def test_block_outlasts_a_restart_of_all_hosts() -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        await end_engines_on(environment, pool, "aa", "bad")
        arrivals = len(pool.list_arrivals("bad"))
        assert len(find_block_rows(environment)) == 1
        for host in environment.hosts:
            await host.close()
        environment.hosts.clear()
        environment.settings.clear()
        environment.store.put("blocked", "torn", b"{")
        for number in range(3):
            await environment.add_host(f"h{number}")
        sent = await Callers(environment, 3).send_steadily(50.0, 1.0, ("b1", "bad"))
        assert {s.answer.status for s in sent} <= {503}
        assert len(pool.list_arrivals("bad")) == arrivals
        assert (await Callers(environment, 4).send("aa", "b1")).is_served

    run_pool_scenario(scenario, "bad")


# An operator who has repaired the engines must not have to wait until a block ends by itself.
def test_block_ends_on_all_hosts_when_its_row_is_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(persistence, "POLL_SECONDS", 0.5)

    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        await end_engines_on(environment, pool, "aa", "bad")
        pool.set_crashing_parts()
        (key,) = find_block_rows(environment)
        environment.store.delete("blocked", key)
        await asyncio.sleep(2.5)
        callers = Callers(environment, 3)
        sent = [await callers.send("aa", "bad", host=host) for host in range(3)]
        assert all(s.is_served for s in sent)

    run_pool_scenario(scenario, "bad")


def test_refusal_tells_that_nothing_ran_and_when_to_come_back() -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        await end_engines_on(environment, pool, "aa", "bad")
        answer = (await Callers(environment, 3).send("aa", "bad")).answer
        assert answer.status == 503
        assert answer.fields["x-result-code"] == "305"
        assert float(answer.fields["retry-after"]) > 500

    run_pool_scenario(scenario, "bad")


# A part that many prompts hold may begin to end engines, say with new weights.
def test_common_first_part_on_which_engines_begin_to_end_is_refused() -> None:
    async def scenario(environment: HostEnvironment, pool: EnginePool) -> None:
        started = asyncio.get_running_loop().time()
        prompts = [("aa", "b1"), ("aa", "b2"), ("zz", "b1"), ("zz", "b2"), ("zz", "b3")]
        task = asyncio.create_task(
            Callers(environment).send_steadily(SOUND_PER_SECOND, 10.0, *prompts)
        )
        await asyncio.sleep(2.0)
        pool.set_crashing_parts("aa")
        sent = await task
        check_arrivals(pool, "aa")
        others = [s for s in sent if s.at > started + 8.0 and s.answer.status != 503]
        assert all(s.is_served for s in others)
        assert measure_served(sent, started + 8.0, started + 10.0) >= 0.4

    run_pool_scenario(scenario)
