"""Check rollouts over many hosts with a fake store and clock, through the failures of the plan."""

import json
import random
from collections.abc import Callable

import pytest

from tests.releases.support import BOOKING, Fleet, Served, check_exposure, measure_exposure
from turmericproxy.core import RouteName
from turmericproxy.releases.orders import ReleasePhase

DURATION = 60.0


def make_bad(
    share: float, seed: int = 1, *, from_share: float = 0.0, route: RouteName | None = None
) -> Callable[[str, RouteName, float], Served]:
    """Return a service whose v2 fails a share of the requests, also only under some conditions."""
    source = random.Random(seed)

    def serve(version: str, on_route: RouteName, traffic: float) -> Served:
        is_affected = version == "v2" and traffic >= from_share and route in (None, on_route)
        return Served(is_failure=is_affected and source.random() < share)

    return serve


@pytest.mark.parametrize(
    ("hosts", "seed"), [(1, 0), (1, 1), (1, 2), (8, 0), (8, 1), (8, 2), (70, 0)]
)
def test_good_version_is_completed_in_time_and_nothing_goes_to_old_ones(
    hosts: int, seed: int
) -> None:
    """Guard against a good version that is late, and against requests lost as old ones stop."""
    fleet = Fleet(hosts, seed=seed)
    source = random.Random(seed)
    fleet.serve = lambda *_args: Served(source.random() < 0.01, source.lognormvariate(-3, 0.6))
    fleet.order(duration=DURATION)
    seconds = fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert seconds < 0.7 * DURATION
    assert not fleet.list_open("v1")
    completed_at = fleet.now
    fleet.run(3.0)
    assert fleet.count("v1", since=completed_at) == 0
    assert not fleet.refused


@pytest.mark.parametrize(
    ("hosts", "seed"), [(1, 0), (1, 1), *((8, seed) for seed in range(6)), (70, 0), (70, 1)]
)
def test_version_that_fails_forty_in_a_hundred_is_rolled_back_early(hosts: int, seed: int) -> None:
    """Guard against half of the allowed exposure for a version that is bad at once."""
    fleet = Fleet(hosts, seed=seed)
    fleet.serve = make_bad(0.4, seed)
    ordered_at = fleet.now
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(1.0)
    rolled_back_at = fleet.now
    fleet.run(6.0)
    assert fleet.count("v2", since=rolled_back_at) == 0
    check_exposure(fleet, ordered_at, DURATION, share=0.5)
    status = json.loads(fleet.find_status() or b"")
    assert (status["state"], status["to"]) == ("rolled_back", "v2")


@pytest.mark.parametrize("seed", range(20))
def test_version_that_fails_ten_in_a_hundred_of_few_requests_stays_within_its_bound(
    seed: int,
) -> None:
    """Guard against an exposure that grows while few failures leave the verdict open."""
    fleet = Fleet(seed=seed, rate=20.0)
    fleet.serve = make_bad(0.1, seed)
    ordered_at = fleet.now
    fleet.order(duration=DURATION)
    fleet.run(DURATION + 1.0, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(2.0)
    assert measure_exposure(fleet, ordered_at, DURATION) <= 1.0


@pytest.mark.parametrize("seed", range(20))
def test_good_version_of_a_service_with_few_requests_is_not_rolled_back(seed: int) -> None:
    """Guard against a verdict on the few failures that all versions have."""
    fleet = Fleet(seed=seed, rate=20.0)
    source = random.Random(seed)
    fleet.serve = lambda *_args: Served(source.random() < 0.01, source.lognormvariate(-3, 0.6))
    fleet.order(duration=DURATION)
    seconds = fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert seconds < 0.7 * DURATION


@pytest.mark.parametrize("seed", range(4))
def test_version_that_is_bad_only_from_a_share_of_the_traffic_is_rolled_back(seed: int) -> None:
    """Guard against steps that go on before the answers at the new share have come."""
    fleet = Fleet(seed=seed)
    fleet.serve = make_bad(0.4, seed, from_share=0.3)
    ordered_at = fleet.now
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(2.0)
    check_exposure(fleet, ordered_at, DURATION)


@pytest.mark.parametrize("seed", range(4))
def test_version_that_is_bad_on_one_route_only_is_rolled_back(seed: int) -> None:
    """Guard against a sum over routes that hides what one of them suffers."""
    fleet = Fleet(seed=seed)
    fleet.routes = [BOOKING, *(RouteName(f"r{n}") for n in range(9))]
    fleet.serve = make_bad(0.4, seed, route=BOOKING)
    ordered_at = fleet.now
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(2.0)
    check_exposure(fleet, ordered_at, DURATION)


@pytest.mark.parametrize("seed", range(4))
def test_version_whose_answers_are_partly_slow_is_rolled_back(seed: int) -> None:
    """Guard against a version that answers 40 in a hundred requests four times slower."""
    fleet = Fleet(seed=seed)
    source = random.Random(seed)

    def serve(version: str, _route: RouteName, _traffic: float) -> Served:
        seconds = source.lognormvariate(-3, 0.3)
        is_slow = version == "v2" and source.random() < 0.4
        return Served(seconds=6 * seconds if is_slow else seconds)

    fleet.serve = serve
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK


def test_slowness_of_all_versions_does_not_count() -> None:
    """Guard against rolling back a good version because the service is slow as a whole."""
    fleet = Fleet()
    started_at = fleet.now

    def serve(_version: str, _route: RouteName, _traffic: float) -> Served:
        return Served(seconds=0.5 if fleet.now > started_at + 8 else 0.05)

    fleet.serve = serve
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_failures_of_all_versions_do_not_count() -> None:
    """Guard against rolling back a good version because something behind the service fails."""
    fleet = Fleet()
    source = random.Random(3)
    fleet.serve = lambda *_args: Served(is_failure=source.random() < 0.3)
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_cold_caches_do_not_count() -> None:
    """Guard against rolling back a version whose upstreams are slow until their caches are warm."""
    fleet = Fleet()
    started_at = fleet.now

    def serve(version: str, _route: RouteName, _traffic: float) -> Served:
        is_cold = version == "v2" and fleet.now < started_at + 3
        return Served(seconds=0.3 if is_cold else 0.05)

    fleet.serve = serve
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


@pytest.mark.parametrize("rate", [0.5, 4.0])
def test_good_version_of_a_service_with_few_requests_is_completed(rate: float) -> None:
    """Guard against waiting past the deadline for answers that don't come."""
    fleet = Fleet(rate=rate)
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_without_an_order_all_versions_are_used_and_nothing_is_told() -> None:
    """Guard against effects where no order was given."""
    fleet = Fleet()
    fleet.run(3.0)
    assert 0.3 < fleet.measure_share("web", "v2") < 0.7
    assert not fleet.store.rows
    assert all(host.controller.take_messages() == ((), ()) for host in fleet.hosts.values())


def test_other_services_are_served_as_before() -> None:
    """Guard against an order that holds back the versions of another service."""
    fleet = Fleet(services=("web", "mail"))
    fleet.order(duration=DURATION, service="web")
    fleet.run(1.0)
    assert 0.3 < fleet.measure_share("mail", "v2") < 0.7
    assert fleet.measure_share("web", "v2") < 0.1
