"""Follow the configuration and upstream tables of the store."""

import asyncio
from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.host.adapter import SiteAdapter
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.placement.removals import RemovalScheduler
from turmericproxy.placement.restoration import RESTORATION_SECONDS, RestorationGuard
from turmericproxy.rollout.wanted import INITIAL_AGE_SECONDS, ModelVersion, WantedVersions
from turmericproxy.store import ChangedRow, TableFollower, TableState, TableStore
from turmericproxy.tables.messages import Row
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.isolation import create_isolation
from turmericproxy.traffic.optional_controllers import ReleaseController
from turmericproxy.traffic.site import Site

# Time for which a long poll waits for changes to the configuration.
CONFIGURATION_WAIT_SECONDS = 8.0
# Time for which a long poll waits for changes to the upstreams. With the time for an answer, it is
# shorter than any outage in which registrations expire, so that each of those is detected: they
# expire after three heartbeats of 1.2 s, and the last one may be one interval older than the
# outage.
UPSTREAM_WAIT_SECONDS = 1.3


class SiteFollower:
    """Keep the site, the wanted model versions and the registry up to date.

    ``site`` is the configuration in force, ``None`` before the first one is read. ``is_announcer``
    returns whether this host tells its peers of the removal of an upstream.
    """

    def __init__(
        self,
        adapter: SiteAdapter,
        store: TableStore,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        quotas: QuotaController,
        dispatcher: Dispatcher,
        wake_rollout: Callable[[], None],
        metrics: Metrics,
        is_announcer: Callable[[InstanceId], bool],
    ) -> None:
        self._adapter = adapter
        self._registry = registry
        self._wanted = wanted
        self._quotas = quotas
        self._dispatcher = dispatcher
        self._wake_rollout = wake_rollout
        self._metrics = metrics
        self._answer_gap = 0.0
        self._restoration = RestorationGuard(registry)
        self.removals = RemovalScheduler(self._remove_upstream, registry.find_start, is_announcer)
        self._upstream_era: int | None = None
        self.site: Site | None = None
        # Set where rollouts of software are in force.
        self.releases: ReleaseController | None = None
        self._upstream_follower = TableFollower(
            store,
            adapter.upstream_table,
            UPSTREAM_WAIT_SECONDS,
            self._apply_upstreams,
            self._apply_upstream_change,
            lambda seconds: metrics.record_latency("upstream_table_gap", seconds),
        )
        self._configuration_follower = TableFollower(
            store,
            adapter.configuration_table,
            CONFIGURATION_WAIT_SECONDS,
            self._apply_configuration,
            lambda changed: self._apply_configuration_row(changed.row, is_new=True),
            self._record_configuration_answer,
            guide=self._upstream_follower,
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether configuration and upstreams have been read and requests can be served."""
        return self.site is not None and self._registry.is_loaded

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last call for either table failed."""
        return (
            self._configuration_follower.is_store_unreachable
            or self._upstream_follower.is_store_unreachable
        )

    def measure_configuration_age(self) -> float | None:
        """Return the seconds since the configuration was last confirmed, ``None`` before that."""
        answered_at = self._configuration_follower.answered_at
        return None if answered_at is None else asyncio.get_running_loop().time() - answered_at

    def start(self) -> None:
        """Start following both tables."""
        self._configuration_follower.start()
        self._upstream_follower.start()

    async def close(self) -> None:
        """Stop following both tables."""
        await self._configuration_follower.close()
        await self._upstream_follower.close()

    def _record_configuration_answer(self, seconds: float) -> None:
        self._answer_gap = seconds
        self._metrics.record_latency("configuration_table_gap", seconds)

    def _apply_configuration(self, table: TableState) -> None:
        is_first = self.site is None
        for row in table.rows:
            self._apply_configuration_row(row, is_new=not is_first)

    def _apply_configuration_row(self, row: Row, *, is_new: bool) -> None:
        decoded = self._adapter.read_configuration_row(row)
        if isinstance(decoded, Site):
            self._apply_site(decoded)
        elif isinstance(decoded, ModelVersion):
            self._record_wanted(decoded, is_new=is_new)
        elif decoded is not None and self.releases:
            self.releases.record_order(decoded, is_new=is_new)

    def _apply_site(self, site: Site) -> None:
        if self.site and site.revision < self.site.revision:
            return
        self.site = site
        for service in site.services.values():
            if service.engine:
                self._registry.set_capacity(service.name, service.engine.capacity_tokens)
        if site.kept_store:
            self._dispatcher.kept_prefixes.set_capacity(site.kept_store.capacity_tokens)
        self._apply_isolation(site)
        self._quotas.apply_site(site)
        log_event(
            Part.CONFIGURATION,
            "configuration in force",
            revision=site.revision,
            routes=len(site.routes),
            accounts=len(site.accounts),
            last_answer_seconds=round(self._answer_gap, 2),
        )

    def _apply_isolation(self, site: Site) -> None:
        isolation = create_isolation(site.accounts)
        if isolation == self._dispatcher.isolation:
            return
        self._dispatcher.isolation = isolation
        self._metrics.count("isolation_changes")
        log_event(
            Part.CACHE,
            "isolated accounts changed",
            revision=site.revision,
            accounts=len(isolation.accounts),
            shared_key=isolation.shared_key,
        )

    def _record_wanted(self, wanted: ModelVersion, *, is_new: bool) -> None:
        now = asyncio.get_running_loop().time()
        if self._wanted.record(
            wanted.model, wanted.version, now if is_new else now - INITIAL_AGE_SECONDS
        ):
            log_event(
                Part.WEIGHTS, "model version requested", model=wanted.model, version=wanted.version
            )
            self._wake_rollout()

    def _apply_upstreams(self, table: TableState) -> None:
        if self._upstream_era is not None and table.era > self._upstream_era:
            self._restoration.begin(asyncio.get_running_loop().time())
            self._upstream_follower.schedule_read(RESTORATION_SECONDS)
        self._upstream_era = table.era
        entries = [e for row in table.rows if (e := self._adapter.read_upstream_row(row))]
        present = {entry.instance for entry in entries}
        for state in self._registry.list_states():
            if state.entry.instance not in present:
                self.removals.record_missing(
                    state.entry.instance, self._upstream_follower.reconnected_at
                )
        for entry in entries:
            self._apply_upstream(entry)
        self._registry.is_loaded = True
        self._wake_rollout()

    def _apply_upstream_change(self, changed: ChangedRow) -> None:
        instance = InstanceId(changed.row.key)
        if changed.is_deleted:
            self.removals.record_missing(instance, self._upstream_follower.reconnected_at)
            return
        entry = self._adapter.read_upstream_row(changed.row)
        if entry:
            self._apply_upstream(entry)
            self._wake_rollout()

    def _apply_upstream(self, entry: UpstreamEntry) -> None:
        if self._restoration.is_outdated(entry, asyncio.get_running_loop().time()):
            return
        self.removals.record_present(entry.instance)
        self._registry.update(entry)

    def _remove_upstream(self, instance: InstanceId) -> None:
        state = self._registry.find(instance)
        if state:
            self._restoration.record_removed(state.entry)
        self._registry.remove(instance)
