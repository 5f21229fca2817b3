"""Check admission control in front of engines that prefill in chunks between decode steps."""

from functools import cache

import pytest

from tests.admission.engine_model import TRAFFIC, EngineFleet
from tests.admission.support import LONG, SHORT, Kind
from turmericproxy.admission.delays import NO_DELAY, update_delay

START, END = 103.0, 110.0
SEEDS = (1, 2, 3)


@cache
def run_burst(factor: float, kinds: tuple[Kind, ...], seed: int) -> EngineFleet:
    def load(now: float, kind: Kind, account: str) -> float:
        return factor if START <= now < END and kind in kinds else 0.5

    fleet = EngineFleet(load, seed=seed)
    fleet.run(13)
    return fleet


def count_in_target(factor: float, kinds: tuple[Kind, ...]) -> int:
    return sum(
        run_burst(factor, kinds, seed).totals.in_target[k.name] for seed in SEEDS for k in TRAFFIC
    )


@pytest.mark.parametrize("kinds", [(LONG,), (LONG, SHORT)])
@pytest.mark.parametrize("factor", [1.2, 2.0, 2.5])
def test_most_urgent_kind_is_not_served_worse(factor: float, kinds: tuple[Kind, ...]) -> None:
    """Load: long prompts, or both kinds, at 1.2 to 2.5 times the capacity for 7 s; three seeds.

    Guards against urgent prompts that begin late beside the prefill of less urgent ones.
    """
    for seed in SEEDS:
        fleet = run_burst(factor, kinds, seed)
        assert fleet.get_served_share("short") >= fleet.get_served_share("long") - 0.05
        assert fleet.get_value_share("short") >= fleet.get_value_share("long") - 0.15


@pytest.mark.parametrize("kinds", [(LONG,), (LONG, SHORT)])
@pytest.mark.parametrize("factor", [2.0, 3.0])
def test_answers_in_target_hold_past_capacity(factor: float, kinds: tuple[Kind, ...]) -> None:
    """Load: as above at 2 and 3 times the capacity.

    Guards against urgent prompts that are admitted though the steps of their first event, beside
    as many others, end after its target.
    """
    assert count_in_target(factor, kinds) >= 0.9 * count_in_target(1.5, kinds)
    for fleet in (run_burst(factor, kinds, seed) for seed in SEEDS):
        assert sum(fleet.totals.expired.values()) < 0.01 * fleet.totals.answered["long"]


def test_margin_follows_the_delay_of_first_events() -> None:
    """Load: first events 60 ms later than expected, then 20 ms earlier.

    Guards against a margin that stays after the delay has gone, and against a negative one.
    """
    estimate = NO_DELAY
    for _ in range(100):
        estimate = update_delay(estimate, 0.06)
    assert estimate.compute_margin(2.0) == pytest.approx(0.06, abs=0.002)
    for _ in range(100):
        estimate = update_delay(estimate, -0.02)
    assert estimate.compute_margin(2.0) == 0.0


@pytest.mark.parametrize("memory", [70_000, 92_192])
def test_streams_are_not_preempted_or_cut_off_where_memory_is_short(memory: int) -> None:
    """Load: both kinds at 2.5 times the capacity; memory for 7 or 9 long prompts in 12 slots.

    Guards against streams that are restarted, or still running at their client's deadline.
    """

    def load(now: float, kind: Kind, account: str) -> float:
        return 2.5 if START <= now < END else 0.5

    fleet = EngineFleet(load, memory=memory)
    fleet.run(13)
    for results in fleet.results.values():
        assert (results["preempted"], results["unfinished"]) == (0, 0)
    unmanaged = EngineFleet(load, memory=memory, is_on=False)
    unmanaged.run(13)
    assert sum(r["unfinished"] for r in unmanaged.results.values()) > 0
