"""Check what is concluded from the store's answers and silences."""

import asyncio

from turmericproxy.core import Refusal
from turmericproxy.platform.store import PlatformStore
from turmericproxy.standins.platform_wire_store import WireStore
from turmericproxy.store import HistoryGone, TableState
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)


async def start() -> tuple[WireStore, PlatformStore]:
    wire = WireStore()
    await wire.start()
    return wire, PlatformStore(wire.address)


def write(value: bytes, version: int | None = None) -> Transaction:
    return Transaction((Condition("t", "k", version),), (Write("t", "k", value),))


def test_condition_decides_a_race() -> None:
    async def run() -> None:
        wire, store = await start()
        first = await store.commit(write(b"one"))
        assert isinstance(first, Committed)
        assert isinstance(await store.commit(write(b"two")), Conflict)
        version = first.get_version("t", "k")
        assert isinstance(await store.commit(write(b"three", version)), Committed)
        assert wire.find("t", "k") == b"three"

    asyncio.run(run())


def test_lost_answer_is_neither_success_nor_refusal() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.lost_answers = 1
        assert isinstance(await store.commit(write(b"one")), AnswerLost)
        assert wire.find("t", "k") == b"one"

    asyncio.run(run())


def test_busy_store_has_done_nothing() -> None:
    async def run() -> None:
        wire, store = await start()
        for status in (429, 503):
            wire.refusal = status
            assert isinstance(await store.commit(write(b"one")), Refusal)
            assert isinstance(await store.read_table("t"), Refusal)

    asyncio.run(run())


def test_tables_of_many_pages_are_read_whole() -> None:
    async def run() -> None:
        wire, store = await start()
        for n in range(1_203):
            wire.put("t", f"k{n:05}", n)
        state = await store.read_table("t")
        assert isinstance(state, TableState)
        assert [row.key for row in state.rows] == [f"k{n:05}" for n in range(1_203)]

    asyncio.run(run())


def test_lost_history_is_told() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.discard_history()
        assert isinstance(await store.wait_for_changes("t", 0, 0.1), HistoryGone)

    asyncio.run(run())


def test_store_that_is_not_there_is_refused_in_time() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.close()
        await asyncio.sleep(0.05)
        assert isinstance(await store.read_table("t"), Refusal)
        assert isinstance(await store.commit(write(b"one")), AnswerLost)

    asyncio.run(run())
