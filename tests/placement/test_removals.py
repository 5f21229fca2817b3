"""Check that removals are delayed after a store outage, so that upstreams can register again."""

import asyncio

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import removals
from turmericproxy.placement.removals import RemovalScheduler

ONE = InstanceId("one")
START = 7


@pytest.fixture(autouse=True)
def shorten_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(removals, "REREGISTRATION_SECONDS", 0.1)


def create_scheduler(
    removed: list[InstanceId], *, is_announcer: bool = True, started_at: int | None = START
) -> RemovalScheduler:
    return RemovalScheduler(removed.append, lambda _: started_at, lambda _: is_announcer)


async def schedule_removal(
    *, reconnected: float | None, registers: bool
) -> tuple[list[InstanceId], ...]:
    removed: list[InstanceId] = []
    loop = asyncio.get_running_loop()
    scheduler = create_scheduler(removed)
    scheduler.record_missing(ONE, None if reconnected is None else loop.time() + reconnected)
    removed_at_once = list(removed)
    await asyncio.sleep(0.05)
    if registers:
        scheduler.record_present(ONE)
    await asyncio.sleep(0.1)
    return removed_at_once, removed


def test_without_an_outage_the_upstream_is_removed_at_once() -> None:
    assert asyncio.run(schedule_removal(reconnected=None, registers=False)) == ([ONE], [ONE])


def test_long_after_an_outage_the_upstream_is_removed_at_once() -> None:
    assert asyncio.run(schedule_removal(reconnected=-1.0, registers=False)) == ([ONE], [ONE])


def test_upstream_that_registers_again_after_an_outage_is_kept() -> None:
    assert asyncio.run(schedule_removal(reconnected=0.0, registers=True)) == ([], [])


def test_upstream_that_does_not_register_again_after_an_outage_is_removed() -> None:
    assert asyncio.run(schedule_removal(reconnected=0.0, registers=False)) == ([], [ONE])


def test_removal_seen_by_a_host_in_contact_with_the_store_is_not_delayed_at_others() -> None:
    """Guard against requests to upstreams that left while only this host was cut off."""

    async def scenario(*, is_told_first: bool) -> list[InstanceId]:
        removed: list[InstanceId] = []
        witness, cut = create_scheduler([]), create_scheduler(removed)
        witness.record_missing(ONE, None)
        notices = witness.list_notices()
        assert notices == witness.take_notices() == ((ONE, START),)
        if is_told_first:
            cut.receive_notices(notices)
        cut.record_missing(ONE, asyncio.get_running_loop().time())
        if not is_told_first:
            assert not removed
            cut.receive_notices(notices)
        return removed

    for is_told_first in (False, True):
        assert asyncio.run(scenario(is_told_first=is_told_first)) == [ONE]


def test_notice_of_another_start_does_not_shorten_the_delay() -> None:
    """Guard against losing an upstream that has started again at its id."""

    async def scenario() -> list[InstanceId]:
        removed: list[InstanceId] = []
        scheduler = create_scheduler(removed)
        scheduler.record_missing(ONE, asyncio.get_running_loop().time())
        scheduler.receive_notices([(ONE, START - 1)])
        return removed

    assert asyncio.run(scenario()) == []


def test_removals_after_an_outage_are_not_told() -> None:
    """Guard against hosts that confirm to each other what none of them knows."""

    async def scenario() -> tuple[object, ...]:
        removed: list[InstanceId] = []
        scheduler = create_scheduler(removed)
        scheduler.record_missing(ONE, asyncio.get_running_loop().time())
        await asyncio.sleep(0.15)
        return removed, scheduler.take_notices(), scheduler.list_notices()

    assert asyncio.run(scenario()) == ([ONE], (), ())


def test_upstream_that_registers_again_is_not_told_as_removed() -> None:
    async def scenario() -> tuple[object, ...]:
        scheduler = create_scheduler([], is_announcer=False)
        scheduler.record_missing(ONE, None)
        assert scheduler.list_notices() == ((ONE, START),)
        scheduler.record_present(ONE)
        return scheduler.take_notices(), scheduler.list_notices()

    assert asyncio.run(scenario()) == ((), ())
