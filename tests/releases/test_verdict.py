"""Check the comparison of versions and the decisions that follow, without hosts."""

from dataclasses import replace

import pytest

from turmericproxy.core import RouteName
from turmericproxy.releases.exposure import ShareGate, find_share, limit_share
from turmericproxy.releases.orders import ReleaseBounds, ReleasePhase
from turmericproxy.releases.samples import SampleKey, Samples, find_bucket
from turmericproxy.releases.steps import LAST_STEP, STEPS, compute_least_remaining
from turmericproxy.releases.verdict import (
    Decision,
    Evidence,
    decide,
    find_fault,
    find_sparse_fault,
)

ROUTE = RouteName("r")
NEW, OLD = SampleKey(True, ROUTE), SampleKey(False, ROUTE)
FAST, SLOW = find_bucket(0.05), find_bucket(0.4)
GOOD = {NEW: Samples(60, 0), OLD: Samples(600, 3)}


def create_evidence(**changes: object) -> Evidence:
    evidence = Evidence(
        phase=ReleasePhase.STEPPING,
        step=1,
        duration=60.0,
        elapsed=10.0,
        in_step=5.0,
        windows=(GOOD,),
        totals=GOOD,
        strata=(GOOD,),
        requests=660,
        sent=60,
        is_exposure_used=False,
        has_new_upstreams=True,
        has_old_upstreams=True,
        are_hosts_clear=False,
    )
    return replace(evidence, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "decision"),
    [
        ({}, Decision.PROCEED),
        ({"in_step": 1.0}, Decision.HOLD),
        ({"strata": ({NEW: Samples(5, 3), OLD: Samples(600, 3)},)}, Decision.HOLD),
        (
            {"strata": ({NEW: Samples(5, 3), OLD: Samples(600, 3)},), "is_exposure_used": True},
            Decision.ROLL_BACK,
        ),
        ({"is_exposure_used": True}, Decision.PROCEED),
        ({"has_new_upstreams": False}, Decision.HOLD),
        ({"step": LAST_STEP}, Decision.FINISH),
        ({"elapsed": 60.0}, Decision.ROLL_BACK),
        ({"phase": ReleasePhase.FINISHING}, Decision.HOLD),
        ({"phase": ReleasePhase.FINISHING, "are_hosts_clear": True}, Decision.COMPLETE),
        ({"phase": ReleasePhase.FINISHING, "elapsed": 90.0}, Decision.HOLD),
        ({"windows": ({NEW: Samples(20, 8), OLD: Samples(600, 3)},)}, Decision.ROLL_BACK),
        (
            {
                "windows": ({NEW: Samples(20, 8), OLD: Samples(600, 3)},),
                "has_old_upstreams": False,
            },
            Decision.HOLD,
        ),
    ],
)
def test_decision_follows_from_the_evidence(changes: dict[str, object], decision: Decision) -> None:
    """Guard against a wrong order of the rules, such as a deadline that undoes a completion."""
    assert decide(create_evidence(**changes)).decision is decision


def test_fewer_than_five_failures_decide_nothing() -> None:
    """Guard against a rollback by accident."""
    window = {NEW: Samples(4, 4), OLD: Samples(600, 0)}
    assert find_fault(window, window, judges_latency=True) is None


def test_old_answers_of_before_count_if_there_are_few_at_the_time() -> None:
    """Guard against a version with all traffic that nothing can be compared with."""
    window = {NEW: Samples(60, 20)}
    assert find_fault(window, {OLD: Samples(600, 3)}, judges_latency=False)
    assert find_fault(window, {OLD: Samples(600, 200)}, judges_latency=False) is None


def test_slow_answers_are_compared_at_the_same_load() -> None:
    """Guard against blaming a version for the load of its fewer upstreams."""
    old = Samples(800, 0, {(0, FAST): 400, (4, SLOW): 400})
    busy = {NEW: Samples(60, 0, {(4, SLOW): 60}), OLD: old}
    assert find_fault(busy, busy, judges_latency=True) is None
    idle = {NEW: Samples(60, 0, {(0, SLOW): 60}), OLD: old}
    assert find_fault(idle, idle, judges_latency=True)
    assert find_fault(idle, idle, judges_latency=False) is None


def test_failures_that_are_few_on_each_route_count_together() -> None:
    """Guard against a version that fails one request in ten of a service with little traffic."""
    routes = [RouteName(f"r{n}") for n in range(4)]
    window = {SampleKey(True, route): Samples(40, 4) for route in routes}
    window |= {SampleKey(False, route): Samples(400, 0) for route in routes}
    assert find_fault(window, window, judges_latency=False) is None
    assert find_sparse_fault([window], window)


def test_few_old_answers_at_the_time_do_not_hide_failures() -> None:
    """Guard against four failures at a share of 0.6 that count as chance beside 35 good answers."""
    first = {NEW: Samples(30, 5), OLD: Samples(265, 0)}
    last = {NEW: Samples(52, 5), OLD: Samples(35, 0)}
    totals = {NEW: Samples(82, 10), OLD: Samples(300, 0)}
    assert find_sparse_fault([first, last], totals)


def test_different_shares_and_failures_of_steps_are_no_fault() -> None:
    """Guard against Simpson's paradox: the service failed while the version had more traffic."""
    early = {NEW: Samples(20, 0), OLD: Samples(980, 0)}
    late = {NEW: Samples(600, 180), OLD: Samples(400, 120)}
    totals = {NEW: Samples(620, 180), OLD: Samples(1380, 120)}
    assert find_sparse_fault([early, late], totals) is None


def test_shares_before_the_last_stay_within_the_usual_bound() -> None:
    """Guard against steps that use up the exposure of a version that turns bad late."""
    assert sum(step.share * step.dwell for step in STEPS[:-1]) < 0.08
    assert STEPS[LAST_STEP].share == 1.0
    assert STEPS[LAST_STEP].latest < 0.6
    assert compute_least_remaining(LAST_STEP, 60.0) == 0


def test_share_is_lowered_to_what_may_be_lost_but_never_below_the_present_one() -> None:
    """Guard against an exposure beyond the bound, and against a rollout that goes backwards."""
    bounds = ReleaseBounds(0.1, 50, 5.0)

    def limit(sent: int) -> float:
        return limit_share(5, 0.35, bounds, requests=1000, sent=sent, elapsed=10.0, duration=20.0)

    assert limit(50) == 0.6
    assert limit(130) == 0.4
    assert limit(400) == 0.35


@pytest.mark.parametrize("offset", [0.0, 0.4, 0.99])
def test_host_sends_its_share_from_any_offset(offset: float) -> None:
    """Guard against hosts that all send their first requests to the new version."""
    gate = ShareGate(offset)
    assert 19 <= sum(gate.draw(0.02) for _ in range(1000)) <= 21


def test_nothing_is_sent_before_the_first_step() -> None:
    """Guard against requests to a version that nobody watches yet."""
    assert find_share(None, 0.0) == 0.0
