"""Roll out wanted weights: the host with the lease orders engines, the others stand by."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.evidence import EngineStart
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState
from turmericproxy.rollout.interfaces import (
    Announcer,
    EngineControl,
    EngineReport,
    OrderAnswer,
    WeightsOrder,
)
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.rollout.plan import EngineStatus, choose_engines
from turmericproxy.rollout.reports import read_engine_report
from turmericproxy.rollout.trials import VersionTrials
from turmericproxy.rollout.wanted import WantedVersions

# Interval between checks of a rollout that is not complete.
CHECK_SECONDS = 0.1
# Time that each host in the standby order waits for the one before it to act.
STANDBY_SECONDS = 0.25
# Time in which an engine usually loads and registers its new version; after that its report is
# read again.
EXPECTED_LOAD_SECONDS = 0.6
# Interval between checks of the registered version of a loading engine.
VERSION_POLL_SECONDS = 0.02
# Delay before another order to an engine that did not answer or was busy.
RETRY_SECONDS = 0.15
# Minimum time for which an engine is skipped after it was unreachable, rejected an order or
# reported a start time that differs from its registration.
SKIP_SECONDS = 0.5
# Delay between the announcement of a load and its order, so that the announcement reaches peers
# through two hubs and they choose other engines; a loading engine would refuse their requests.
ANNOUNCEMENT_DELAY_SECONDS = 0.16
# Time for which peers expect an engine to load after an order.
ANNOUNCED_LOAD_SECONDS = 0.6
# Time after which a load is abandoned, so that an engine that neither answers nor changes its
# version does not keep others from loading.
LOAD_TIMEOUT_SECONDS = 3.0


@dataclass
class _Load:
    """Represent a load under way; ``begun_at`` is by the event loop's clock."""

    model: ModelName
    version: int
    begun_at: float
    task: asyncio.Task[None] | None = None


