"""Run a host that reads its configuration and upstreams from tables of a store."""

import asyncio
import random
import signal
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from turmericproxy.connections.limiter import ConnectionLimiter
from turmericproxy.core import (
    HostName,
    Incarnation,
    ResultCode,
    create_id,
    read_boottime,
    refuse,
)
from turmericproxy.core.budget import RetryBudget
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.core.memory import MemoryAccount
from turmericproxy.crashes.controller import CrashController
from turmericproxy.crashes.persistence import BlockKeeper
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeResources, EdgeServer
from turmericproxy.edge.causes import CauseReporter
from turmericproxy.edge.connection_table import ConnectionTable
from turmericproxy.edge.resources import compute_client_connections, compute_incoming_streams
from turmericproxy.explaining.endpoint import (
    QUESTION_LIMITS,
    ExplainEndpoint,
    build_unreadable,
)
from turmericproxy.explaining.questions import EXPLAIN_PATH
from turmericproxy.explaining.state import DecisionState
from turmericproxy.fleet import FleetLinks, Hello, QuotaController
from turmericproxy.fleet.incoming import IncomingStreams
from turmericproxy.fleet.messages import UpdateBundle
from turmericproxy.host.adapter import SiteAdapter
from turmericproxy.host.cache_following import CachePollerManager
from turmericproxy.host.directory import HostDirectory
from turmericproxy.host.fleet_updates import FleetUpdates
from turmericproxy.host.site_follower import SiteFollower
from turmericproxy.host.site_settings import SiteHostSettings
from turmericproxy.host.speed_gauges import set_speed_gauges
from turmericproxy.limits.controller import FleetView, LimitController
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.domains import DomainMonitor
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.controller import RolloutController
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.rollout.version_resolver import EngineVersionResolver
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.store import ReaderUpdate, RelayedStore
from turmericproxy.tasks import repeat
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.exchange import ExchangeDependencies
from turmericproxy.traffic.optional_controllers import AdmissionController
from turmericproxy.traffic.router import Router

if TYPE_CHECKING:
    from turmericproxy.releases.orders import ReleaseBounds
    from turmericproxy.releases.service import ReleaseService

# Fractions of the retry limits that are used. The rest is a margin, since each host counts only its
# own retries and the limits apply to sliding windows.
RETRY_SHARE_FRACTION = 0.75
RETRY_RESERVE_FRACTION = 0.6
# Minimum number of hosts among which the retry reserve is divided, so that a host that knows no
# peers doesn't use more than its portion.
MIN_HOSTS = 6
# Time for which a host that can't be reached counts as cut off rather than gone: it keeps its part
# of the limits that upstreams name.
CUT_HOST_EXPIRY_SECONDS = 300.0
# Hexadecimal digits of an incarnation, which distinguishes the runs of one host. Short, since every
# message to peers contains it.
INCARNATION_DIGITS = 8
# Interval between two updates of quota shares and retry budgets.
UPDATE_INTERVAL_SECONDS = 0.1
# Interval between two updates of the caches that this host polls.
POLLER_UPDATE_INTERVAL_SECONDS = 0.5
# Time after SIGTERM for which new connections are accepted, since they arrive until two readiness
# checks have failed: the interval of two checks and their delay.
ACCEPT_AFTER_SIGTERM_SECONDS = 2.5
# Fraction of the grace period within which running requests may finish.
DRAIN_GRACE_FRACTION = 0.94
# Fraction of the grace period within which the answers to the other requests are sent.
SEND_GRACE_FRACTION = 0.97
DRAIN_POLL_SECONDS = 0.05
# Range of Retry-After for a body without room; random, so that refused clients come one by one.
NO_ROOM_RETRY_AFTER_SECONDS = (0.3, 1.2)
# Share of the process's memory for bodies and answers of requests. The rest is for the program, its
# state, the buffers of connections, and what allocation leaves unused.
HELD_MEMORY_SHARE = 0.4


