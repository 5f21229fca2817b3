"""Check which caches a host follows, and whom it believes about the kept store."""

import asyncio
from dataclasses import dataclass, field

from tests.placement.support import STORE, create_entry, create_registry
from turmericproxy.host.cache_following import CacheFollowing
from turmericproxy.placement import PrefixTracker
from turmericproxy.placement.cache_poller import EventPage


@dataclass
class Places:
    asked: list[str] = field(default_factory=list)
    is_down: bool = False

    def create(self, address: str) -> "Events":
        self.asked.append(address)
        return Events(self)


@dataclass
class Events:
    places: Places

    async def read_events(self, since: int, wait: float) -> EventPage | str:
        await asyncio.sleep(0.01)
        return "connection refused" if self.places.is_down else EventPage(1, 0, ())

    def close(self) -> None:
        pass


def test_only_near_engines_are_followed_and_peers_tell_of_a_far_store() -> None:
    async def run() -> None:
        places = Places()
        near, far = create_entry("near", domain="a"), create_entry("far-away", domain="b")
        following = CacheFollowing(
            places.create, create_registry(near, far), PrefixTracker(10), "a"
        )
        following.follow(STORE)
        assert places.asked == [near.address]
        assert following.get_own_reachability() is None
        assert following.is_kept_store_reachable()
        following.receive_reachability(False)
        assert not following.is_kept_store_reachable()
        following.close()

    asyncio.run(run())


def test_host_beside_the_store_finds_out_itself() -> None:
    async def run() -> None:
        places = Places(is_down=True)
        following = CacheFollowing(
            places.create, create_registry(), PrefixTracker(10), STORE.domain
        )
        following.follow(STORE)
        await asyncio.sleep(0.1)
        assert places.asked == [STORE.address]
        assert following.get_own_reachability() is False
        following.close()

    asyncio.run(run())
