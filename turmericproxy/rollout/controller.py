"""Bring engines to named weights: one host at a time gives the orders, the others stand by."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from zlib import crc32

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
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
from turmericproxy.rollout.plan import EngineStanding, choose_loads
from turmericproxy.rollout.wanted import WantedVersions

# Seconds between two looks at engines that lag.
STEP_SECONDS = 0.1
# Seconds for which each host in the order of standbys lets the one before it act.
STANDBY_SECONDS = 0.25
# Seconds in which an engine usually loads and registers its new version; after that its report
# is asked for.
LOAD_SECONDS = 0.6
# Seconds between two looks at an engine that loads.
LOOK_SECONDS = 0.02
# Seconds between two orders to an engine that did not answer or was busy.
REPEAT_SECONDS = 0.15
# Seconds for which an engine that could not be reached, or is no longer the one at its address,
# is left for later.
SKIP_SECONDS = 0.5
# Seconds between telling others of a load and ordering it: the way of a note through two hubs.
# Requests that are sent meanwhile go elsewhere, and would be refused by the engine otherwise.
NOTICE_SECONDS = 0.16
# Seconds for which others expect an engine to load after an order.
ANNOUNCED_SECONDS = 0.6
# Seconds after which an engine that neither answers nor changes gives its turn to others.
LONGEST_LOAD = 3.0


@dataclass
class _Load:
    """Hold a load that was ordered; times are of the event loop."""

    model: ModelName
    version: int
    ordered_at: float
    task: asyncio.Task[None] | None = None


class RolloutController:
    """Watch for engines that lag, and order loads while this host holds the lease."""

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
        self._list_heard = list_reachable
        self._announcer = announcer
        self._loads: dict[InstanceId, _Load] = {}
        self._skipped_until: dict[InstanceId, float] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._lagging_since: float | None = None
        self._named: tuple[ModelName, int] | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop giving orders."""
        for task in [self._task, *(load.task for load in self._loads.values())]:
            if task:
                task.cancel()

    def wake(self) -> None:
        """Look again now; a version was named or an engine came."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                pause = await self._step()
            except Exception as error:  # the loop must outlive a fault in one step
                log_event(Part.WEIGHTS, "step failed", reason=repr(error))
                pause = STANDBY_SECONDS
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), pause)
            self._wake.clear()

    async def _step(self) -> float | None:
        """Do what can be done now; return the seconds to wait, ``None`` until woken."""
        now = asyncio.get_running_loop().time()
        lagging = self._find_lagging()
        if lagging is None:
            self._lagging_since = None
            return None
        if self._lagging_since is None or self._named != lagging:
            self._lagging_since, self._named = now, lagging
        if (
            not self._lease_manager.is_held()
            and now < self._lagging_since + self._measure_standby()
        ):
            return STEP_SECONDS
        if self._is_peer_at_work(now):
            return STEP_SECONDS
        if self._lease_manager.needs_extension():
            pause = await self._lease_manager.take()
            if pause and not self._lease_manager.is_held():
                return min(pause, STANDBY_SECONDS)
        self._order_loads(*lagging)
        return STEP_SECONDS

    def _find_lagging(self) -> tuple[ModelName, int] | None:
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

    def _measure_standby(self) -> float:
        """Return the seconds for which hosts earlier in the order go first."""
        if self._lease_manager.fence:
            return 0.0
        # Another order for each model, so that a host that can't act doesn't delay all of them.
        model = self._named[0] if self._named else ""
        hosts = [self._host, *self._list_heard()]
        hosts.sort(key=lambda host: crc32(f"{model}/{host}".encode()))
        return STANDBY_SECONDS * hosts.index(self._host)

    def _is_peer_at_work(self, now: float) -> bool:
        return not self._lease_manager.is_held() and any(
            state.loading_until > now and state.entry.instance not in self._loads
            for state in self._registry.list_states()
        )

    def _order_loads(self, model: ModelName, version: int) -> None:
        now = asyncio.get_running_loop().time()
        standings = [
            EngineStanding(
                instance=state.entry.instance,
                version=state.versions.get(model, 0),
                requests=state.requests,
                is_loading=state.entry.instance in self._loads,
                is_reachable=now >= self._skipped_until.get(state.entry.instance, 0.0),
            )
            for state in self._list_engines(model)
        ]
        for instance in choose_loads(standings, version):
            load = _Load(model, version, now)
            self._loads[instance] = load
            load.task = asyncio.get_running_loop().create_task(self._load(instance, load))

    async def _load(self, instance: InstanceId, load: _Load) -> None:
        try:
            self._expect_change(instance, NOTICE_SECONDS + ANNOUNCED_SECONDS)
            await asyncio.sleep(NOTICE_SECONDS)
            while asyncio.get_running_loop().time() < load.ordered_at + LONGEST_LOAD:
                state = self._registry.find(instance)
                if state is None or not self._lease_manager.is_held():
                    return
                if await self._order_once(state, load):
                    return
                await asyncio.sleep(REPEAT_SECONDS)
            log_event(Part.WEIGHTS, "load not finished", engine=instance, version=load.version)
        finally:
            self._loads.pop(instance, None)
            self._wake.set()

    async def _order_once(self, state: UpstreamState, load: _Load) -> bool:
        """Look at an engine and order the load if need be; return whether it is done."""
        instance, address = state.entry.instance, state.entry.address
        report = await self._control.read_report(address)
        if isinstance(report, str):
            log_event(Part.WEIGHTS, "no report", engine=instance, reason=report)
            return self._skip(instance)
        if report.versions.get(load.model, 0) >= load.version:
            self._finish(instance, load.model, report.versions[load.model])
            return True
        if report.started_at != state.entry.started_at:
            log_event(Part.WEIGHTS, "another engine has the address", engine=instance)
            return self._skip(instance)
        if report.is_busy or not self._lease_manager.is_held():
            return False
        answer = await self._order(state, report, load)
        if answer is OrderAnswer.ALREADY_LOADED:
            self._finish(instance, load.model, load.version)
            return True
        if answer is OrderAnswer.ACCEPTED:
            self._expect_change(instance, ANNOUNCED_SECONDS)
            return await self._wait_for_version(state, load)
        return answer is OrderAnswer.REJECTED and self._skip(instance)

    def _expect_change(self, instance: InstanceId, seconds: float) -> None:
        self._registry.mark_loading(instance, asyncio.get_running_loop().time() + seconds)
        self._announcer.announce_load(instance, seconds)

    async def _wait_for_version(self, state: UpstreamState, load: _Load) -> bool:
        """Wait until an engine registers the version; return whether it has."""
        loop = asyncio.get_running_loop()
        last = loop.time() + LOAD_SECONDS
        while loop.time() < last:
            await asyncio.sleep(LOOK_SECONDS)
            if state.versions.get(load.model, 0) >= load.version:
                return True
        return False

    def _skip(self, instance: InstanceId) -> bool:
        """Leave an engine for later, and let others have its turn."""
        self._skipped_until[instance] = asyncio.get_running_loop().time() + SKIP_SECONDS
        return True

    async def _order(self, state: UpstreamState, report: EngineReport, load: _Load) -> OrderAnswer:
        order = WeightsOrder(
            instance=state.entry.instance,
            model=load.model,
            version=load.version,
            holder=self._host,
            fence=self._lease_manager.fence,
            accepted_orders=report.accepted_orders,
        )
        answer = await self._control.order_weights(state.entry.address, order)
        log_event(
            Part.WEIGHTS,
            "load ordered",
            engine=order.instance,
            version=order.version,
            before=report.versions.get(load.model),
            fence=order.fence,
            accepted_orders=order.accepted_orders,
            answer=answer.value,
        )
        return answer

    def _finish(self, instance: InstanceId, model: ModelName, version: int) -> None:
        self._registry.record_version(instance, model, version)
        self._announcer.announce_version(instance, model, version)
