"""Keep a cache watch for each engine of the own failure domain, and for a kept store there.

Links between domains are thin; hosts there tell by their batches what they place and save.
"""

from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.cache_poller import CacheEventPoller, CacheEventSource
from turmericproxy.placement.prefixes import PrefixTracker
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.traffic.site import KeptStore


class CacheFollowing:
    """Start and close watches as engines come and go."""

    def __init__(
        self,
        create_events: Callable[[str], CacheEventSource],
        registry: UpstreamRegistry,
        kept: PrefixTracker,
        domain: str,
    ) -> None:
        self._create_events = create_events
        self._registry = registry
        self._kept = kept
        self._domain = domain
        self._told_reachable = True
        self._watches: dict[InstanceId, CacheEventPoller] = {}
        self._store_watch: CacheEventPoller | None = None

    def is_kept_store_reachable(self) -> bool:
        """Return whether the kept store answered the last question, own or told by a peer."""
        return self._store_watch.is_reachable if self._store_watch else self._told_reachable

    def get_own_reachability(self) -> bool | None:
        """Return whether the kept store answers this host, ``None`` if it doesn't ask."""
        return self._store_watch.is_reachable if self._store_watch else None

    def receive_reachability(self, is_reachable: bool) -> None:
        """Take in whether the kept store answers the hosts beside it."""
        self._told_reachable = is_reachable

    def follow(self, store: KeptStore | None) -> None:
        """Watch the engines that are known now, and the kept store."""
        engines = {
            state.entry.instance: state.entry.address
            for state in self._registry.list_states()
            if state.entry.versions and state.entry.domain == self._domain
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

    def _watch_engine(self, instance: InstanceId, address: str) -> CacheEventPoller:
        def get_memory() -> PrefixTracker | None:
            state = self._registry.find(instance)
            return state.prefixes if state else None

        watch = CacheEventPoller(self._create_events(address), address, get_memory)
        watch.start()
        return watch

    def _follow_store(self, store: KeptStore | None) -> None:
        address = store.address if store and store.domain == self._domain else None
        known = self._store_watch.address if self._store_watch else None
        if address == known:
            return
        if self._store_watch:
            self._store_watch.close()
        self._store_watch = None
        if address:
            events = self._create_events(address)
            self._store_watch = CacheEventPoller(events, address, lambda: self._kept)
            self._store_watch.start()
