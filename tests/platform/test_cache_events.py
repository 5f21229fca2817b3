"""Check how polls for cache events take a kept store that is silent for a while, or gone."""

import asyncio
import json
from collections.abc import Sequence

from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeServer
from turmericproxy.placement import PrefixTracker
from turmericproxy.placement.cache_poller import CacheEventPoller
from turmericproxy.platform.cache_events import PlatformCacheEventSource

# Seconds for which a sound upstream may be silent.
SILENCE_SECONDS = 1.2


async def watch_reachability(silences: Sequence[float], seconds: float) -> set[bool]:
    """Poll a kept store whose answers come late by ``silences``, the last one repeated."""
    polls = 0

    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        nonlocal polls
        silence = silences[min(polls, len(silences) - 1)]
        polls += 1
        await asyncio.sleep(int(request.headers.get("Wait-Ms") or 0) / 1000 + silence)
        content = {"epoch": 1, "next": polls, "lost": False, "events": []}
        writer.send(200, (), json.dumps(content).encode())

    server = EdgeServer("127.0.0.1:0", answer)
    await server.start()
    address = f"127.0.0.1:{server.port}"
    source, tracker = PlatformCacheEventSource(address), PrefixTracker(10)
    poller = CacheEventPoller(source, address, lambda: tracker)
    poller.start()
    seen, end = set(), asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0.02)
        seen.add(poller.is_reachable)
    poller.close()
    server.close()
    return seen


def test_kept_store_that_is_silent_once_stays_in_use() -> None:
    """Guard against prompt parts that are read again by engines because of one late poll."""
    assert asyncio.run(watch_reachability([0.0, SILENCE_SECONDS, 0.0], 4.5)) == {True}


def test_kept_store_that_is_silent_before_each_answer_stays_in_use() -> None:
    """Guard against a kept store that is never used though it answers each call."""
    assert asyncio.run(watch_reachability([SILENCE_SECONDS], 6.0)) == {True}


def test_kept_store_that_does_not_answer_is_out_of_use() -> None:
    """Guard against fetches from a store that is gone, each of which delays an engine."""
    assert asyncio.run(watch_reachability([0.0, 60.0], 5.0)) == {True, False}
