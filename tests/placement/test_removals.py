"""Check that registrations that lapse in an outage are kept for their return."""

import asyncio

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import removals
from turmericproxy.placement.removals import RemovalScheduler

ONE = InstanceId("one")


@pytest.fixture(autouse=True)
def shorten_return(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(removals, "RETURN_SECONDS", 0.1)


async def lose(*, regained: float | None, returns: bool) -> tuple[list[InstanceId], ...]:
    removed: list[InstanceId] = []
    loop = asyncio.get_running_loop()
    keeper = RemovalScheduler(removed.append)
    keeper.record_missing(ONE, None if regained is None else loop.time() + regained)
    early = list(removed)
    await asyncio.sleep(0.05)
    if returns:
        keeper.record_present(ONE)
    await asyncio.sleep(0.1)
    return early, removed


def test_without_an_outage_the_upstream_is_gone_at_once() -> None:
    assert asyncio.run(lose(regained=None, returns=False)) == ([ONE], [ONE])


def test_long_after_an_outage_the_upstream_is_gone_at_once() -> None:
    assert asyncio.run(lose(regained=-1.0, returns=False)) == ([ONE], [ONE])


def test_after_an_outage_the_upstream_has_time_to_return() -> None:
    assert asyncio.run(lose(regained=0.0, returns=True)) == ([], [])


def test_upstream_that_does_not_return_is_gone() -> None:
    assert asyncio.run(lose(regained=0.0, returns=False)) == ([], [ONE])
