"""Check which caches a host polls and how it determines the reachability of the kept store."""

import asyncio
from dataclasses import dataclass, field, replace

from tests.placement.support import STORE, create_entry, create_registry
from turmericproxy.core import HostName
from turmericproxy.host.cache_following import CachePollerManager
from turmericproxy.placement import PrefixTracker
from turmericproxy.placement.cache_poller import CacheEvent, EventPage
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.store import LARGE_DOMAIN_HOSTS

HOST = HostName("h0")
PEERS = [HostName(f"h{number}") for number in range(1, LARGE_DOMAIN_HOSTS)]
SHARED, PRIVATE = PartKey("s", "shared"), PartKey("s", "private")


@dataclass
class FakeEndpoints:
    polled: list[str] = field(default_factory=list)
    is_down: bool = False
    epoch: int = 1
    events: tuple[CacheEvent, ...] = ()

    def create_source(self, address: str) -> "FakeEventSource":
        self.polled.append(address)
        return FakeEventSource(self)


@dataclass
class FakeEventSource:
    endpoints: FakeEndpoints

    async def read_events(self, since: int, wait: float) -> EventPage | str:
        await asyncio.sleep(0.01)
        return (
            "connection refused"
            if self.endpoints.is_down
            else EventPage(self.endpoints.epoch, 0, self.endpoints.events)
        )

    def close(self) -> None:
        pass


def test_only_local_engines_are_polled_and_peers_report_on_a_remote_store() -> None:
    async def run() -> None:
        endpoints = FakeEndpoints()
        local, remote = create_entry("local", domain="a"), create_entry("remote", domain="b")
        manager = CachePollerManager(
            endpoints.create_source, create_registry(local, remote), PrefixTracker(10), "a", HOST
        )
        manager.update(STORE)
        assert endpoints.polled == [local.address]
        assert manager.get_own_reachability() is None
        assert manager.is_kept_store_reachable()
        manager.receive_reachability(False)
        assert not manager.is_kept_store_reachable()
        manager.close()

    asyncio.run(run())


def test_host_in_the_domain_of_the_store_polls_it() -> None:
    async def run() -> None:
        endpoints = FakeEndpoints(is_down=True)
        manager = CachePollerManager(
            endpoints.create_source, create_registry(), PrefixTracker(10), STORE.domain, HOST
        )
        manager.update(STORE)
        await asyncio.sleep(0.1)
        assert endpoints.polled == [STORE.address]
        assert manager.get_own_reachability() is False
        manager.close()

    asyncio.run(run())


def create_manager(
    endpoints: FakeEndpoints, host: HostName, *engines: str, kept: PrefixTracker | None = None
) -> CachePollerManager:
    """Return the manager of one host of a large domain with the given local engines."""
    registry = create_registry(*(create_entry(name, domain=STORE.domain) for name in engines))
    others = [other for other in (HOST, *PEERS) if other != host]
    return CachePollerManager(
        endpoints.create_source,
        registry,
        kept or PrefixTracker(1000),
        STORE.domain,
        host,
        lambda: others,
    )


def test_each_cache_of_a_large_domain_is_polled_by_one_host() -> None:
    """All hosts once polled each cache, and most polls were refused as too many."""

    async def run() -> None:
        endpoints = FakeEndpoints()
        engines = ["e" * length for length in range(1, 13)]
        managers = [create_manager(endpoints, host, *engines) for host in (HOST, *PEERS)]
        for manager in managers:
            manager.update(STORE)
        assert len(endpoints.polled) == len(set(endpoints.polled)) == len(engines) + 1
        for manager in managers:
            manager.close()

    asyncio.run(run())


def test_evictions_of_shared_parts_are_reported_to_the_hosts_that_do_not_poll() -> None:
    async def run() -> None:
        kept = PrefixTracker(1000)
        kept.add([(SHARED, 10)])
        endpoints = FakeEndpoints(
            events=(CacheEvent(SHARED, 0, False), CacheEvent(PRIVATE, 0, False))
        )
        managers = [create_manager(endpoints, host, "e", kept=kept) for host in (HOST, *PEERS)]
        for manager in managers:
            manager.update(None)
        await asyncio.sleep(0.1)
        reports = [manager.take_evicted() for manager in managers]
        (report,) = [report for report in reports if report]
        assert report == (("e", SHARED),)
        other = next(m for m, taken in zip(managers, reports, strict=True) if not taken)
        state = other._registry.list_states()[0]
        state.prefixes.add([(SHARED, 10)])
        other.receive_evicted(report)
        assert not state.prefixes.holds(SHARED)
        for manager in managers:
            manager.close()

    asyncio.run(run())


def test_restart_of_the_kept_store_empties_it_for_hosts_that_do_not_poll_it() -> None:
    """Hosts of other domains once went on to fetch from the empty store, and saved nothing anew."""
    kept = PrefixTracker(1000)
    manager = create_manager(FakeEndpoints(), HOST, kept=kept)
    manager.receive_kept_epoch(1)
    kept.add([(SHARED, 10)])
    manager.receive_kept_epoch(1)
    assert kept.holds(SHARED)
    manager.receive_kept_epoch(2)
    assert not kept.holds(SHARED)


def test_engine_that_restarts_at_another_address_is_polled_there() -> None:
    """Guard against events of another engine: a server may start again under its id elsewhere."""

    async def run() -> None:
        endpoints, entry = FakeEndpoints(), create_entry("one")
        moved = replace(entry, address="10.0.0.2:1", started_at=2)
        registry = create_registry(entry)
        manager = CachePollerManager(
            endpoints.create_source, registry, PrefixTracker(10), entry.domain, HOST
        )
        manager.update(None)
        registry.update(moved)
        manager.update(None)
        manager.update(None)
        assert endpoints.polled == [entry.address, moved.address]
        manager.close()

    asyncio.run(run())
