"""Check that hosts of a domain divide the engines that they ask while the store is away."""

import asyncio

from tests.placement.support import MODEL, create_entry, create_registry
from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.rollout.interfaces import EngineReport, OrderAnswer, WeightsOrder
from turmericproxy.rollout.version_resolver import ROUND_SECONDS, EngineVersionResolver
from turmericproxy.rollout.wanted import WantedVersions

HOSTS = [HostName(f"h{n}") for n in range(6)]
ENGINES = ["e" * n for n in range(1, 31)]


class Engines:
    """Answer for all engines, and count the questions for each host."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.told: list[tuple[InstanceId, int]] = []

    async def read_report(self, address: str) -> EngineReport | str:
        self.asked.append(address)
        return EngineReport({MODEL: 2}, is_busy=False, accepted_orders=0, started_at=1)

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderAnswer:
        raise NotImplementedError

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        raise NotImplementedError

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        self.told.append((instance, version))

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        raise NotImplementedError


def test_each_engine_is_asked_by_one_host_which_tells_the_others() -> None:
    async def run() -> None:
        engines = Engines()
        inquirers = [
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
        for version_resolver in inquirers:
            version_resolver.start()
        await asyncio.sleep(ROUND_SECONDS + 0.3)
        for version_resolver in inquirers:
            await version_resolver.close()
        assert len(engines.asked) == len(set(engines.asked)) == len(ENGINES)
        assert sorted(engines.told) == sorted((name, 2) for name in ENGINES)

    asyncio.run(run())
