"""Check fair shares of accounts, bounds of priorities, and pressure."""

import math

import pytest

from tests.admission.support import LONG, SERVICE, SHORT, create_site
from turmericproxy.admission.decision import compute_retry_after
from turmericproxy.admission.pressure import NO_PRESSURE, find_best_wait, update_pressure
from turmericproxy.admission.priorities import PriorityClass, compute_bounds, list_classes
from turmericproxy.admission.shares import (
    Demand,
    DemandMeter,
    compute_account_share,
    compute_level,
)
from turmericproxy.core import AccountName

A, B, C = AccountName("a"), AccountName("b"), AccountName("c")


def test_level_leaves_accounts_within_their_share_whole() -> None:
    """Load: demands of 10, 10 and 100 at a capacity of 60. Guards against equal cuts."""
    demands = {A: Demand(10, 8, 1), B: Demand(10, 8, 1), C: Demand(100, 44, 1)}
    assert compute_level(demands) == pytest.approx(40)


def test_level_follows_weights() -> None:
    """Load: two accounts that ask for all; one has a third of the other's rate."""
    demands = {A: Demand(100, 30, 3), B: Demand(100, 30, 1)}
    assert compute_level(demands) * 3 == pytest.approx(45)


def test_nothing_is_above_its_share_while_all_is_admitted() -> None:
    """Load: any demand that is admitted as a whole."""
    assert compute_level({A: Demand(10, 10, 1), B: Demand(70, 70, 1)}) == math.inf
    assert compute_level({}) == math.inf


def test_urgent_requests_of_an_account_use_its_share_first() -> None:
    """Load: an account with a share of 10 that asks for 8 urgent and 8 less urgent."""
    assert compute_account_share(10, 0, 8) == 1.0
    assert compute_account_share(10, 8, 8) == pytest.approx(0.25)
    assert compute_account_share(10, 12, 8) == 0.0


def test_demand_is_unknown_until_a_second_of_it_was_seen() -> None:
    """Load: a host that has just started, and one that was suspended."""
    meter = DemandMeter()
    meter.record_totals({A: 1_000}, 10.0)
    meter.record_totals({A: 2_000}, 10.5)
    assert meter.estimate_demands({A: 1.0}, 10.9) == {}
    assert meter.estimate_demands({A: 1.0}, 11.0)[A].admitted > 0
    meter.record_totals({A: 90_000}, 20.0)
    assert meter.estimate_demands({A: 1.0}, 20.5) == {}


def test_refused_requests_count_as_demand() -> None:
    """Load: an account of which a host refuses half, so that its spending shows half."""
    meter = DemandMeter()
    for step in range(200):
        now = 10.0 + step / 100
        meter.record_offered(A, 1, 10, now)
        if step % 2:
            meter.record_refused(A, 10, now)
        meter.record_totals({A: 5.0 * step}, now)
    demand = meter.estimate_demands({A: 1.0}, 12.0)[A]
    assert demand.offered == pytest.approx(2 * demand.admitted, rel=0.05)


def test_bounds_follow_the_targets_of_the_configuration() -> None:
    """Load: none. Guards against bounds that don't follow changed targets or priorities."""
    classes = list_classes(create_site(), SERVICE)
    assert classes == (PriorityClass(0, SHORT.target), PriorityClass(1, LONG.target))
    bounds = compute_bounds(classes, {0: 0.015})
    assert bounds.find(0) is None
    assert bounds.find(1) == pytest.approx(0.45 * 0.25)
    lower = compute_bounds((*classes, PriorityClass(2, 1.0)), {}).find(2)
    assert lower is not None and lower < (bounds.find(1) or 0.0)
    assert compute_bounds(classes, {}).find(7) == compute_bounds(classes, {}).find(1)


def test_pressure_has_hysteresis() -> None:
    """Load: a wait around the bound. Guards against pressure that begins with one peak."""
    pressure = update_pressure(NO_PRESSURE, 0.0, 10.0)
    pressure = update_pressure(pressure, 3.0, 10.02)
    assert not pressure.is_high
    for step in range(20):
        pressure = update_pressure(pressure, 1.2, 10.04 + step / 20)
    assert pressure.is_high
    for step in range(20):
        pressure = update_pressure(pressure, 0.5, 11.1 + step / 20)
    assert pressure.is_high
    for step in range(20):
        pressure = update_pressure(pressure, 0.0, 12.2 + step / 20)
    assert not pressure.is_high


def test_single_idle_engine_does_not_hide_pressure() -> None:
    """Load: 69 engines with a queue, and one that looks idle as it no longer answers."""
    assert find_best_wait([0.0] + [0.4] * 69) == 0.4
    assert find_best_wait([0.0, 0.4]) == 0.0
    assert find_best_wait([]) == 0.0


def test_retry_after_stays_within_what_clients_honour() -> None:
    """Load: backlogs of 0 to 10 s. Guards against clients that give up instead of returning."""
    assert compute_retry_after(0.0, 0.8, 4.0, 0.0) == 0.05
    assert compute_retry_after(0.3, 0.8, 4.0, 0.5) == pytest.approx(0.5)
    assert compute_retry_after(10.0, 0.8, 3.0, 0.5) <= 1.0
    assert compute_retry_after(10.0, 0.8, 100.0, 0.5) <= 3.0


def test_retry_after_leaves_part_of_the_target_without_a_backlog() -> None:
    """Load: none. Guards against urgent requests that return when their target has passed."""
    assert compute_retry_after(0.0, 0.265, 4.0, 1.0) <= 0.5 * 0.265 + 0.01
