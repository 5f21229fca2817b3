"""Check that a follower sees each state, over outages and lost history."""

import asyncio

from turmericproxy.platform.store import PlatformStore
from turmericproxy.standins.platform_wire_store import WireStore
from turmericproxy.store import ChangedRow, TableFollower, TableState


class Copy:
    """Keep a copy of a table as a follower tells of it."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.states = 0

    def take_state(self, state: TableState) -> None:
        self.states += 1
        self.rows = {row.key: row.value for row in state.rows}

    def take_change(self, changed: ChangedRow) -> None:
        if changed.is_deleted:
            self.rows.pop(changed.row.key, None)
        else:
            self.rows[changed.row.key] = changed.row.value


async def start() -> tuple[WireStore, TableFollower, Copy]:
    store, copy = WireStore(), Copy()
    await store.start()
    store.put("t", "a", 1)
    follower = TableFollower(
        PlatformStore(store.address), "t", 1.0, copy.take_state, copy.take_change
    )
    follower.start()
    await asyncio.sleep(0.1)
    return store, follower, copy


def test_changes_and_deletions_come_as_they_happen() -> None:
    async def run() -> None:
        store, follower, copy = await start()
        assert copy.rows == {"a": b"1"}
        store.put("t", "b", 2)
        store.delete("t", "a")
        await asyncio.sleep(0.1)
        assert copy.rows == {"b": b"2"}
        assert copy.states == 1
        await follower.close()

    asyncio.run(run())


def test_lost_history_leads_to_a_new_reading() -> None:
    async def run() -> None:
        store, follower, copy = await start()
        store.put("t", "b", 2)
        store.forget_history()
        await asyncio.sleep(0.3)
        assert copy.rows == {"a": b"1", "b": b"2"}
        assert copy.states == 2
        await follower.close()

    asyncio.run(run())


def test_outage_is_noticed_and_its_end_too() -> None:
    async def run() -> None:
        store, follower, copy = await start()
        store.refusal = 503
        store.put("t", "b", 2)
        await asyncio.sleep(0.3)
        assert follower.is_store_unreachable
        store.put("t", "c", 3)
        store.refusal = None
        await asyncio.sleep(1.2)
        assert not follower.is_store_unreachable
        assert follower.reconnected_at is not None
        assert set(copy.rows) == {"a", "b", "c"}
        await follower.close()

    asyncio.run(run())


def test_row_that_cannot_be_handled_ends_nothing() -> None:
    async def run() -> None:
        store, copy = WireStore(), Copy()
        await store.start()
        store.put("t", "a", 1)

        def fail(changed: ChangedRow) -> None:
            raise ValueError("unusable")

        follower = TableFollower(PlatformStore(store.address), "t", 1.0, copy.take_state, fail)
        follower.start()
        await asyncio.sleep(0.1)
        store.put("t", "b", 2)
        await asyncio.sleep(1.2)
        assert set(copy.rows) == {"a", "b"}
        await follower.close()

    asyncio.run(run())
