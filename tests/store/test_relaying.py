"""Check that the hosts of a failure domain follow the store through one reader.

In a large domain they do so alone, in a small one beside calls of their own.
"""

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
    MAX_READER_WAIT_SECONDS,
    MAX_SMALL_DOMAIN_WAIT_SECONDS,
    READER_GRACE_SECONDS,
    merge_updates,
)
from turmericproxy.tables.messages import Committed, Row, Transaction

HOSTS = [HostName(f"h{n}") for n in range(LARGE_DOMAIN_HOSTS)]
# As for the configuration table, which changes rarely.
LONG_WAIT_SECONDS = 8.0
SMALL_DOMAIN = HOSTS[:3]
# Time limits of calls, as for those of the platform's client.
CALL_LIMIT_SECONDS = 2.0
MARGIN_SECONDS = 1.0
# Time after a silence from which on hosts count as reaching the store.
RECOVERY_SECONDS = 3.0
UNREACHABLE = refuse(ResultCode.PLATFORM_UNAVAILABLE, "unreachable")


@dataclass
class Store:
    """Hold one table, and count the calls that wait for its changes."""

    rows: list[ChangedRow] = field(default_factory=list)
    calls: int = 0
    reads: int = 0
    era: int = 1
    refused_hosts: set[HostName] = field(default_factory=set)
    unanswered_hosts: set[HostName] = field(default_factory=set)
    is_silent: bool = False
    abandoned: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def restore(self, version: int) -> None:
        """Go back to a version; later ones will be given out again."""
        del self.rows[version:]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def abandon_calls(self) -> None:
        """Never answer the calls that are open now."""
        self.abandoned += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str) -> None:
        self.rows.append(ChangedRow(Row(key, b"", len(self.rows) + 1), is_deleted=False))
        self.changed.set()
        self.changed = asyncio.Event()


@dataclass
class HostStore:
    """Access the store as one host."""

    store: Store
    host: HostName

    async def read_table(self, table: str) -> TableState | Refusal:
        self.store.reads += 1
        rows = tuple(c.row for c in self.store.rows)
        return TableState(rows, len(rows), 0.0, self.store.era)

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        limit = max(CALL_LIMIT_SECONDS, seconds + MARGIN_SECONDS)
        try:
            return await asyncio.wait_for(self._answer(version, seconds), limit)
        except TimeoutError:
            return UNREACHABLE

    async def _answer(self, version: int, seconds: float) -> Changes | HistoryGone | Refusal:
        store = self.store
        store.calls += 1
        abandoned = store.abandoned
        if self.host in store.unanswered_hosts or store.is_silent:
            await asyncio.sleep(60)
        if self.host in store.refused_hosts:
            return UNREACHABLE
        if len(store.rows) <= version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), seconds)
        if store.abandoned > abandoned:
            await asyncio.sleep(60)
        if self.host in store.refused_hosts:
            return UNREACHABLE
        if len(store.rows) < version:
            return HistoryGone(store.era)
        return Changes(tuple(store.rows[version:]), len(store.rows), store.era)

    async def commit(self, transaction: Transaction) -> Committed:
        raise NotImplementedError


class Domain:
    """Run the hosts of one failure domain; no update between running hosts is lost."""

    def __init__(self, hosts: list[HostName]) -> None:
        self.store = Store()
        self.running = set(hosts)
        self.keys: dict[HostName, list[str]] = {host: [] for host in hosts}
        self.relays = {host: self._create_relay(host) for host in hosts}
        self.followers = {host: self._create_follower(host) for host in hosts}

    def _create_relay(self, host: HostName) -> RelayedStore:
        def send(update: ReaderUpdate) -> None:
            for other in self.running - {host}:
                self.relays[other].receive_update(host, update)

        return RelayedStore(
            HostStore(self.store, host), host, lambda: sorted(self.running - {host}), send
        )

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
        return choose_by_hash("t", self.running)

    async def stop(self, host: HostName) -> None:
        self.running.discard(host)
        await self.followers[host].close()


def run_scenario(
    scenario: Callable[[Domain], Awaitable[None]], hosts: list[HostName] = HOSTS
) -> None:
    async def run() -> None:
        domain = Domain(hosts)
        for follower in domain.followers.values():
            follower.start()
        await asyncio.sleep(0.05)
        try:
            await scenario(domain)
        finally:
            for follower in domain.followers.values():
                await follower.close()

    asyncio.run(run())


async def put_each(domain: Domain, *keys: str) -> None:
    for key in keys:
        domain.store.put(key)
        await asyncio.sleep(0.02)


