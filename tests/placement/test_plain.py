"""Check the expected durations of calls to plain services."""

import pytest

from tests.placement.support import create_entry, create_registry
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.health import HealthSignal
from turmericproxy.placement.plain import PlainView, estimate_load_factor, estimate_seconds
from turmericproxy.placement.registry import UpstreamRegistry, Work
from turmericproxy.placement.selection import create_plain_view

ONE = InstanceId("one")
BURST = 200
CALL_SECONDS = 0.02


def view_upstream(registry: UpstreamRegistry) -> PlainView:
    state = registry.find(ONE)
    assert state is not None
    return create_plain_view(state, "a", 0.0)


@pytest.mark.parametrize("bursts", [1, 3, 10])
def test_bursts_do_not_lengthen_the_learned_duration(bursts: int) -> None:
    """Guard against calls that are refused as too late since load counts twice.

    All calls of a burst are sent at once, and each waits for those before it. If the durations are
    learned as measured, later calls are expected to take several times as long as they do.
    """
    registry = create_registry(create_entry("one"))
    slots = view_upstream(registry).slots
    for _ in range(bursts):
        factors = []
        for _ in range(BURST):
            factors.append(estimate_load_factor(view_upstream(registry)))
            registry.add_work(ONE, Work(1))
        expected = estimate_seconds(view_upstream(registry))
        for sent_before, factor in enumerate(factors):
            seconds = CALL_SECONDS * (1 + sent_before // slots)
            registry.record_health_signal(ONE, HealthSignal.ANSWERED, 0.0, seconds / factor)
            registry.add_work(ONE, Work(-1))
        assert expected <= 2.0 * CALL_SECONDS * (1 + BURST // slots)


def test_slower_upstream_is_expected_to_take_longer_without_load() -> None:
    registry = create_registry(create_entry("one"))
    for _ in range(100):
        registry.record_health_signal(ONE, HealthSignal.ANSWERED, 0.0, 0.2)
    assert estimate_seconds(view_upstream(registry)) == pytest.approx(0.2, rel=0.01)
