"""Check that the hosts of a large failure domain follow the store through one of them."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest

from turmericproxy.core import HostName, Refusal, ResultCode, refuse
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.store import (
    ChangedRow,
    Changes,
    HistoryGone,
    ReaderUpdate,
    RelayedStore,
    TableFollower,
    TableState,
)
from turmericproxy.store.relaying import (
    LARGE_DOMAIN_HOSTS,
    PATIENCE_SECONDS,
    READER_WAIT_SECONDS,
    join_answers,
)
from turmericproxy.tables.messages import Committed, Row, Transaction

HOSTS = [HostName(f"h{n}") for n in range(LARGE_DOMAIN_HOSTS)]
# As for the configuration, which changes seldom.
LONG_WAIT_SECONDS = 8.0
AWAY = refuse(ResultCode.PLATFORM_UNAVAILABLE, "away")


@dataclass
class Store:
    """Keep one table, and count the calls that wait for its changes."""

    rows: list[ChangedRow] = field(default_factory=list)
    calls: int = 0
    lost_by: set[HostName] = field(default_factory=set)
    silent_to: set[HostName] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str) -> None:
        self.rows.append(ChangedRow(Row(key, b"", len(self.rows) + 1), is_deleted=False))
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass
class Access:
    """Reach the store as one host does."""

    store: Store
    host: HostName

    async def read_table(self, table: str) -> TableState | Refusal:
        return TableState(tuple(c.row for c in self.store.rows), len(self.store.rows), 0.0)

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        store = self.store
        store.calls += 1
        if self.host in store.silent_to:
            await asyncio.sleep(60)
        if self.host in store.lost_by:
            return AWAY
        if len(store.rows) <= version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), seconds)
        if self.host in store.lost_by:
            return AWAY
        return Changes(tuple(store.rows[version:]), len(store.rows))

    async def commit(self, transaction: Transaction) -> Committed:
        raise NotImplementedError


class Domain:
    """Run the hosts of one failure domain, with links that lose nothing while they are up."""

    def __init__(self) -> None:
        self.store = Store()
        self.up = set(HOSTS)
        self.keys: dict[HostName, list[str]] = {host: [] for host in HOSTS}
        self.relays = {host: self._create_relay(host) for host in HOSTS}
        self.followers = {host: self._create_follower(host) for host in HOSTS}

    def _create_relay(self, host: HostName) -> RelayedStore:
        def tell(news: ReaderUpdate) -> None:
            for other in self.up - {host}:
                self.relays[other].receive_update(host, news)

        return RelayedStore(Access(self.store, host), host, lambda: sorted(self.up - {host}), tell)

    def _create_follower(self, host: HostName) -> TableFollower:
        keys = self.keys[host]
        return TableFollower(
            self.relays[host],
            "t",
            LONG_WAIT_SECONDS,
            lambda state: keys.extend(row.key for row in state.rows),
            lambda changed: keys.append(changed.row.key),
        )

    @property
    def reader(self) -> HostName:
        return choose_by_hash("t", self.up)

    async def stop(self, host: HostName) -> None:
        self.up.discard(host)
        await self.followers[host].close()


def play(scene: Callable[[Domain], Awaitable[None]]) -> None:
    async def run() -> None:
        domain = Domain()
        for follower in domain.followers.values():
            follower.start()
        await asyncio.sleep(0.05)
        try:
            await scene(domain)
        finally:
            for follower in domain.followers.values():
                await follower.close()

    asyncio.run(run())


async def put_each(domain: Domain, *keys: str) -> None:
    for key in keys:
        domain.store.put(key)
        await asyncio.sleep(0.02)


def test_one_call_tells_all_hosts_of_a_change() -> None:
    async def scene(domain: Domain) -> None:
        before = domain.store.calls
        await put_each(domain, "a", "b", "c")
        assert all(keys == ["a", "b", "c"] for keys in domain.keys.values())
        assert domain.store.calls - before == 3

    play(scene)


def test_the_next_host_reads_on_where_a_lost_reader_stopped() -> None:
    async def scene(domain: Domain) -> None:
        await put_each(domain, "a")
        lost = domain.reader
        await domain.stop(lost)
        domain.store.put("b")
        await asyncio.sleep(0.6)
        await put_each(domain, "c")
        assert all(domain.keys[host] == ["a", "b", "c"] for host in domain.up)

    play(scene)


def test_hosts_ask_the_store_themselves_while_only_their_reader_has_lost_it() -> None:
    async def scene(domain: Domain) -> None:
        reader = domain.reader
        domain.store.lost_by.add(reader)
        await put_each(domain, "a", "b")
        others = domain.up - {reader}
        assert all(domain.keys[host] == ["a", "b"] for host in others)
        assert not any(domain.followers[host].is_store_unreachable for host in others)
        domain.store.lost_by.clear()
        await asyncio.sleep(2.2)
        before = domain.store.calls
        await put_each(domain, "c", "d")
        assert all(domain.keys[host] == ["a", "b", "c", "d"] for host in domain.up)
        assert domain.store.calls - before == 2

    play(scene)


def test_an_outage_is_noticed_by_every_host() -> None:
    async def scene(domain: Domain) -> None:
        domain.store.lost_by.update(HOSTS)
        await put_each(domain, "a")
        await asyncio.sleep(0.1)
        assert all(follower.is_store_unreachable for follower in domain.followers.values())
        domain.store.lost_by.clear()
        await asyncio.sleep(1.2)
        assert all(f.reconnected_at is not None for f in domain.followers.values())
        assert all(keys == ["a"] for keys in domain.keys.values())

    play(scene)


def test_a_silent_reader_is_not_waited_for_much_longer_than_a_call() -> None:
    async def run() -> None:
        store = Store()
        host = next(h for h in HOSTS if h != choose_by_hash("t", HOSTS))
        relay = RelayedStore(
            Access(store, host), host, lambda: [h for h in HOSTS if h != host], lambda _news: None
        )
        store.put("a")
        changes = await asyncio.wait_for(relay.wait_for_changes("t", 0, 0.2), 1.5)
        assert isinstance(changes, Changes) and changes.version == 1

    asyncio.run(run())


def test_a_small_domain_has_no_reader() -> None:
    async def run() -> None:
        store = Store()
        told: list[ReaderUpdate] = []
        for host in HOSTS[1:]:
            near = [h for h in HOSTS[1:] if h != host]
            relay = RelayedStore(Access(store, host), host, lambda near=near: near, told.append)
            await relay.wait_for_changes("t", 0, 0.01)
        assert store.calls == len(HOSTS) - 1 and not told

    asyncio.run(run())


def test_the_loss_of_a_host_changes_the_reader_of_its_own_tables_only() -> None:
    tables = [f"table {n}" for n in range(50)]
    before = {table: choose_by_hash(table, HOSTS) for table in tables}
    assert len(set(before.values())) > LARGE_DOMAIN_HOSTS // 2
    for table, reader in before.items():
        left = [host for host in HOSTS if host != HOSTS[0]]
        assert (choose_by_hash(table, left) == reader) is (reader != HOSTS[0])


@pytest.mark.parametrize(
    ("spans", "version", "reached"),
    [
        ([(1, 3), (3, 5)], 1, 5),
        ([(1, 3), (3, 5)], 2, 5),
        ([(1, 3), (4, 5)], 1, None),
        ([(1, 3), (1, 2), (2, 6)], 5, 6),
        ([(7, 7)], 7, 7),
        ([(2, 2)], 7, 7),
        ([], 7, 7),
    ],
)
def test_answers_are_joined_only_without_a_gap(
    spans: list[tuple[int, int]], version: int, reached: int | None
) -> None:
    answers = [ReaderUpdate("t", after, Changes((), upto)) for after, upto in spans]
    joined = join_answers(answers, version)
    assert (joined.version if joined else None) == reached


def test_hosts_learn_of_changes_in_time_while_their_reader_s_link_is_silent() -> None:
    async def scene(domain: Domain) -> None:
        reader = domain.reader
        domain.store.silent_to.add(reader)
        await put_each(domain, "a")
        # The call that was open when the link fell silent may still have told of this one.
        domain.store.put("b")
        await asyncio.sleep(READER_WAIT_SECONDS + PATIENCE_SECONDS + 0.3)
        assert all("b" in keys for host, keys in domain.keys.items() if host != reader)
        domain.store.put("c")
        await asyncio.sleep(0.1)
        assert all("c" in keys for host, keys in domain.keys.items() if host != reader)

    play(scene)


def test_another_reader_follows_while_the_first_one_has_lost_the_store() -> None:
    async def scene(domain: Domain) -> None:
        reader = domain.reader
        domain.store.lost_by.add(reader)
        await put_each(domain, "a")
        await asyncio.sleep(READER_WAIT_SECONDS + 0.2)
        before = domain.store.calls
        await put_each(domain, "b", "c", "d")
        assert domain.store.calls - before <= 4
        # The host that can't reach the store learns of them too.
        assert all(keys == ["a", "b", "c", "d"] for keys in domain.keys.values())

    play(scene)
