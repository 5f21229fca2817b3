"""Check the specification of load orders, and replay a counterexample on the engine stand-in."""

from collections.abc import Iterator

import pytest

from specifications.orders import Guards, create_convergence_system, create_order_system
from specifications.search import prove_inductive, search_bounded
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.web import HttpClient

DEPTH = 9


@pytest.mark.parametrize("checks_fence", [True, False])
def test_orders_are_safe_with_and_without_a_checked_fence(checks_fence: bool) -> None:
    system = create_order_system(Guards(checks_fence))
    assert search_bounded(system, DEPTH) is None
    assert prove_inductive(system) is None


def test_without_the_fence_an_old_order_reverts_the_engine() -> None:
    system = create_order_system(Guards(checks_fence=True))
    unchecked = create_order_system(Guards(checks_fence=False))
    found = search_bounded(
        type(system)(system.variables, system.initial, unchecked.steps, system.invariant), DEPTH
    )
    assert found is not None, "no counterexample without the fence check"
    assert found.states[-1]["was_reverted"] is True


def test_without_the_age_check_a_disconnected_host_orders_an_old_version() -> None:
    found = search_bounded(
        create_order_system(Guards(checks_fence=False, requires_confirmation=False)), DEPTH
    )
    assert found is not None, "no counterexample without the age check"
    assert found.steps[-1] == "send_known"


def test_engine_without_a_fence_converges_only_if_its_reports_are_read() -> None:
    assert search_bounded(create_convergence_system(reads_reports=True), DEPTH) is None
    found = search_bounded(create_convergence_system(reads_reports=False), DEPTH)
    assert found is not None, "no counterexample when the engine's reports are ignored"
    assert found.states[-1]["served"] < found.states[-1]["revision"]


@pytest.fixture
def engines() -> Iterator[dict[bool, EngineStandIn]]:
    started = {
        checks: create_engine(EngineOptions(checks_fence=checks, load_time=0.0, threads=4))
        for checks in (True, False)
    }
    for engine in started.values():
        engine.start()
    yield started
    for engine in started.values():
        engine.close()


def test_counterexample_is_prevented_only_by_an_engine_that_checks_the_fence(
    engines: dict[bool, EngineStandIn],
) -> None:
    found = search_bounded(create_convergence_system(reads_reports=False), DEPTH)
    assert found is not None
    statuses: dict[bool, list[int]] = {True: [], False: []}
    for before, step in zip(found.states, found.steps, strict=False):
        if not step.startswith("take_"):
            continue
        order = before[step.removeprefix("take_")]
        body = {"fence": order, "kind": "load", "model": "verdict", "version": str(order)}
        for checks, engine in engines.items():
            answer = HttpClient(engine.address).call_json("POST", "/v1/orders", body)
            assert isinstance(answer, tuple)
            statuses[checks].append(answer[0])
    assert statuses == {True: [200, 409], False: [200, 200]}