class RolloutController:
    """Find engines with outdated weights, and order loads while this host holds the lease."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        control: EngineControl,
        lease_manager: LeaseManager,
        host: HostName,
        list_reachable: Callable[[], list[HostName]],
        announcer: Announcer,
    ) -> None:
        self._registry = registry
        self._wanted = wanted
        self._control = control
        self._lease_manager = lease_manager
        self._host = host
        self._list_reachable = list_reachable
        self._announcer = announcer
        self._loads: dict[InstanceId, _Load] = {}
        self._skipped_until: dict[InstanceId, float] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._observation: asyncio.Task[None] | None = None
        self._target_since: float | None = None
        self._target: tuple[ModelName, int] | None = None
        self._trials = VersionTrials(registry)

    def start(self) -> None:
        """Start the controller's task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Cancel the controller's task and all loads."""
        for task in [self._task, self._observation, *(load.task for load in self._loads.values())]:
            if task:
                task.cancel()

    def observe_lease(self) -> None:
        """Read the lease in the background, after a start or a restoration of the store."""
        self._observation = asyncio.get_running_loop().create_task(self._lease_manager.observe())

    def wake(self) -> None:
        """Check again now, after a new wanted version or an engine's registration."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                pause = await self._run_once()
            except Exception as error:  # a failed iteration must not end the loop
                log_event(Part.WEIGHTS, "iteration failed", reason=repr(error))
                pause = STANDBY_SECONDS
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), pause)
            self._wake.clear()

    async def _run_once(self) -> float | None:
        """Run one iteration; return the seconds until the next, ``None`` to wait for ``wake``."""
        now = asyncio.get_running_loop().time()
        target = self._find_target()
        if target is None:
            self._target_since = None
            return None
        if self._target_since is None or self._target != target:
            self._target_since, self._target = now, target
        self._trials.observe(target, self._list_engines(target[0]), now)
        if (
            not self._lease_manager.is_held()
            and now < self._target_since + self._compute_standby_delay()
        ):
            return CHECK_SECONDS
        if self._is_peer_load_announced(now):
            return CHECK_SECONDS
        if self._lease_manager.needs_extension():
            pause = await self._lease_manager.acquire()
            if pause and not self._lease_manager.is_held():
                return min(pause, STANDBY_SECONDS)
        self._start_loads(*target)
        return CHECK_SECONDS

    def _find_target(self) -> tuple[ModelName, int] | None:
        """Return the first model and wanted version that some ready engine lacks."""
        for model, version in self._wanted.list_models():
            if any(s.versions.get(model, 0) < version for s in self._list_engines(model)):
                return model, version
        return None

    def _list_engines(self, model: ModelName) -> list[UpstreamState]:
        return [
            state
            for state in self._registry.list_states()
            if model in state.entry.versions and state.is_ready
        ]

    def _compute_standby_delay(self) -> float:
        """Return the seconds to wait for the hosts that precede this one in the standby order."""
        if self._lease_manager.fence:
            return 0.0
        # The order differs by model, so that a host that can't act doesn't delay all of them.
        model = self._target[0] if self._target else ""
        hosts = [self._host, *self._list_reachable()]
        hosts.sort(key=lambda host: crc32(f"{model}/{host}".encode()))
        return STANDBY_SECONDS * hosts.index(self._host)

    def _is_peer_load_announced(self, now: float) -> bool:
        return not self._lease_manager.is_held() and any(
            state.loading_until > now and state.entry.instance not in self._loads
            for state in self._registry.list_states()
        )

    def _start_loads(self, model: ModelName, version: int) -> None:
        now = asyncio.get_running_loop().time()
        statuses = [
            EngineStatus(
                instance=state.entry.instance,
                version=state.versions.get(model, 0),
                requests=state.requests,
                is_loading=state.entry.instance in self._loads,
                is_available=(
                    now >= self._skipped_until.get(state.entry.instance, 0.0)
                    and not state.health.must_be_silent(now)
                ),
            )
            for state in self._list_engines(model)
        ]
        limit = self._trials.limit_orders(bool(self._loads), now)
        for instance in choose_engines(statuses, version)[:limit]:
            self._trials.record_order(now)
            load = _Load(model, version, now)
            self._loads[instance] = load
            load.task = asyncio.get_running_loop().create_task(self._run_load(instance, load))

    async def _run_load(self, instance: InstanceId, load: _Load) -> None:
        try:
            self._announce_load(instance, ANNOUNCEMENT_DELAY_SECONDS + ANNOUNCED_LOAD_SECONDS)
            await asyncio.sleep(ANNOUNCEMENT_DELAY_SECONDS)
            while asyncio.get_running_loop().time() < load.begun_at + LOAD_TIMEOUT_SECONDS:
                state = self._registry.find(instance)
                if state is None or not self._lease_manager.is_held():
                    return
                if await self._try_load(state, load):
                    return
                await asyncio.sleep(RETRY_SECONDS)
            log_event(Part.WEIGHTS, "load timed out", engine=instance, version=load.version)
        finally:
            self._loads.pop(instance, None)
            self._wake.set()

    async def _try_load(self, state: UpstreamState, load: _Load) -> bool:
        """Read an engine's report and order the load if needed; return whether to stop trying."""
        instance, address = state.entry.instance, state.entry.address
        started = asyncio.get_running_loop().time()
        if state.health.must_be_silent(started):
            return True
        report = await read_engine_report(self._control, self._registry, instance, address)
        if report is None:
            # Others may load for at least as long as this engine has kept them from it.
            waited = asyncio.get_running_loop().time() - started
            return self._skip(instance, max(SKIP_SECONDS, waited))
        if report.versions.get(load.model, 0) >= load.version:
            self._record_version(instance, load.model, report.versions[load.model])
            return True
        if report.started_at != state.entry.started_at:
            log_event(
                Part.WEIGHTS, "engine start time differs from its registration", engine=instance
            )
            return self._skip(instance)
        if report.notice.is_leaving:
            return True
        if report.is_busy or not self._lease_manager.is_held():
            return False
        answer = await self._send_order(state, report, load)
        if answer is OrderAnswer.ALREADY_LOADED:
            self._record_version(instance, load.model, load.version)
            return True
        if answer is OrderAnswer.ACCEPTED:
            self._announce_load(instance, ANNOUNCED_LOAD_SECONDS)
            return await self._wait_for_version(state, load)
        return answer is OrderAnswer.REJECTED and self._skip(instance)

    def _announce_load(self, instance: InstanceId, seconds: float) -> None:
        self._registry.mark_loading(instance, asyncio.get_running_loop().time() + seconds)
        self._announcer.announce_load(instance, seconds)

    async def _wait_for_version(self, state: UpstreamState, load: _Load) -> bool:
        """Wait for an engine to register the version; return whether it did in time, or ended."""
        loop = asyncio.get_running_loop()
        engine = EngineStart(state.entry.instance, state.entry.started_at)
        deadline = loop.time() + EXPECTED_LOAD_SECONDS
        while loop.time() < deadline:
            await asyncio.sleep(VERSION_POLL_SECONDS)
            if state.versions.get(load.model, 0) >= load.version or self._trials.has_ended(engine):
                return True
        return False

    def _skip(self, instance: InstanceId, seconds: float = SKIP_SECONDS) -> bool:
        """Skip an engine for some seconds so that others can load; always return true."""
        self._skipped_until[instance] = asyncio.get_running_loop().time() + seconds
        return True

    async def _send_order(
        self, state: UpstreamState, report: EngineReport, load: _Load
    ) -> OrderAnswer:
        order = WeightsOrder(
            instance=state.entry.instance,
            model=load.model,
            version=load.version,
            holder=self._host,
            fence=self._lease_manager.fence,
            accepted_orders=report.accepted_orders,
        )
        clock = asyncio.get_running_loop().time
        sent_at = clock()
        result = await self._control.order_weights(state.entry.address, order)
        self._registry.record_notice(order.instance, result.notice, clock(), sent_at=sent_at)
        log_event(
            Part.WEIGHTS,
            "load ordered",
            engine=order.instance,
            version=order.version,
            before=report.versions.get(load.model),
            fence=order.fence,
            accepted_orders=order.accepted_orders,
            answer=result.answer.value,
        )
        return result.answer

    def _record_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        self._registry.record_version(instance, model, version)
        self._announcer.announce_version(instance, model, version)
