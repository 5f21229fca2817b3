"""Follow the configuration and the upstreams in the store's tables."""

import asyncio
from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.host.adapter import SiteAdapter
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.placement.removals import RemovalScheduler
from turmericproxy.rollout.wanted import INITIAL_AGE_SECONDS, ModelVersion, WantedVersions
from turmericproxy.store import ChangedRow, TableFollower, TableState, TableStore
from turmericproxy.tables.messages import Row
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.site import Site

# Seconds for which a call waits for changes of the configuration.
CONFIGURATION_WAIT = 8.0
# Shorter than the silence after which registrations lapse, so that an outage that makes them
# lapse is noticed: three heartbeats less the time for an answer, in seconds.
UPSTREAM_WAIT = 2.3


class SiteWatch:
    """Keep the site, the wanted weights and the upstreams up to date."""

    def __init__(
        self,
        adapter: SiteAdapter,
        store: TableStore,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        quotas: QuotaController,
        dispatcher: Dispatcher,
        wake_rollout: Callable[[], None],
    ) -> None:
        self._adapter = adapter
        self._registry = registry
        self._wanted = wanted
        self._quotas = quotas
        self._dispatcher = dispatcher
        self._wake_rollout = wake_rollout
        self._removals = RemovalScheduler(registry.remove)
        self.site: Site | None = None
        self._configuration = TableFollower(
            store,
            adapter.configuration_table,
            CONFIGURATION_WAIT,
            self._take_configuration,
            lambda changed: self._take_configuration_row(changed.row, is_new=True),
        )
        self._upstreams = TableFollower(
            store,
            adapter.upstream_table,
            UPSTREAM_WAIT,
            self._take_upstreams,
            self._take_upstream_change,
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether requests can be served."""
        return self.site is not None and self._registry.is_loaded

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the store can't be reached."""
        return self._configuration.is_store_unreachable or self._upstreams.is_store_unreachable

    def start(self) -> None:
        """Begin to follow both tables."""
        self._configuration.start()
        self._upstreams.start()

    async def close(self) -> None:
        """Stop following."""
        await self._configuration.close()
        await self._upstreams.close()

    def _take_configuration(self, state: TableState) -> None:
        is_first = self.site is None
        for row in state.rows:
            self._take_configuration_row(row, is_new=not is_first)

    def _take_configuration_row(self, row: Row, *, is_new: bool) -> None:
        decoded = self._adapter.read_configuration_row(row)
        if isinstance(decoded, Site):
            self._take_site(decoded)
        elif decoded is not None:
            self._take_weights(decoded, is_new=is_new)

    def _take_site(self, site: Site) -> None:
        if self.site and site.revision < self.site.revision:
            return
        self.site = site
        for service in site.services.values():
            if service.engine:
                self._registry.set_capacity(service.name, service.engine.capacity_tokens)
        if site.kept_store:
            self._dispatcher.kept_prefixes.set_capacity(site.kept_store.capacity_tokens)
        self._quotas.apply_site(site)
        log_event(
            Part.CONFIGURATION,
            "configuration in force",
            revision=site.revision,
            routes=len(site.routes),
            accounts=len(site.accounts),
        )

    def _take_weights(self, named: ModelVersion, *, is_new: bool) -> None:
        now = asyncio.get_running_loop().time()
        if self._wanted.record(
            named.model, named.version, now if is_new else now - INITIAL_AGE_SECONDS
        ):
            log_event(Part.WEIGHTS, "version named", model=named.model, version=named.version)
            self._wake_rollout()

    def _take_upstreams(self, state: TableState) -> None:
        entries = [e for row in state.rows if (e := self._adapter.read_upstream_row(row))]
        present = {entry.instance for entry in entries}
        for known in self._registry.list_states():
            if known.entry.instance not in present:
                self._removals.record_missing(known.entry.instance, self._upstreams.reconnected_at)
        for entry in entries:
            self._removals.record_present(entry.instance)
            self._registry.update(entry)
        self._registry.is_loaded = True
        self._wake_rollout()

    def _take_upstream_change(self, changed: ChangedRow) -> None:
        instance = InstanceId(changed.row.key)
        if changed.is_deleted:
            self._removals.record_missing(instance, self._upstreams.reconnected_at)
            return
        entry = self._adapter.read_upstream_row(changed.row)
        if entry:
            self._removals.record_present(instance)
            self._registry.update(entry)
            self._wake_rollout()
