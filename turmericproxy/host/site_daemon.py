"""Run a host that takes its configuration and upstreams from tables of a store."""

import asyncio
import signal

from turmericproxy.core import HostName, Incarnation, create_id, read_boottime
from turmericproxy.core.budget import RetryBudget
from turmericproxy.core.ids import ServiceName
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer
from turmericproxy.fleet import FleetLinks, Hello, QuotaController
from turmericproxy.host.adapter import SiteAdapter
from turmericproxy.host.announcing import FleetUpdates
from turmericproxy.host.cache_following import CacheFollowing
from turmericproxy.host.directory import HostDirectory
from turmericproxy.host.site_settings import SiteHostSettings
from turmericproxy.host.watching import SiteWatch
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.domains import DomainMonitor
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.controller import RolloutController
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.rollout.version_resolver import EngineVersionResolver
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.store import ReaderUpdate, RelayedStore
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.exchange import ExchangeDependencies
from turmericproxy.traffic.router import Router

# Share of the retry bounds that is used; hosts count on their own, and windows slide.
RETRY_SHARE_USED = 0.75
RETRY_RESERVE_USED = 0.6
# Hosts that are counted at least, so that one that knows no peers takes no more than its part.
LEAST_HOSTS = 6
# Hexadecimal digits that tell two runs of one host apart; every note carries them.
INCARNATION_DIGITS = 8
# Seconds between two updates of shares and limits.
UPKEEP_SECONDS = 0.1
# Seconds after SIGTERM in which new connections still come: two missed checks and their delay.
LEAVING_SECONDS = 2.5
# Share of the grace in which running requests may end.
GRACE_USED = 0.94
DRAIN_STEP_SECONDS = 0.05


class SiteHost:
    """Own every part of one host on an event loop."""

    def __init__(self, settings: SiteHostSettings, adapter: SiteAdapter) -> None:
        self._settings = settings
        self._adapter = adapter
        loop = asyncio.get_running_loop()
        self._metrics = Metrics()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._is_draining = False
        incarnation = Incarnation(create_id()[:INCARNATION_DIGITS])
        own = Hello(settings.host, settings.links, settings.domain, incarnation, settings.link_mbps)
        self._registry = UpstreamRegistry()
        self._wanted = WantedVersions()
        self._quotas = QuotaController(
            read_boottime,
            is_first_start=settings.is_first_start,
            tolerance=settings.quota_tolerance,
        )
        self._domains = DomainMonitor(settings.domain, self._measure_silence, loop.time)
        self._dispatcher = Dispatcher(
            self._registry,
            self._wanted,
            self._domains,
            settings.domain,
            settings.version_seconds,
            loop.time,
        )
        self._caches = CacheFollowing(
            adapter.create_cache_events,
            self._registry,
            self._dispatcher.kept_prefixes,
            settings.domain,
        )
        self._dispatcher.set_kept_store_check(self._caches.is_kept_store_reachable)
        self._updates = FleetUpdates(
            self._registry, self._dispatcher, self._quotas, self._caches, self._wanted
        )
        self._links = FleetLinks(
            own,
            self._updates,
            self._updates.receive,
            self._updates.lose,
            self._take_reader_news,
        )
        self._followed = RelayedStore(
            adapter.store,
            settings.host,
            self._links.peers.list_local_peers,
            self._links.send_to_domain,
        )
        self._directory = HostDirectory(adapter.store, own, self._links)
        self._rollout = self._create_rollout()
        self._watch = SiteWatch(
            adapter,
            self._followed,
            self._registry,
            self._wanted,
            self._quotas,
            self._dispatcher,
            self._rollout.wake,
        )
        self._inquirer = EngineVersionResolver(
            self._registry,
            self._wanted,
            adapter.control,
            lambda: self._watch.is_store_unreachable,
            self._updates,
            settings.host,
            self._links.peers.list_local_peers,
        )
        parts = ExchangeDependencies(
            adapter.codec, self._dispatcher, self._inquirer, self._get_budget
        )
        self._router = Router(parts, self._quotas, lambda: self._watch.site, self._metrics)
        self._callers = EdgeServer(
            settings.callers,
            self._router.handle,
            self._get_limits,
            adapter.singleton_fields,
            self._note_unreadable,
        )
        self._readiness = EdgeServer(settings.readiness, self._tell_ready)
        self._metrics_server = EdgeServer(settings.metrics, self._tell_metrics)
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        await self.start()
        upkeep = loop.create_task(self._keep_up())
        await self._stopped.wait()
        await self._drain()
        upkeep.cancel()
        await self.close()

    async def start(self) -> None:
        """Start every part."""
        await self._links.start()
        self._watch.start()
        self._directory.start()
        self._rollout.start()
        self._inquirer.start()
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
        """Close every part."""
        await self._rollout.close()
        await self._inquirer.close()
        self._caches.close()
        await self._directory.close()
        await self._watch.close()
        self._callers.close()
        self._readiness.close()
        self._metrics_server.close()
        await self._links.close()
        log_event(Part.HOST, "stopped", unfinished=self._callers.active)

    def _create_rollout(self) -> RolloutController:
        settings, adapter = self._settings, self._adapter
        # The machine is the holder: a host that restarts there is the same one.
        lease_manager = LeaseManager(
            adapter.store, settings.links, settings.order_guard, read_boottime
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

    def _take_reader_news(self, host: HostName, news: ReaderUpdate) -> None:
        self._followed.receive_update(host, news)

    def _measure_silence(self, domain: str) -> float | None:
        return self._links.peers.measure_contact_age(domain)

    def _note_unreadable(self, status: int) -> tuple[list[tuple[str, str]], bytes]:
        self._metrics.count("unreadable_requests", status=str(status))
        log_decision(Part.CALLERS, "request can't be read", status=status)
        return [], b""

    def _get_limits(self) -> EdgeLimits:
        site = self._watch.site
        return site.limits if site else EdgeLimits()

    def _get_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            share = RETRY_SHARE_USED * self._settings.retry_share
            budget = RetryBudget(share=share, reserve=self._measure_reserve())
            self._budgets[service] = budget
        return budget

    def _measure_reserve(self) -> float:
        hosts = max(LEAST_HOSTS, self._links.peers.count_hosts())
        return RETRY_RESERVE_USED * self._settings.retry_reserve / hosts

    async def _tell_ready(self, request: ClientRequest, writer: AnswerWriter) -> None:
        if request.path != self._adapter.ready_path:
            writer.send(404, ())
            return
        is_ready = self._watch.is_loaded and not self._is_draining
        writer.send(200 if is_ready else 503, ())

    async def _tell_metrics(self, request: ClientRequest, writer: AnswerWriter) -> None:
        text = self._metrics.render_text().encode()
        writer.send(200, [("Content-Type", "text/plain; version=0.0.4")], text)

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_SECONDS)
            self._quotas.set_share(self._links.peers.measure_reachable_share())
            reserve = self._measure_reserve()
            for budget in self._budgets.values():
                budget.set_reserve(reserve)
            if self._watch.site:
                self._caches.follow(self._watch.site.kept_store)

    def _note_reload(self) -> None:
        log_event(Part.HOST, "settings changed", note="they are read at the next start")

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        log_event(Part.HOST, "draining", active=self._callers.active)
        self._is_draining = True
        self._callers.drain()
        await asyncio.sleep(LEAVING_SECONDS)
        self._callers.close()
        self._callers.close_idle()
        last = started + GRACE_USED * self._settings.grace
        while self._callers.active and loop.time() < last:
            await asyncio.sleep(DRAIN_STEP_SECONDS)
            self._callers.close_idle()
