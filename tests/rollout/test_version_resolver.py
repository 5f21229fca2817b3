"""Check that the hosts of a domain divide the engines to query during a store outage."""

import asyncio

import pytest

from tests.placement.support import MODEL, create_entry, create_registry
from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import UpstreamEntry, UpstreamRegistry
from turmericproxy.rollout.interfaces import (
    EngineReport,
    OrderResult,
    ReportUnavailable,
    WeightsOrder,
)
from turmericproxy.rollout.version_resolver import POLL_SECONDS, EngineVersionResolver
from turmericproxy.rollout.wanted import WantedVersions

HOSTS = [HostName(f"h{n}") for n in range(6)]
ENGINES = ["e" * n for n in range(1, 31)]


class EngineStub:
    """Report for all engines, and record the queried addresses and announced versions."""

    def __init__(self) -> None:
        self.queried: list[str] = []
        self.announced: list[tuple[InstanceId, int]] = []

    async def read_report(self, address: str) -> EngineReport | ReportUnavailable:
        self.queried.append(address)
        return EngineReport({MODEL: 2}, is_busy=False, accepted_orders=0, started_at=1)

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderResult:
        raise NotImplementedError

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        raise NotImplementedError

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        self.announced.append((instance, version))

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        raise NotImplementedError


def test_each_engine_is_queried_by_one_host_which_announces_its_version() -> None:
    async def run() -> None:
        engines = EngineStub()
        resolvers = [
            EngineVersionResolver(
                create_registry(*(create_entry(name) for name in ENGINES)),
                WantedVersions(),
                engines,
                lambda: True,
                engines,
                host,
                lambda host=host: [h for h in HOSTS if h != host],  # type: ignore[misc]
            )
            for host in HOSTS
        ]
        for resolver in resolvers:
            resolver.start()
        await asyncio.sleep(POLL_SECONDS + 0.3)
        for resolver in resolvers:
            await resolver.close()
        assert len(engines.queried) == len(set(engines.queried)) == len(ENGINES)
        assert sorted(engines.announced) == sorted((name, 2) for name in ENGINES)

    asyncio.run(run())


class LateReports(EngineStub):
    """Report version 1 only after a newer version has become known by another way."""

    def __init__(self, registry: UpstreamRegistry, *entries: UpstreamEntry) -> None:
        super().__init__()
        self._registry = registry
        self._entries = entries

    async def read_report(self, address: str) -> EngineReport | ReportUnavailable:
        await asyncio.sleep(0)
        for entry in self._entries:
            self._registry.update(entry)
        self._registry.record_version(InstanceId("e"), MODEL, 2)
        return EngineReport({MODEL: 1}, is_busy=False, accepted_orders=0, started_at=1)


@pytest.mark.parametrize("entries", [(), (create_entry("e", started_at=2),)])
def test_late_report_does_not_replace_a_version_that_became_known_since(
    entries: tuple[UpstreamEntry, ...],
) -> None:
    """Guard against an emptied cache index and requests for old weights after a late report."""

    async def run() -> None:
        registry = create_registry(create_entry("e"))
        engines = LateReports(registry, *entries)
        resolver = EngineVersionResolver(
            registry, WantedVersions(), engines, lambda: False, engines, HOSTS[0], list
        )
        await resolver.refresh_versions(InstanceId("e"))
        state = registry.find(InstanceId("e"))
        assert state is not None
        assert state.versions == {MODEL: 2}

    asyncio.run(run())
