"""Check which caches a host polls and how it determines the reachability of the kept store."""

import asyncio
from dataclasses import dataclass, field

from tests.placement.support import STORE, create_entry, create_registry
from turmericproxy.host.cache_following import CachePollerManager
from turmericproxy.placement import PrefixTracker
from turmericproxy.placement.cache_poller import EventPage


@dataclass
class FakeEndpoints:
    polled: list[str] = field(default_factory=list)
    is_down: bool = False

    def create_source(self, address: str) -> "FakeEventSource":
        self.polled.append(address)
        return FakeEventSource(self)


@dataclass
class FakeEventSource:
    endpoints: FakeEndpoints

    async def read_events(self, since: int, wait: float) -> EventPage | str:
        await asyncio.sleep(0.01)
        return "connection refused" if self.endpoints.is_down else EventPage(1, 0, ())

    def close(self) -> None:
        pass


def test_only_local_engines_are_polled_and_peers_report_on_a_remote_store() -> None:
    async def run() -> None:
        endpoints = FakeEndpoints()
        local, remote = create_entry("local", domain="a"), create_entry("remote", domain="b")
        manager = CachePollerManager(
            endpoints.create_source, create_registry(local, remote), PrefixTracker(10), "a"
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
            endpoints.create_source, create_registry(), PrefixTracker(10), STORE.domain
        )
        manager.update(STORE)
        await asyncio.sleep(0.1)
        assert endpoints.polled == [STORE.address]
        assert manager.get_own_reachability() is False
        manager.close()

    asyncio.run(run())
