"""Define the states of a booking row and its attempts, with their safety property and invariant."""

from dataclasses import dataclass

import z3

from specifications.processes import NumberedProcess
from specifications.search import State

ABSENT, CLAIMED, DONE, RELEASED, UNKNOWN = range(5)
IDLE, CLAIMING, CONFIRMED, DISPATCHED, FINISHING, RELEASING, SETTLED, CRASHED = range(8)
NO_WRITE, WRITE_OUTCOME, WRITE_RELEASE, WRITE_RENEWAL = range(4)


@dataclass(frozen=True)
class Attempt(NumberedProcess):
    """Access the variables of one attempt.

    ``inserts`` is true once a write that requires an absent row was sent. ``claim_version`` is the
    row version that the attempt's last write over a released row requires, or 0.
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
    """Return the safety property of the protocol.

    The booking runs at most once, "not run" is reported only if it never runs, and an attempt that
    has reported "not run" and settled leaves no claim that blocks the key.
    """
    competitors = [Attempt(number + 1) for number in range(attempts)]
    runs = z3.Sum([z3.If(attempt.get(state, "ran"), 1, 0) for attempt in competitors])
    parts = [runs <= 1]
    for attempt in competitors:
        ran, reported = attempt.get(state, "ran"), attempt.get(state, "reported_not_run")
        parts.append(z3.Not(z3.And(ran, reported)))
        blocks = z3.And(attempt.owns_row(state), state["state"] == CLAIMED)
        parts.append(z3.Not(z3.And(attempt.is_in(state, SETTLED), reported, blocks)))
    return z3.And(parts)


def is_consistent(state: State, attempts: int) -> z3.BoolRef:
    """Return the inductive invariant: safety, and which writes may still take effect."""
    parts = [is_safe(state, attempts), _is_row_consistent(state, attempts)]
    for number in range(attempts):
        parts += _list_attempt_invariants(state, Attempt(number + 1))
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


def _list_attempt_invariants(state: State, attempt: Attempt) -> list[z3.BoolRef]:
    claim, row = attempt.get(state, "claim_version"), state["version"]
    write, write_version = attempt.get(state, "write"), attempt.get(state, "write_version")
    is_owner, is_claimed = attempt.owns_row(state), state["state"] == CLAIMED
    has_outcome = z3.Or(state["state"] == DONE, state["state"] == UNKNOWN)
    matches = z3.And(write != NO_WRITE, write_version == row)
    reported, ran = attempt.get(state, "reported_not_run"), attempt.get(state, "ran")
    return [
        z3.And(claim >= 0, claim < state["next_version"]),
        z3.And(write_version >= 0, write_version < state["next_version"]),
        z3.And(write >= NO_WRITE, write <= WRITE_RENEWAL),
        z3.And(attempt.get(state, "phase") >= IDLE, attempt.get(state, "phase") <= CRASHED),
        z3.Implies(z3.And(claim != 0, claim == row), state["state"] == RELEASED),
        z3.Implies(is_owner, claim != row),
        z3.Implies(z3.And(is_owner, state["state"] == RELEASED), reported),
        z3.Implies(attempt.is_in(state, IDLE, CLAIMING), z3.Not(reported)),
        z3.Implies(attempt.is_in(state, CONFIRMED), z3.And(is_owner, is_claimed, z3.Not(reported))),
        z3.Implies(attempt.is_in(state, IDLE, CLAIMING), write == NO_WRITE),
        z3.Implies(attempt.is_in(state, CONFIRMED, DISPATCHED), write == NO_WRITE),
        z3.Implies(attempt.is_in(state, IDLE, CLAIMING, CONFIRMED), z3.Not(ran)),
        z3.Implies(
            attempt.is_in(state, DISPATCHED, FINISHING), z3.And(ran, is_owner, z3.Not(reported))
        ),
        z3.Implies(attempt.is_in(state, RELEASING), z3.And(reported, z3.Not(ran))),
        z3.Implies(
            attempt.is_in(state, IDLE), z3.Not(z3.Or(is_owner, attempt.get(state, "inserts")))
        ),
        z3.Implies(attempt.is_in(state, IDLE), claim == 0),
        z3.Implies(ran, z3.And(is_owner, z3.Or(is_claimed, has_outcome), z3.Not(reported))),
        z3.Implies(ran, z3.Or(write == NO_WRITE, write == WRITE_OUTCOME)),
        z3.Implies(write == WRITE_OUTCOME, ran),
        z3.Implies(z3.Or(write == WRITE_RELEASE, write == WRITE_RENEWAL), reported),
        z3.Implies(z3.And(matches, write == WRITE_RELEASE, row != 0), z3.And(is_owner, is_claimed)),
        z3.Implies(z3.And(matches, write == WRITE_RENEWAL), state["state"] == RELEASED),
        z3.Implies(
            z3.And(attempt.is_in(state, SETTLED), reported),
            z3.Not(z3.Or(z3.And(is_owner, is_claimed), attempt.may_claim_take_effect(state))),
        ),
    ]