class SiteHost:
    """Own the components of one host on the running event loop."""

    def __init__(self, settings: SiteHostSettings, adapter: SiteAdapter) -> None:
        self._settings = settings
        self._adapter = adapter
        loop = asyncio.get_running_loop()
        self._metrics = Metrics()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._is_draining = False
        self._memory = MemoryAccount(HELD_MEMORY_SHARE * settings.memory_mb * 1e6)
        self._edge = self._create_edge_resources()
        incarnation = Incarnation(create_id()[:INCARNATION_DIGITS])
        own = Hello(settings.host, settings.links, settings.domain, incarnation, settings.link_mbps)
        self._limits = LimitController(settings.host, self._describe_fleet, self._metrics)
        self._registry = UpstreamRegistry(self._limits)
        self._limits.is_registered = self._registry.is_registered
        self._wanted = WantedVersions()
        self._quotas = QuotaController(
            read_boottime,
            is_first_start=settings.is_first_start,
            tolerance=settings.quota_tolerance,
        )
        self._domains = DomainMonitor(settings.domain, self._measure_contact_age, loop.time)
        self._crashes = CrashController(
            settings.host, self._registry, self._list_reachable, loop.time, self._metrics
        )
        self._dispatcher = Dispatcher(
            self._registry,
            self._wanted,
            self._domains,
            settings.domain,
            settings.version_seconds,
            loop.time,
            self._crashes,
            self._limits,
        )
        self._dispatcher.connections = ConnectionLimiter(
            settings.host, self._describe_fleet, loop.time, self._metrics
        )
        self._cache_pollers = CachePollerManager(
            adapter.create_cache_events,
            self._registry,
            self._dispatcher.kept_prefixes,
            settings.domain,
            settings.host,
            self._list_local_peers,
        )
        self._dispatcher.set_kept_store_check(self._cache_pollers.is_kept_store_reachable)
        self._updates = FleetUpdates(
            self._registry,
            self._dispatcher,
            self._quotas,
            self._cache_pollers,
            self._wanted,
            self._crashes,
            self._limits,
        )
        self._admission = self._create_admission()
        self._links = FleetLinks(
            own,
            self._updates,
            self._updates.receive,
            self._updates.forget_peer,
            self._receive_reader_update,
            create_incoming=self._create_incoming_streams,
        )
        self._relayed_store = RelayedStore(
            adapter.store,
            settings.host,
            self._links.peers.list_local_peers,
            self._links.send_to_domain,
        )
        self._directory = HostDirectory(
            self._relayed_store, own, self._links, self._limits.record_host_table
        )
        self._limits.start_learning()
        self._block_keeper = BlockKeeper(self._relayed_store, settings.host, self._crashes)
        self._crashes.is_loaded = False
        self._relayed_store.eras.add_listener(self._crashes.request_read)
        self._rollout = self._create_rollout()
        self._relayed_store.eras.add_listener(self._directory.refresh)
        self._relayed_store.eras.add_listener(self._rollout.observe_lease)
        self._follower = SiteFollower(
            adapter,
            self._relayed_store,
            self._registry,
            self._wanted,
            self._quotas,
            self._dispatcher,
            self._rollout.wake,
            self._metrics,
            self._is_announcer,
        )
        self._updates.removals = self._follower.removals
        self._releases = self._create_releases(settings.releases)
        self._version_resolver = EngineVersionResolver(
            self._registry,
            self._wanted,
            adapter.control,
            lambda: self._follower.is_store_unreachable,
            self._updates,
            settings.host,
            self._links.peers.list_local_peers,
        )
        dependencies = ExchangeDependencies(
            adapter.codec,
            self._dispatcher,
            self._version_resolver,
            self._get_budget,
            self._metrics,
            self._crashes,
            self._memory,
        )
        self._router = Router(
            dependencies,
            self._quotas,
            lambda: self._follower.site,
            self._follower.measure_configuration_age,
            self._metrics,
        )
        self._callers = EdgeServer(
            settings.callers,
            self._router.handle,
            self._get_limits,
            adapter.singleton_fields,
            self._answer_unreadable,
            self._edge,
        )
        self._readiness = EdgeServer(
            settings.readiness, self._answer_readiness, resources=self._edge
        )
        self._metrics_server = EdgeServer(
            settings.metrics,
            self._answer_metrics,
            lambda: QUESTION_LIMITS,
            build_refusal=build_unreadable,
            resources=self._edge,
        )
        self._explaining = ExplainEndpoint(settings.host, self._describe_decisions())
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        await self.start()
        updates = [
            loop.create_task(repeat(Part.HOST, "update shares", self._update_shares)),
            loop.create_task(repeat(Part.CACHE, "update pollers", self._update_cache_pollers)),
        ]
        await self._stopped.wait()
        await self._drain()
        for task in updates:
            task.cancel()
        await self.close()

    async def start(self) -> None:
        """Start all components."""
        await self._links.start()
        self._follower.start()
        self._directory.start()
        self._block_keeper.start()
        self._rollout.start()
        if self._releases:
            self._releases.start()
        self._rollout.observe_lease()
        self._version_resolver.start()
        await self._callers.start()
        await self._metrics_server.start()
        await self._readiness.start()
        log_event(
            Part.HOST,
            "started",
            domain=self._settings.domain,
            callers=self._settings.callers,
            is_first_start=self._settings.is_first_start,
        )

    async def close(self) -> None:
        """Close all components."""
        await self._rollout.close()
        if self._releases:
            await self._releases.close()
        await self._version_resolver.close()
        self._cache_pollers.close()
        await self._block_keeper.close()
        self._crashes.close()
        await self._directory.close()
        await self._follower.close()
        self._callers.close()
        self._readiness.close()
        self._metrics_server.close()
        await self._links.close()
        log_event(Part.HOST, "stopped", unfinished=self._callers.active)

    def _describe_decisions(self) -> DecisionState:
        return DecisionState(
            self._registry,
            self._wanted,
            self._domains,
            self._settings.domain,
            self._settings.version_seconds,
            asyncio.get_running_loop().time,
            self._crashes,
            self._limits,
            self._quotas,
            self._dispatcher,
            self._cache_pollers.is_kept_store_reachable,
            lambda: self._follower.site,
            self._follower.measure_configuration_age,
        )

    def _create_edge_resources(self) -> EdgeResources:
        settings = self._settings
        reporter = CauseReporter(
            lambda cause: self._metrics.count("limited_clients", cause=cause.value)
        )
        limit = settings.client_connections or compute_client_connections(settings.max_descriptors)
        connections = ConnectionTable(limit, reporter)
        return EdgeResources(self._memory, connections, reporter, settings.unread_seconds)

    def _create_incoming_streams(
        self, address: str, receive: Callable[[Hello, Hello | UpdateBundle], None]
    ) -> IncomingStreams:
        settings = self._settings
        limit = settings.incoming_links or compute_incoming_streams(settings.max_descriptors)
        return IncomingStreams(
            address,
            receive,
            self._memory,
            self._edge.reporter,
            limit,
            settings.introduction_seconds,
        )

    def _create_admission(self) -> AdmissionController | None:
        """Return the admission control where the settings ask for it."""
        if not self._settings.has_admission_control:
            return None
        # Imported only here, since it takes processor time at each start.
        from turmericproxy.admission import controller

        admission = controller.AdmissionController(
            self._registry,
            self._quotas.list_fleet_spent,
            self._domains.is_unreachable,
            asyncio.get_running_loop().time,
            self._metrics,
            self._settings.ceilings,
        )
        self._dispatcher.admission = self._updates.admission = admission
        return admission

    def _create_rollout(self) -> RolloutController:
        settings, adapter = self._settings, self._adapter
        # The holder is a machine, not a process: a restarted host still holds its lease.
        lease_manager = LeaseManager(
            self._relayed_store,
            settings.links,
            settings.order_guard,
            read_boottime,
            is_first_start=settings.is_first_start,
        )
        return RolloutController(
            self._registry,
            self._wanted,
            adapter.control,
            lease_manager,
            settings.host,
            self._links.peers.list_reachable,
            self._updates,
        )

    def _create_releases(self, bounds: "ReleaseBounds | None") -> "ReleaseService | None":
        """Create what rollouts of software need, where they are in force."""
        if bounds is None:
            return None
        # Imported only here, since it takes processor time at each start.
        from turmericproxy.releases.service import create_release_service

        settings, peers, store = self._settings, self._links.peers, self._relayed_store
        service = create_release_service(
            self._registry,
            bounds,
            store,
            settings.host,
            settings.links,
            peers,
            self._adapter.create_release_status,
            self._metrics,
            is_first_start=settings.is_first_start,
        )
        store.eras.add_listener(service.verify)
        self._dispatcher.releases = self._updates.releases = service.controller
        self._follower.releases = service.controller
        return service

    def _receive_reader_update(self, host: HostName, update: ReaderUpdate) -> None:
        self._relayed_store.receive_update(host, update)

    def _list_local_peers(self) -> list[HostName]:
        return self._links.peers.list_local_peers()

    def _is_announcer(self, instance: InstanceId) -> bool:
        """Return whether this host of its failure domain announces a removal to other hosts."""
        hosts = (self._settings.host, *self._links.peers.list_local_peers())
        return choose_by_hash(instance, hosts) == self._settings.host

    def _describe_fleet(self) -> FleetView:
        peers = self._links.peers
        return FleetView(
            (self._settings.host, *peers.list_reachable_hosts()),
            peers.count_hosts(CUT_HOST_EXPIRY_SECONDS),
        )

    def _list_reachable(self) -> list[HostName]:
        return self._links.peers.list_reachable()

    def _measure_contact_age(self, domain: str) -> float | None:
        return self._links.peers.measure_contact_age(domain)

    def _answer_unreadable(self, status: int) -> tuple[list[tuple[str, str]], bytes]:
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            return self._answer_without_room(), b""
        self._metrics.count("unreadable_requests", status=str(status))
        log_decision(Part.CALLERS, "request can't be read", status=status)
        return [], b""

    def _answer_without_room(self) -> list[tuple[str, str]]:
        """Return the header fields of the refusal of a body that the host has no room for."""
        reason = f"no room for the request: {self._memory.describe()}"
        seconds = round(random.uniform(*NO_ROOM_RETRY_AFTER_SECONDS), 2)
        refusal = refuse(ResultCode.OVERLOADED, reason, retry_after=seconds)
        self._metrics.count("refusals", code=refusal.code.name.lower())
        log_decision(
            Part.CALLERS, "refused", code=int(refusal.code), reason=reason, run=refusal.run.value
        )
        return self._adapter.codec.write_refusal(None, refusal)[1]

    def _get_limits(self) -> EdgeLimits:
        site = self._follower.site
        return site.limits if site else EdgeLimits()

    def _get_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            share = RETRY_SHARE_FRACTION * self._settings.retry_share
            budget = RetryBudget(share=share, reserve=self._compute_reserve())
            self._budgets[service] = budget
        return budget

    def _compute_reserve(self) -> float:
        hosts = max(MIN_HOSTS, self._links.peers.count_hosts())
        return RETRY_RESERVE_FRACTION * self._settings.retry_reserve / hosts

    async def _answer_readiness(self, request: ClientRequest, writer: AnswerWriter) -> None:
        if request.path != self._adapter.ready_path:
            writer.send(404, ())
            return
        is_loaded = self._follower.is_loaded and self._crashes.is_loaded and self._limits.is_loaded
        if self._releases:
            is_loaded = is_loaded and self._releases.controller.is_loaded
        is_ready = is_loaded and not self._is_draining
        writer.send(200 if is_ready else 503, ())

    async def _answer_metrics(self, request: ClientRequest, writer: AnswerWriter) -> None:
        if request.path == EXPLAIN_PATH:
            self._explaining.answer(request, writer)
            return
        limits = self._limits.list_limits()
        named = {str(i): limit for i, limit, _ in limits if limit is not None}
        self._metrics.set_gauges("upstream_limit", "upstream", named)
        rates = {str(i): rate for i, _, rate in limits}
        self._metrics.set_gauges("upstream_rate", "upstream", rates)
        set_speed_gauges(self._metrics, self._registry)
        self._metrics.set_gauges("held_bytes", "kind", self._memory.list_held())
        if self._admission:
            self._admission.export_gauges()
        text = self._metrics.render_text().encode()
        writer.send(200, [("Content-Type", "text/plain; version=0.0.4")], text)

    async def _update_shares(self) -> None:
        await asyncio.sleep(UPDATE_INTERVAL_SECONDS)
        self._quotas.set_share(self._links.peers.measure_reachable_share())
        reserve = self._compute_reserve()
        for budget in self._budgets.values():
            budget.set_reserve(reserve)
        if self._admission:
            self._admission.update(self._follower.site)

    async def _update_cache_pollers(self) -> None:
        await asyncio.sleep(POLLER_UPDATE_INTERVAL_SECONDS)
        if self._follower.site:
            self._cache_pollers.update(self._follower.site.kept_store)

    def _log_reload(self) -> None:
        log_event(Part.HOST, "SIGHUP ignored", note="settings are read only at startup")

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        log_event(Part.HOST, "draining", active=self._callers.active)
        self._is_draining = self._explaining.is_draining = True
        self._callers.drain()
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_SECONDS)
        self._callers.close()
        self._explaining.is_closed = True
        await self._wait_until_idle(started + DRAIN_GRACE_FRACTION * self._settings.grace)
        self._callers.end_requests()
        await self._wait_until_idle(started + SEND_GRACE_FRACTION * self._settings.grace)

    async def _wait_until_idle(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while self._callers.is_busy and loop.time() < deadline:
            self._callers.close_idle()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
