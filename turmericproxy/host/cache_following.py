"""Poll the cache events of the engines and the kept store in this host's failure domain.

Links between domains have little bandwidth, so remote caches aren't polled; the hosts there report
in their batches what they place and save. In a large domain each cache is polled by one host, which
reports what was evicted too.
"""

import asyncio
from collections.abc import Callable, Iterable

from turmericproxy.core import HostName
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.cache_poller import CacheEventPoller, CacheEventSource, EventPage
from turmericproxy.placement.notices import UpstreamNotice
from turmericproxy.placement.prefixes import PartKey, PrefixTracker
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.store import LARGE_DOMAIN_HOSTS
from turmericproxy.traffic.site import KeptStore

# An engine, and a part that it no longer holds.
EvictedPart = tuple[InstanceId, PartKey]


class CachePollerManager:
    """Start and close pollers as engines register and are removed."""

    def __init__(
        self,
        create_events: Callable[[str], CacheEventSource],
        registry: UpstreamRegistry,
        kept_prefixes: PrefixTracker,
        domain: str,
        host: HostName,
        list_local_peers: Callable[[], list[HostName]] = list,
    ) -> None:
        self._create_events = create_events
        self._registry = registry
        self._kept_prefixes = kept_prefixes
        self._domain = domain
        self._host = host
        self._list_local_peers = list_local_peers
        self._is_shared = False
        self._kept_epoch: int | None = None
        self._evicted: list[EvictedPart] = []
        self._reported_reachable = True
        self._engine_pollers: dict[InstanceId, CacheEventPoller] = {}
        self._store_poller: CacheEventPoller | None = None

    def is_kept_store_reachable(self) -> bool:
        """Return whether the kept store answered the last poll, by this host or by a peer."""
        return self._store_poller.is_reachable if self._store_poller else self._reported_reachable

    def get_own_reachability(self) -> bool | None:
        """Return whether the kept store answers this host, ``None`` if it isn't polled here."""
        return self._store_poller.is_reachable if self._store_poller else None

    def receive_reachability(self, is_reachable: bool) -> None:
        """Record whether the kept store answers the hosts in its domain, as a peer reported."""
        self._reported_reachable = is_reachable

    def get_kept_epoch(self) -> int | None:
        """Return the epoch of the kept store, which changes with its restarts, if it is known."""
        return self._kept_epoch

    def receive_kept_epoch(self, epoch: int) -> None:
        """Record the epoch of the kept store, as a peer reported; a restart has emptied it."""
        if self._store_poller is None:
            if self._kept_epoch not in (None, epoch):
                log_event(Part.CACHE, "kept store emptied by a restart", epoch=epoch)
                self._kept_prefixes.clear()
            self._kept_epoch = epoch

    def take_evicted(self) -> tuple[EvictedPart, ...]:
        """Return the shared parts that were evicted from polled caches since the last call."""
        evicted, self._evicted = self._evicted, []
        return tuple(evicted)

    def receive_evicted(self, evicted: Iterable[EvictedPart]) -> None:
        """Remove the parts that a peer has reported as evicted from engines."""
        for instance, key in evicted:
            state = self._registry.find(instance)
            if state and instance not in self._engine_pollers:
                state.prefixes.remove(key)

    def update(self, store: KeptStore | None) -> None:
        """Poll exactly the caches that this host has to poll now."""
        hosts = (self._host, *self._list_local_peers())
        self._is_shared = len(hosts) >= LARGE_DOMAIN_HOSTS

        def is_polled_here(cache: str) -> bool:
            return not self._is_shared or choose_by_hash(cache, hosts) == self._host

        engines = {
            state.entry.instance: state.entry.address
            for state in self._registry.list_states()
            if state.entry.versions
            and state.entry.domain == self._domain
            and not state.is_leaving
            and is_polled_here(state.entry.instance)
        }
        for instance, poller in list(self._engine_pollers.items()):
            # An engine may have started again under its id at another address.
            if engines.get(instance) != poller.address:
                self._engine_pollers.pop(instance).close()
        for instance, address in engines.items():
            if instance not in self._engine_pollers:
                self._engine_pollers[instance] = self._start_engine_poller(instance, address)
        is_store_polled = store and store.domain == self._domain and is_polled_here(store.address)
        self._update_store_poller(store.address if store and is_store_polled else None)

    def close(self) -> None:
        """Close all pollers."""
        for poller in self._engine_pollers.values():
            poller.close()
        if self._store_poller:
            self._store_poller.close()

    def _start_engine_poller(self, instance: InstanceId, address: str) -> CacheEventPoller:
        def get_tracker() -> PrefixTracker | None:
            state = self._registry.find(instance)
            return state.prefixes if state else None

        clock = asyncio.get_running_loop().time
        poller = CacheEventPoller(
            self._create_events(address),
            address,
            get_tracker,
            lambda notice: self._record_answer(instance, poller, notice, clock()),
            lambda: self._registry.measure_call_pause(instance, clock()),
            lambda page: self._record_evicted(instance, page),
        )
        poller.start()
        return poller

    def _record_answer(
        self, instance: InstanceId, poller: CacheEventPoller, notice: UpstreamNotice, now: float
    ) -> None:
        self._registry.record_notice(instance, notice, now, sent_at=poller.polled_at)
        callers = 1 if self._is_shared else 1 + len(self._list_local_peers())
        self._registry.record_call(instance, callers)

    def _record_evicted(self, instance: InstanceId, page: EventPage) -> None:
        """Keep the evicted parts for peers; those that only one request had concern nobody."""
        if self._is_shared:
            self._evicted += [
                (instance, event.key)
                for event in page.events
                if not event.is_added and self._kept_prefixes.holds(event.key)
            ]

    def _record_kept_epoch(self, page: EventPage) -> None:
        self._kept_epoch = page.epoch

    def _update_store_poller(self, address: str | None) -> None:
        polled = self._store_poller.address if self._store_poller else None
        if address == polled:
            return
        if self._store_poller:
            self._store_poller.close()
        self._store_poller = None
        if address:
            source = self._create_events(address)
            self._store_poller = CacheEventPoller(
                source, address, lambda: self._kept_prefixes, on_page=self._record_kept_epoch
            )
            self._store_poller.start()
