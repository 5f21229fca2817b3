"""Check that cache events are followed, over restarts and refusals too."""

import asyncio

from turmericproxy.placement.cache_poller import CacheEvent, CacheEventPoller, EventPage
from turmericproxy.placement.prefixes import PartKey, PrefixTracker

A, B = PartKey("s", "a"), PartKey("s", "b")


class ScriptedEvents:
    def __init__(self, *pages: EventPage | str) -> None:
        self._pages = list(pages)
        self.asked: list[int] = []

    async def read_events(self, since: int, wait: float) -> EventPage | str:
        self.asked.append(since)
        if not self._pages:
            await asyncio.sleep(10)
        return self._pages.pop(0)

    def close(self) -> None:
        pass


async def follow(events: ScriptedEvents, memory: PrefixTracker) -> CacheEventPoller:
    watch = CacheEventPoller(events, "x", lambda: memory)  # type: ignore[arg-type]
    watch.start()
    await asyncio.sleep(1.3)
    watch.close()
    return watch


def test_parts_come_and_go_and_a_restart_empties_the_cache() -> None:
    memory = PrefixTracker(1000)
    events = ScriptedEvents(
        EventPage(7, 3, (CacheEvent(A, 10, True), CacheEvent(B, 10, True))),
        EventPage(7, 4, (CacheEvent(A, 10, False),)),
        EventPage(8, 0, ()),
    )

    async def run() -> None:
        task = asyncio.create_task(follow(events, memory))
        await asyncio.sleep(0.1)
        assert memory.holds(A)
        await asyncio.sleep(0.55)
        assert not memory.holds(A)
        assert memory.holds(B)
        await task
        assert not memory.holds(B)

    asyncio.run(run())
    assert events.asked[:3] == [0, 3, 4]


def test_place_that_does_not_answer_is_not_reachable() -> None:
    events = ScriptedEvents("connection refused", EventPage(7, 3, ()))
    watch = asyncio.run(follow(events, PrefixTracker(10)))
    assert watch.is_reachable
    silent = ScriptedEvents("connection refused")
    assert not asyncio.run(follow(silent, PrefixTracker(10))).is_reachable
