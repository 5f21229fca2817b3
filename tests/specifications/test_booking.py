"""Prove the booking protocol by induction, and show that each of its guards is needed."""

from dataclasses import fields, replace

import pytest

from specifications.booking import ENVIRONMENT, Guards, create_system
from specifications.booking_state import is_consistent
from specifications.search import prove_inductive, search_bounded
from tests.bookings.race import Race
from turmericproxy.bookings import ClaimController, claims

GUARDS = [field.name for field in fields(Guards)]
DEPTH = 9


@pytest.mark.parametrize("attempts", [2, 3])
def test_at_most_once_holds_for_runs_of_any_length(attempts: int) -> None:
    system = create_system(attempts)
    inductive = replace(system, invariant=lambda state: is_consistent(state, attempts))
    assert prove_inductive(inductive) is None


def test_bounded_search_finds_no_counterexample() -> None:
    assert search_bounded(create_system(2), DEPTH) is None


@pytest.mark.parametrize("guard", GUARDS)
def test_disabled_guard_has_a_counterexample_that_the_code_prevents(guard: str) -> None:
    broken = create_system(2, replace(Guards(), **{guard: False}))
    found = search_bounded(broken, DEPTH)
    assert found is not None
    print(f"without {guard}:\n{found}")
    race = Race(2)
    for step in found.steps:
        name, number = step.split()
        race.run_step(name, int(number))
        assert race.is_safe(), step


def test_steps_are_named_after_functions() -> None:
    names = {step.split()[0] for step in create_system(1).steps} - set(ENVIRONMENT)
    assert names == {n for n in names if hasattr(claims, n) or hasattr(ClaimController, n)}
