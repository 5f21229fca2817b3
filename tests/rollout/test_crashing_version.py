"""Check that a version of weights on which engines end isn't ordered on and on."""

import asyncio
from dataclasses import replace
from typing import cast

from tests.placement.support import MODEL, create_entry, create_registry
from tests.rollout.test_controller import HeldLease, Recorder
from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.controller import RolloutController
from turmericproxy.rollout.interfaces import (
    EngineReport,
    OrderResult,
    ReportUnavailable,
    WeightsOrder,
)
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.rollout.wanted import WantedVersions

# Of different lengths, since their addresses follow from these.
ENGINES = ("a", "bb", "ccc", "dddd")
RESTART_SECONDS = 0.1
ALLOWED_ORDERS = 5 + 3


class EndingEngines(Recorder):
    """End each engine that accepts an order; it comes back with the weights that it had."""

    def __init__(self, registry: UpstreamRegistry) -> None:
        super().__init__()
        self.orders = 0
        self._registry = registry

    async def read_report(self, address: str) -> EngineReport | ReportUnavailable:
        (entry,) = [s.entry for s in self._registry.list_states() if s.entry.address == address]
        return EngineReport(
            {MODEL: 1}, is_busy=False, accepted_orders=0, started_at=entry.started_at
        )

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderResult:
        self.orders += 1
        asyncio.get_running_loop().call_later(RESTART_SECONDS, self._restart, order.instance)
        return await super().order_weights(address, order)

    def _restart(self, instance: InstanceId) -> None:
        state = self._registry.find(instance)
        assert state is not None
        self._registry.update(replace(state.entry, started_at=state.entry.started_at + 1))


# Issue 30: what ends one engine after the other may also be an order, which nothing adds up.
def test_version_on_which_engines_end_is_not_ordered_on_and_on() -> None:
    async def run() -> int:
        registry, wanted = create_registry(*map(create_entry, ENGINES)), WantedVersions()
        engines = EndingEngines(registry)
        wanted.record(MODEL, 2, 0.0)
        lease = cast(LeaseManager, HeldLease())
        controller = RolloutController(
            registry, wanted, engines, lease, HostName("h"), list, engines
        )
        controller.start()
        await asyncio.sleep(6.0)
        await controller.close()
        return engines.orders

    assert asyncio.run(run()) <= ALLOWED_ORDERS