def test_one_call_delivers_a_change_to_all_hosts() -> None:
    async def scenario(domain: Domain) -> None:
        before = domain.store.calls
        await put_each(domain, "a", "b", "c")
        assert all(keys == ["a", "b", "c"] for keys in domain.keys.values())
        assert domain.store.calls - before == 3

    run_scenario(scenario)


def test_next_reader_continues_where_a_lost_one_stopped() -> None:
    async def scenario(domain: Domain) -> None:
        await put_each(domain, "a")
        lost = domain.reader
        await domain.stop(lost)
        domain.store.put("b")
        await asyncio.sleep(0.6)
        await put_each(domain, "c")
        assert all(domain.keys[host] == ["a", "b", "c"] for host in domain.running)

    run_scenario(scenario)


def test_hosts_receive_changes_while_only_their_reader_cannot_reach_the_store() -> None:
    async def scenario(domain: Domain) -> None:
        reader = domain.reader
        domain.store.refused_hosts.add(reader)
        await put_each(domain, "a", "b")
        others = domain.running - {reader}
        assert all(domain.keys[host] == ["a", "b"] for host in others)
        assert not any(domain.followers[host].is_store_unreachable for host in others)
        domain.store.refused_hosts.clear()
        await asyncio.sleep(2.2)
        before = domain.store.calls
        await put_each(domain, "c", "d")
        assert all(domain.keys[host] == ["a", "b", "c", "d"] for host in domain.running)
        assert domain.store.calls - before == 2

    run_scenario(scenario)


def test_outage_is_detected_by_every_host() -> None:
    async def scenario(domain: Domain) -> None:
        domain.store.refused_hosts.update(HOSTS)
        await put_each(domain, "a")
        await asyncio.sleep(0.1)
        assert all(follower.is_store_unreachable for follower in domain.followers.values())
        domain.store.refused_hosts.clear()
        await asyncio.sleep(1.2)
        assert all(f.reconnected_at is not None for f in domain.followers.values())
        assert all(keys == ["a"] for keys in domain.keys.values())

    run_scenario(scenario)


def test_wait_for_an_unresponsive_reader_is_bounded() -> None:
    async def run() -> None:
        store = Store()
        host = next(h for h in HOSTS if h != choose_by_hash("t", HOSTS))
        relay = RelayedStore(
            HostStore(store, host),
            host,
            lambda: [h for h in HOSTS if h != host],
            lambda _update: None,
        )
        store.put("a")
        changes = await asyncio.wait_for(relay.wait_for_changes("t", 0, 0.2), 1.5)
        assert isinstance(changes, Changes) and changes.version == 1

    asyncio.run(run())


def test_small_domain_has_no_reader() -> None:
    async def run() -> None:
        store = Store()
        sent: list[ReaderUpdate] = []
        for host in HOSTS[1:]:
            peers = [h for h in HOSTS[1:] if h != host]
            relay = RelayedStore(
                HostStore(store, host), host, lambda peers=peers: peers, sent.append
            )
            await relay.wait_for_changes("t", 0, 0.01)
        assert store.calls == len(HOSTS) - 1 and not sent

    asyncio.run(run())


def test_lost_host_changes_the_reader_of_its_own_tables_only() -> None:
    tables = [f"table {n}" for n in range(50)]
    before = {table: choose_by_hash(table, HOSTS) for table in tables}
    assert len(set(before.values())) > LARGE_DOMAIN_HOSTS // 2
    for table, reader in before.items():
        remaining = [host for host in HOSTS if host != HOSTS[0]]
        assert (choose_by_hash(table, remaining) == reader) is (reader != HOSTS[0])


