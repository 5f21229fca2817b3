"""Learn versions of weights from engines, where neither the store nor a peer tells them."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from turmericproxy.core import HostName
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.interfaces import Announcer, EngineControl
from turmericproxy.rollout.wanted import WantedVersions

# Seconds between two rounds of questions while the store is away.
ROUND_SECONDS = 1.0


class EngineVersionResolver:
    """Ask engines for their versions: when one denies a version, and while the store is away.

    A version that an engine has was named, so it is wanted of the others too. While the store is
    away the hosts of a failure domain, ``list_local_peers`` and ``host``, divide the engines.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        control: EngineControl,
        is_store_away: Callable[[], bool],
        announcer: Announcer,
        host: HostName,
        list_local_peers: Callable[[], list[HostName]],
    ) -> None:
        self._registry = registry
        self._wanted = wanted
        self._control = control
        self._is_store_away = is_store_away
        self._announcer = announcer
        self._host = host
        self._list_near = list_local_peers
        self._running: dict[InstanceId, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch for outages of the store."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop asking."""
        for task in [self._task, *self._running.values()]:
            if task:
                task.cancel()

    async def refresh_versions(self, instance: InstanceId) -> None:
        """Learn an engine's versions from itself; questions at the same time are asked once."""
        task = self._running.get(instance)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._ask(instance))
            self._running[instance] = task
            task.add_done_callback(lambda _: self._running.pop(instance, None))
        await asyncio.shield(task)

    async def replace_upstream(
        self, instance: InstanceId, address: str, successor: InstanceId
    ) -> None:
        """Drop an upstream whose address another one has; take that one in its place if it may.

        Only while the store can't tell, and only an engine of the same models, which no other
        service has.
        """
        state = self._registry.find(instance)
        if self._registry.supersede(instance, address):
            self._announcer.announce_superseded(instance, address)
        if state is None or self._registry.find(successor) or not self._is_store_away():
            return
        report = await self._control.read_report(state.entry.address)
        if isinstance(report, str) or not report.versions:
            return
        if set(report.versions) != set(state.entry.versions):
            return
        if self._registry.count_services(report.versions) != 1:
            return
        self._registry.update(
            replace(
                state.entry,
                instance=successor,
                started_at=report.started_at,
                versions=report.versions,
            )
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_SECONDS)
            if self._is_store_away():
                await asyncio.gather(*(self._ask(instance) for instance in self._list_own_part()))

    def _list_own_part(self) -> list[InstanceId]:
        """Return the engines that this host asks for its failure domain."""
        hosts = [self._host, *self._list_near()]
        engines = [s.entry.instance for s in self._registry.list_states() if s.entry.versions]
        return [i for i in engines if choose_by_hash(i, hosts) == self._host]

    async def _ask(self, instance: InstanceId) -> None:
        state = self._registry.find(instance)
        if state is None:
            return
        report = await self._control.read_report(state.entry.address)
        if isinstance(report, str):
            log_event(Part.WEIGHTS, "no report", engine=instance, reason=report)
            return
        if report.started_at != state.entry.started_at:
            return
        now = asyncio.get_running_loop().time()
        for model, version in report.versions.items():
            if version > state.versions.get(model, 0):
                self._announcer.announce_version(instance, model, version)
            self._registry.set_reported_version(instance, model, version)
            self._wanted.record(model, version, now)
