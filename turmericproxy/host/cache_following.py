"""Keep a cache watch for each engine and for the kept store."""

from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.book import UpstreamBook
from turmericproxy.placement.cache_watch import CacheEvents, CacheWatch
from turmericproxy.placement.prefixes import PrefixMemory
from turmericproxy.traffic.site import KeptStore


class CacheFollowing:
    """Start and close watches as engines come and go."""

    def __init__(
        self,
        create_events: Callable[[str], CacheEvents],
        book: UpstreamBook,
        kept: PrefixMemory,
    ) -> None:
        self._create_events = create_events
        self._book = book
        self._kept = kept
        self._watches: dict[InstanceId, CacheWatch] = {}
        self._store_watch: CacheWatch | None = None

    def is_kept_store_reachable(self) -> bool:
        """Return whether the kept store answered the last question."""
        return self._store_watch is not None and self._store_watch.is_reachable

    def follow(self, store: KeptStore | None) -> None:
        """Watch the engines that are known now, and the kept store."""
        engines = {
            state.entry.instance: state.entry.address
            for state in self._book.list_states()
            if state.entry.versions
        }
        for instance in set(self._watches) - set(engines):
            self._watches.pop(instance).close()
        for instance, address in engines.items():
            if instance not in self._watches:
                self._watches[instance] = self._watch_engine(instance, address)
        self._follow_store(store)

    def close(self) -> None:
        """Close all watches."""
        for watch in self._watches.values():
            watch.close()
        if self._store_watch:
            self._store_watch.close()

    def _watch_engine(self, instance: InstanceId, address: str) -> CacheWatch:
        def get_memory() -> PrefixMemory | None:
            state = self._book.find(instance)
            return state.prefixes if state else None

        watch = CacheWatch(self._create_events(address), address, get_memory)
        watch.start()
        return watch

    def _follow_store(self, store: KeptStore | None) -> None:
        address = store.address if store else None
        known = self._store_watch.address if self._store_watch else None
        if address == known:
            return
        if self._store_watch:
            self._store_watch.close()
            self._kept.clear()
        self._store_watch = None
        if address:
            events = self._create_events(address)
            self._store_watch = CacheWatch(events, address, lambda: self._kept)
            self._store_watch.start()
