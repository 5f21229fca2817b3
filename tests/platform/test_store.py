"""Test how the client interprets answers and missing answers of the store."""

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


def test_conflicting_commit_is_rejected() -> None:
    async def run() -> None:
        wire, store = await start()
        first = await store.commit(write(b"one"))
        assert isinstance(first, Committed)
        assert isinstance(await store.commit(write(b"two")), Conflict)
        version = first.get_version("t", "k")
        assert isinstance(await store.commit(write(b"three", version)), Committed)
        assert wire.find("t", "k") == b"three"

    asyncio.run(run())


def test_commit_without_an_answer_has_an_unknown_result() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.lost_answers = 1
        assert isinstance(await store.commit(write(b"one")), AnswerLost)
        assert wire.find("t", "k") == b"one"

    asyncio.run(run())


def test_calls_rejected_by_a_busy_store_are_refused() -> None:
    async def run() -> None:
        wire, store = await start()
        for status in (429, 503):
            wire.refusal = status
            assert isinstance(await store.commit(write(b"one")), Refusal)
            assert isinstance(await store.read_table("t"), Refusal)

    asyncio.run(run())


def test_table_of_many_pages_is_read_completely() -> None:
    async def run() -> None:
        wire, store = await start()
        for n in range(1_203):
            wire.put("t", f"k{n:05}", n)
        state = await store.read_table("t")
        assert isinstance(state, TableState)
        assert [row.key for row in state.rows] == [f"k{n:05}" for n in range(1_203)]

    asyncio.run(run())


def test_missing_history_is_reported() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.discard_history()
        assert isinstance(await store.wait_for_changes("t", 0, 0.1), HistoryGone)

    asyncio.run(run())


def test_calls_to_an_unreachable_store_fail() -> None:
    async def run() -> None:
        wire, store = await start()
        wire.close()
        await asyncio.sleep(0.05)
        assert isinstance(await store.read_table("t"), Refusal)
        assert isinstance(await store.commit(write(b"one")), AnswerLost)

    asyncio.run(run())
