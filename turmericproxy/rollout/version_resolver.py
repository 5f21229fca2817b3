"""Read versions of weights from engines when neither the store nor a peer provides them."""

import asyncio
import functools
from collections.abc import Callable

from turmericproxy.core import HostName
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.interfaces import Announcer, EngineControl, EngineReport
from turmericproxy.rollout.reports import read_engine_report
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.tasks import repeat

# Interval between queries to each engine while the store is unreachable.
POLL_SECONDS = 1.0
# Time for which a request waits for a report, which a sound engine may send more than a second
# later. The query goes on, and its result serves later requests.
MAX_REQUEST_WAIT_SECONDS = 0.35


class EngineVersionResolver:
    """Query engines for their versions: after a version mismatch, and during a store outage.

    A version that an engine reports must have been set by the operator, so it is recorded as
    wanted for the others too. During an outage ``host`` and its domain's other hosts, from
    ``list_local_peers``, divide the engines among themselves.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        control: EngineControl,
        is_store_unreachable: Callable[[], bool],
        announcer: Announcer,
        host: HostName,
        list_local_peers: Callable[[], list[HostName]],
    ) -> None:
        self._registry = registry
        self._wanted = wanted
        self._control = control
        self._is_store_unreachable = is_store_unreachable
        self._announcer = announcer
        self._host = host
        self._list_local_peers = list_local_peers
        self._queries: dict[InstanceId, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to monitor the store for outages."""
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.WEIGHTS, "query engines for their versions", self._query_engines)
        )

    async def close(self) -> None:
        """Stop monitoring and cancel running queries."""
        for task in [self._task, *self._queries.values()]:
            if task:
                task.cancel()

    async def refresh_versions(self, instance: InstanceId) -> None:
        """Update an engine's versions from its report, and wait for a short time until it is done.

        Concurrent calls share one query.
        """
        task = self._queries.get(instance)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._query_versions(instance))
            self._queries[instance] = task
            task.add_done_callback(functools.partial(self._end_query, instance))
        await asyncio.wait([task], timeout=MAX_REQUEST_WAIT_SECONDS)

    def supersede_upstream(self, instance: InstanceId, address: str) -> None:
        """Mark an upstream as superseded at its address, here and at the other hosts.

        The one that answers there may belong to any service: only its registration tells which.
        """
        if self._registry.supersede(instance, address):
            self._announcer.announce_superseded(instance, address)

    def _end_query(self, instance: InstanceId, task: asyncio.Task[None]) -> None:
        self._queries.pop(instance, None)
        if not task.cancelled() and (error := task.exception()):
            log_event(Part.WEIGHTS, "query failed", engine=instance, reason=repr(error))

    async def _query_engines(self) -> None:
        await asyncio.sleep(POLL_SECONDS)
        if self._is_store_unreachable():
            await asyncio.gather(
                *(self.refresh_versions(instance) for instance in self._list_assigned_engines())
            )

    def _list_assigned_engines(self) -> list[InstanceId]:
        """Return the engines that this host queries for its failure domain."""
        hosts = [self._host, *self._list_local_peers()]
        engines = [s.entry.instance for s in self._registry.list_states() if s.entry.versions]
        return [i for i in engines if choose_by_hash(i, hosts) == self._host]

    async def _query_versions(self, instance: InstanceId) -> None:
        state = self._registry.find(instance)
        if state is None:
            return
        known = dict(state.versions)
        report = await self._read_report(instance, state.entry.address)
        # The engine may have been registered again since the query was sent.
        if report is None or self._registry.find(instance) is not state:
            return
        if report.started_at != state.entry.started_at:
            return
        now = asyncio.get_running_loop().time()
        for model, version in report.versions.items():
            current = state.versions.get(model, 0)
            if version < current != known.get(model, 0):
                # The report was made before the engine loaded the version known by now.
                continue
            if version > current:
                self._announcer.announce_version(instance, model, version)
            self._registry.set_reported_version(instance, model, version)
            self._wanted.record(model, version, now)

    async def _read_report(self, instance: InstanceId, address: str) -> EngineReport | None:
        """Return an engine's report, ``None`` if it can't be read or the engine wants no call."""
        if self._registry.measure_call_pause(instance, asyncio.get_running_loop().time()) > 0:
            return None
        return await read_engine_report(self._control, self._registry, instance, address)
