"""Check that cache events update the tracker, and that restarts and failed polls are detected."""

import asyncio

from turmericproxy.placement.cache_poller import (
    CacheEvent,
    CacheEventPoller,
    EventPage,
    PollRefused,
)
from turmericproxy.placement.notices import UpstreamNotice
from turmericproxy.placement.prefixes import PartKey, PrefixTracker

A, B = PartKey("s", "a"), PartKey("s", "b")


class ScriptedSource:
    def __init__(self, *pages: EventPage | PollRefused | str) -> None:
        self._pages = list(pages)
        self.requested: list[int] = []

    async def read_events(self, since: int, wait: float) -> EventPage | PollRefused | str:
        self.requested.append(since)
        if not self._pages:
            await asyncio.sleep(10)
        return self._pages.pop(0)

    def close(self) -> None:
        pass


async def poll(source: ScriptedSource, tracker: PrefixTracker) -> CacheEventPoller:
    poller = CacheEventPoller(source, "x", lambda: tracker)  # type: ignore[arg-type]
    poller.start()
    await asyncio.sleep(1.3)
    poller.close()
    return poller


def test_parts_are_added_and_removed_and_a_restart_empties_the_cache() -> None:
    tracker = PrefixTracker(1000)
    source = ScriptedSource(
        EventPage(7, 3, (CacheEvent(A, 10, True), CacheEvent(B, 10, True))),
        EventPage(7, 4, (CacheEvent(A, 10, False),)),
        EventPage(8, 0, ()),
    )

    async def run() -> None:
        task = asyncio.create_task(poll(source, tracker))
        await asyncio.sleep(0.1)
        assert tracker.holds(A)
        await asyncio.sleep(0.55)
        assert not tracker.holds(A)
        assert tracker.holds(B)
        await task
        assert not tracker.holds(B)

    asyncio.run(run())
    assert source.requested[:3] == [0, 3, 4]


def test_reachability_is_the_result_of_the_last_poll_and_a_failure_needs_a_second_one() -> None:
    source = ScriptedSource("connection refused", "connection refused", EventPage(7, 3, ()))
    poller = asyncio.run(poll(source, PrefixTracker(10)))
    assert poller.is_reachable
    unreachable = ScriptedSource("connection refused", "connection refused")
    assert not asyncio.run(poll(unreachable, PrefixTracker(10))).is_reachable
    failed_once = ScriptedSource("connection refused", EventPage(7, 3, ()), "connection refused")
    assert asyncio.run(poll(failed_once, PrefixTracker(10))).is_reachable


def test_no_poll_is_sent_while_the_endpoint_wants_a_pause() -> None:
    source = ScriptedSource(EventPage(7, 3, ()), EventPage(7, 4, ()))
    pauses = [0.0, 0.6, 60.0]

    async def run() -> None:
        poller = CacheEventPoller(
            source, "x", lambda: PrefixTracker(10), measure_pause=lambda: pauses.pop(0)
        )
        poller.start()
        await asyncio.sleep(1.5)
        poller.close()

    asyncio.run(run())
    assert source.requested == [0]


def test_announcements_in_answers_to_polls_are_recorded() -> None:
    leaving, busy = UpstreamNotice(is_leaving=True), UpstreamNotice(pause_seconds=2.0)
    source = ScriptedSource(EventPage(7, 3, (), leaving), PollRefused(busy))
    recorded: list[UpstreamNotice] = []

    async def run() -> None:
        poller = CacheEventPoller(source, "x", lambda: PrefixTracker(10), recorded.append)
        poller.start()
        await asyncio.sleep(0.7)
        poller.close()

    asyncio.run(run())
    assert recorded == [leaving, busy]