@pytest.mark.parametrize(
    ("spans", "version", "expected"),
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
def test_updates_are_merged_only_without_a_gap(
    spans: list[tuple[int, int]], version: int, expected: int | None
) -> None:
    updates = [ReaderUpdate("t", base, Changes((), end)) for base, end in spans]
    merged = merge_updates(updates, version)
    assert (merged.version if merged else None) == expected


def test_hosts_receive_changes_in_time_while_calls_of_the_reader_hang() -> None:
    async def scenario(domain: Domain) -> None:
        reader = domain.reader
        domain.store.unanswered_hosts.add(reader)
        await put_each(domain, "a")
        # The call that was open at that time may still return "a", so "b" is checked.
        domain.store.put("b")
        await asyncio.sleep(MAX_READER_WAIT_SECONDS + READER_GRACE_SECONDS + 0.3)
        assert all("b" in keys for host, keys in domain.keys.items() if host != reader)
        domain.store.put("c")
        await asyncio.sleep(0.1)
        assert all("c" in keys for host, keys in domain.keys.items() if host != reader)

    run_scenario(scenario)


def test_another_reader_takes_over_while_the_first_cannot_reach_the_store() -> None:
    async def scenario(domain: Domain) -> None:
        reader = domain.reader
        domain.store.refused_hosts.add(reader)
        await put_each(domain, "a")
        await asyncio.sleep(MAX_READER_WAIT_SECONDS + 0.2)
        before = domain.store.calls
        await put_each(domain, "b", "c", "d")
        assert domain.store.calls - before <= 4
        # The host that can't reach the store receives the changes too.
        assert all(keys == ["a", "b", "c", "d"] for keys in domain.keys.values())

    run_scenario(scenario)


@pytest.mark.parametrize("later", [[], ["c"], ["c", "d", "e"]])
def test_all_hosts_read_the_table_again_after_a_restoration(later: list[str]) -> None:
    async def scenario(domain: Domain) -> None:
        await put_each(domain, "a", "b")
        before = domain.store.reads
        domain.store.restore(1)
        for key in later:
            domain.store.put(key)
        await asyncio.sleep(0.3)
        assert domain.store.reads - before == len(HOSTS)
        assert all(keys == ["a", "b", "a", *later] for keys in domain.keys.values())
        await put_each(domain, "z")
        assert all(keys[-1] == "z" for keys in domain.keys.values())

    run_scenario(scenario)


def test_updates_of_an_earlier_era_are_ignored() -> None:
    earlier = ReaderUpdate("t", 3, Changes((ChangedRow(Row("k", b"", 4), is_deleted=False),), 4, 1))
    assert merge_updates([earlier], 3, era=2) == Changes((), 3, 2)


def test_update_of_a_later_era_ends_the_comparison_of_versions() -> None:
    later = ReaderUpdate("t", 3, Changes((ChangedRow(Row("k", b"", 4), is_deleted=False),), 4, 2))
    assert merge_updates([later], 3, era=1) == Changes((), 4, 2)


@pytest.mark.parametrize("hosts", [HOSTS, SMALL_DOMAIN], ids=["large", "small"])
@pytest.mark.parametrize("seconds", [0.0, 0.6, 1.9, 3.7])
def test_changes_are_known_in_time_after_the_store_was_silent(
    hosts: list[HostName], seconds: float
) -> None:
    """Guard against hosts that wait for calls which a silent store has swallowed."""

    async def scenario(domain: Domain) -> None:
        await asyncio.sleep(0.4)
        domain.store.abandon_calls()
        domain.store.is_silent = True
        await asyncio.sleep(seconds)
        domain.store.is_silent = False
        domain.store.put("a")
        await asyncio.sleep(RECOVERY_SECONDS)
        assert all(keys == ["a"] for keys in domain.keys.values())

    run_scenario(scenario, hosts)


@pytest.mark.parametrize("moment", [0.1, 0.6])
def test_silence_in_which_registrations_expire_is_noticed_by_all_hosts(moment: float) -> None:
    """Guard against hosts that take expired registrations for servers that have gone.

    They expire after 2.4 s of silence at the least; a host that has noticed it waits for them.
    """

    async def scenario(domain: Domain) -> None:
        await asyncio.sleep(moment)
        domain.store.abandon_calls()
        domain.store.is_silent = True
        await asyncio.sleep(2.4)
        domain.store.is_silent = False
        await asyncio.sleep(RECOVERY_SECONDS)
        assert all(f.reconnected_at is not None for f in domain.followers.values())

    run_scenario(scenario)


def test_lost_reader_delays_no_change_in_a_small_domain() -> None:
    async def scenario(domain: Domain) -> None:
        await domain.stop(domain.reader)
        await put_each(domain, "a", "b")
        assert all(domain.keys[host] == ["a", "b"] for host in domain.running)

    run_scenario(scenario, SMALL_DOMAIN)


def test_reader_tells_a_change_to_hosts_whose_own_calls_are_refused() -> None:
    async def scenario(domain: Domain) -> None:
        domain.store.refused_hosts.update(domain.running - {domain.reader})
        await put_each(domain, "a", "b")
        assert all(keys == ["a", "b"] for keys in domain.keys.values())

    run_scenario(scenario, SMALL_DOMAIN)


def test_calls_in_a_small_domain_are_those_of_one_reader_and_long_ones() -> None:
    """Guard against hosts that each make short calls, which the platform charges for."""

    async def scenario(domain: Domain) -> None:
        await asyncio.sleep(4.0)
        confirmations = 4.0 / MAX_SMALL_DOMAIN_WAIT_SECONDS
        assert domain.store.calls <= len(SMALL_DOMAIN) + confirmations + 1

    run_scenario(scenario, SMALL_DOMAIN)
