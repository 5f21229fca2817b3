"""Check that removals are delayed after a store outage, so that upstreams can register again."""

import asyncio

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import removals
from turmericproxy.placement.removals import RemovalScheduler

ONE = InstanceId("one")


@pytest.fixture(autouse=True)
def shorten_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(removals, "REREGISTRATION_SECONDS", 0.1)


async def schedule_removal(
    *, reconnected: float | None, registers: bool
) -> tuple[list[InstanceId], ...]:
    removed: list[InstanceId] = []
    loop = asyncio.get_running_loop()
    scheduler = RemovalScheduler(removed.append)
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
