"""Describe the states of a booking row and its attempts, and what must hold of them."""

from dataclasses import dataclass

import z3

from specifications.numbered import Numbered
from specifications.search import State

ABSENT, CLAIMED, DONE, RELEASED, UNKNOWN = range(5)
IDLE, TRYING, OWNING, DISPATCHED, ENDING, RELEASING, SETTLED, CRASHED = range(8)
NO_WRITE, WRITE_END, WRITE_RELEASE, WRITE_RENEWAL = range(4)


@dataclass(frozen=True)
class Attempt(Numbered):
    """Name the variables of one attempt.

    ``inserts`` says that a write for an absent row was sent; ``claim_version`` is the version that
    its last write over a released row depends on, or 0.
    """

    def is_in(self, state: State, *phases: int) -> z3.BoolRef:
        return z3.Or([self.get(state, "phase") == phase for phase in phases])

    def owns_row(self, state: State) -> z3.BoolRef:
        return state["owner"] == self.number

    def may_claim_take_effect(self, state: State) -> z3.BoolRef:
        version, row = self.get(state, "claim_version"), state["version"]
        return z3.Or(
            z3.And(self.get(state, "inserts"), row == 0), z3.And(version != 0, version == row)
        )


def is_safe(state: State, attempts: int) -> z3.BoolRef:
    """Return what callers rely on: one run at most, a true "not run", and no blocked key."""
    racing = [Attempt(number + 1) for number in range(attempts)]
    runs = z3.Sum([z3.If(attempt.get(state, "ran"), 1, 0) for attempt in racing])
    parts = [runs <= 1]
    for attempt in racing:
        ran, told = attempt.get(state, "ran"), attempt.get(state, "told_not_run")
        parts.append(z3.Not(z3.And(ran, told)))
        blocks = z3.And(attempt.owns_row(state), state["state"] == CLAIMED)
        parts.append(z3.Not(z3.And(attempt.is_in(state, SETTLED), told, blocks)))
    return z3.And(parts)


def is_consistent(state: State, attempts: int) -> z3.BoolRef:
    """Return the inductive invariant: safety, and who may still change the row."""
    parts = [is_safe(state, attempts), _is_row_consistent(state, attempts)]
    for number in range(attempts):
        parts += _list_attempt_facts(state, Attempt(number + 1))
    return z3.And(parts)


def _is_row_consistent(state: State, attempts: int) -> z3.BoolRef:
    return z3.And(
        state["version"] >= 0,
        state["version"] < state["next_version"],
        (state["version"] == 0) == (state["state"] == ABSENT),
        (state["version"] == 0) == (state["owner"] == 0),
        state["owner"] >= 0,
        state["owner"] <= attempts,
        state["state"] >= ABSENT,
        state["state"] <= UNKNOWN,
    )


def _list_attempt_facts(state: State, attempt: Attempt) -> list[z3.BoolRef]:
    claim, row = attempt.get(state, "claim_version"), state["version"]
    write, write_version = attempt.get(state, "write"), attempt.get(state, "write_version")
    owns, held = attempt.owns_row(state), state["state"] == CLAIMED
    ended = z3.Or(state["state"] == DONE, state["state"] == UNKNOWN)
    matches = z3.And(write != NO_WRITE, write_version == row)
    told, ran = attempt.get(state, "told_not_run"), attempt.get(state, "ran")
    return [
        z3.And(claim >= 0, claim < state["next_version"]),
        z3.And(write_version >= 0, write_version < state["next_version"]),
        z3.And(write >= NO_WRITE, write <= WRITE_RENEWAL),
        z3.And(attempt.get(state, "phase") >= IDLE, attempt.get(state, "phase") <= CRASHED),
        z3.Implies(z3.And(claim != 0, claim == row), state["state"] == RELEASED),
        z3.Implies(owns, claim != row),
        z3.Implies(z3.And(owns, state["state"] == RELEASED), told),
        z3.Implies(attempt.is_in(state, IDLE, TRYING), z3.Not(told)),
        z3.Implies(attempt.is_in(state, OWNING), z3.And(owns, held, z3.Not(told))),
        z3.Implies(attempt.is_in(state, IDLE, TRYING), write == NO_WRITE),
        z3.Implies(attempt.is_in(state, OWNING, DISPATCHED), write == NO_WRITE),
        z3.Implies(attempt.is_in(state, IDLE, TRYING, OWNING), z3.Not(ran)),
        z3.Implies(attempt.is_in(state, DISPATCHED, ENDING), z3.And(ran, owns, z3.Not(told))),
        z3.Implies(attempt.is_in(state, RELEASING), z3.And(told, z3.Not(ran))),
        z3.Implies(attempt.is_in(state, IDLE), z3.Not(z3.Or(owns, attempt.get(state, "inserts")))),
        z3.Implies(attempt.is_in(state, IDLE), claim == 0),
        z3.Implies(ran, z3.And(owns, z3.Or(held, ended), z3.Not(told))),
        z3.Implies(ran, z3.Or(write == NO_WRITE, write == WRITE_END)),
        z3.Implies(write == WRITE_END, ran),
        z3.Implies(z3.Or(write == WRITE_RELEASE, write == WRITE_RENEWAL), told),
        z3.Implies(z3.And(matches, write == WRITE_RELEASE, row != 0), z3.And(owns, held)),
        z3.Implies(z3.And(matches, write == WRITE_RENEWAL), state["state"] == RELEASED),
        z3.Implies(
            z3.And(attempt.is_in(state, SETTLED), told),
            z3.Not(z3.Or(z3.And(owns, held), attempt.may_claim_take_effect(state))),
        ),
    ]
