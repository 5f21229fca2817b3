"""Specify how one idempotency key is claimed, dispatched, settled and claimed again.

Two or three attempts on different hosts compete for one row. A write that was sent may take effect
at once, late, more than once, or never; hosts may crash at any step. Steps are named after the
functions of ``turmericproxy.bookings`` that they model; those in ``ENVIRONMENT`` model the platform
and host crashes.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import z3

from specifications.booking_state import (
    ABSENT,
    CLAIMED,
    CLAIMING,
    CONFIRMED,
    CRASHED,
    DISPATCHED,
    DONE,
    FINISHING,
    IDLE,
    NO_WRITE,
    RELEASED,
    RELEASING,
    SETTLED,
    UNKNOWN,
    WRITE_OUTCOME,
    WRITE_RELEASE,
    WRITE_RENEWAL,
    Attempt,
    is_safe,
)
from specifications.search import State, Step, TransitionSystem

ENVIRONMENT = ("apply_claim", "apply_settlement", "crash_host")

Update = Callable[[State], Mapping[str, Any]]


@dataclass(frozen=True)
class Guards:
    """Select the guards of the protocol; a check disables one to show that it is needed.

    ``confirm_attempt``: a claim counts as the attempt's own only if the row has its attempt id.
    ``dispatch_confirmed``: only a confirmed claim that was not given up is dispatched.
    ``release_undispatched``: a dispatched claim is never released.
    ``claim_released``: an existing row is claimed again only after it was released.
    ``check_version``: a write over an existing row requires the row's version.
    ``fence_absent``: giving up a claim inserts a released row if the row is absent.
    ``renew_released``: giving up a claim renews the released row whose version its write requires.
    """

    confirm_attempt: bool = True
    dispatch_confirmed: bool = True
    release_undispatched: bool = True
    claim_released: bool = True
    check_version: bool = True
    fence_absent: bool = True
    renew_released: bool = True


def create_system(attempts: int, guards: Guards = Guards()) -> TransitionSystem:  # noqa: B008
    """Return the system in which ``attempts`` attempts compete for one key."""
    competitors = [Attempt(number + 1) for number in range(attempts)]
    variables: dict[str, z3.SortRef] = {
        name: z3.IntSort() for name in ("owner", "state", "version", "next_version")
    }
    steps: dict[str, Step] = {}
    for attempt in competitors:
        for name in ("phase", "claim_version", "write", "write_version"):
            variables[attempt.name(name)] = z3.IntSort()
        for name in ("inserts", "ran", "reported_not_run"):
            variables[attempt.name(name)] = z3.BoolSort()
        for name, step in _create_steps(attempt, guards).items():
            steps[f"{name} {attempt.number}"] = step
    return TransitionSystem(
        variables,
        initial=lambda state: _is_initial(state, variables),
        steps=steps,
        invariant=lambda state: is_safe(state, attempts),
    )


def _is_initial(state: State, variables: Mapping[str, z3.SortRef]) -> z3.BoolRef:
    zeros = [
        z3.Not(state[name]) if sort == z3.BoolSort() else state[name] == 0
        for name, sort in variables.items()
        if name != "next_version"
    ]
    return z3.And(state["next_version"] == 1, *zeros)


def _create_steps(attempt: Attempt, guards: Guards) -> dict[str, Step]:
    return {
        "write_claim": _write_claim(attempt, guards),
        "confirm_claim": _confirm_claim(attempt, guards),
        "record_dispatch": _record_dispatch(attempt, guards),
        "finish_claim": _record_outcome(attempt),
        "mark_claim_unknown": _record_outcome(attempt),
        "release_claim": _release_claim(attempt, guards),
        "give_up_claim": _give_up_claim(attempt),
        "settle_claim": _settle_claim(attempt, guards),
        "apply_claim": _apply_claim(attempt, guards),
        "apply_settlement": _apply_settlement(attempt),
        "crash_host": Step(
            lambda s: attempt.is_in(s, CLAIMING, CONFIRMED, DISPATCHED, FINISHING, RELEASING),
            lambda s: {attempt.name("phase"): z3.IntVal(CRASHED)},
        ),
    }


def _write_claim(attempt: Attempt, guards: Guards) -> Step:
    def is_claimable(state: State) -> z3.BoolRef:
        if not guards.claim_released:
            return z3.BoolVal(True)
        return z3.Or(state["state"] == ABSENT, state["state"] == RELEASED)

    def update(state: State) -> Mapping[str, Any]:
        # The first write requires an absent row; after a conflict, later ones use the row read.
        inserts = z3.Or(attempt.is_in(state, IDLE), state["version"] == 0)
        version = attempt.get(state, "claim_version")
        return {
            attempt.name("phase"): z3.IntVal(CLAIMING),
            attempt.name("inserts"): z3.Or(attempt.get(state, "inserts"), inserts),
            attempt.name("claim_version"): z3.If(inserts, version, state["version"]),
        }

    return Step(
        lambda s: z3.Or(
            attempt.is_in(s, IDLE), z3.And(attempt.is_in(s, CLAIMING), is_claimable(s))
        ),
        update,
    )


def _apply_claim(attempt: Attempt, guards: Guards) -> Step:
    def guard(state: State) -> z3.BoolRef:
        if guards.check_version:
            return attempt.may_claim_take_effect(state)
        was_sent = z3.Or(attempt.get(state, "inserts"), attempt.get(state, "claim_version") != 0)
        return z3.And(was_sent, z3.Not(attempt.owns_row(state)))

    return Step(
        guard,
        lambda s: {
            "owner": z3.IntVal(attempt.number),
            "state": z3.IntVal(CLAIMED),
            "version": s["next_version"],
            "next_version": s["next_version"] + 1,
        },
    )


def _confirm_claim(attempt: Attempt, guards: Guards) -> Step:
    def guard(state: State) -> z3.BoolRef:
        is_own = attempt.owns_row(state) if guards.confirm_attempt else z3.BoolVal(True)
        return z3.And(attempt.is_in(state, CLAIMING), state["state"] == CLAIMED, is_own)

    return Step(guard, lambda s: {attempt.name("phase"): z3.IntVal(CONFIRMED)})


def _record_dispatch(attempt: Attempt, guards: Guards) -> Step:
    phases = (CONFIRMED,) if guards.dispatch_confirmed else (CONFIRMED, CLAIMING, RELEASING)
    return Step(
        lambda s: attempt.is_in(s, *phases),
        lambda s: {
            attempt.name("phase"): z3.IntVal(DISPATCHED),
            attempt.name("ran"): z3.BoolVal(True),
        },
    )


def _record_outcome(attempt: Attempt) -> Step:
    return Step(
        lambda s: attempt.is_in(s, DISPATCHED),
        lambda s: {attempt.name("phase"): z3.IntVal(FINISHING)},
    )


def _release_claim(attempt: Attempt, guards: Guards) -> Step:
    phases = (CONFIRMED,) if guards.release_undispatched else (CONFIRMED, DISPATCHED)
    return Step(lambda s: attempt.is_in(s, *phases), _report_not_run(attempt))


def _give_up_claim(attempt: Attempt) -> Step:
    return Step(lambda s: attempt.is_in(s, CLAIMING), _report_not_run(attempt))


def _report_not_run(attempt: Attempt) -> Update:
    return lambda s: {
        attempt.name("phase"): z3.IntVal(RELEASING),
        attempt.name("reported_not_run"): z3.BoolVal(True),
    }


def _settle_claim(attempt: Attempt, guards: Guards) -> Step:
    """Read the row and send the write that is still needed, or mark the attempt settled."""

    def choose_write(state: State) -> z3.ArithRef:
        is_owner, is_finishing = attempt.owns_row(state), attempt.is_in(state, FINISHING)
        is_own_claim = z3.And(is_owner, state["state"] == CLAIMED)
        inserts = z3.And(attempt.get(state, "inserts"), state["state"] == ABSENT)
        can_overwrite = z3.And(
            z3.Not(is_owner), attempt.may_claim_take_effect(state), z3.Not(inserts)
        )
        fence = z3.And(inserts, z3.BoolVal(guards.fence_absent))
        renewal = z3.And(can_overwrite, z3.BoolVal(guards.renew_released))
        release = z3.If(
            z3.Or(is_own_claim, fence), WRITE_RELEASE, z3.If(renewal, WRITE_RENEWAL, NO_WRITE)
        )
        return z3.If(is_finishing, z3.If(is_own_claim, WRITE_OUTCOME, NO_WRITE), release)

    def update(state: State) -> Mapping[str, Any]:
        write = choose_write(state)
        is_settled = write == NO_WRITE
        phase = attempt.get(state, "phase")
        return {
            attempt.name("phase"): z3.If(is_settled, SETTLED, phase),
            attempt.name("write"): z3.If(is_settled, attempt.get(state, "write"), write),
            attempt.name("write_version"): z3.If(
                is_settled, attempt.get(state, "write_version"), state["version"]
            ),
        }

    return Step(lambda s: attempt.is_in(s, FINISHING, RELEASING), update)


def _apply_settlement(attempt: Attempt) -> Step:
    def update(state: State) -> Mapping[str, Any]:
        write = attempt.get(state, "write")
        is_renewal = write == WRITE_RENEWAL
        return {
            "owner": z3.If(is_renewal, state["owner"], attempt.number),
            "state": z3.If(write == WRITE_OUTCOME, state["outcome"], RELEASED),
            "version": state["next_version"],
            "next_version": state["next_version"] + 1,
        }

    return Step(
        lambda s: z3.And(
            attempt.get(s, "write") != NO_WRITE,
            attempt.get(s, "write_version") == s["version"],
            z3.Or(s["outcome"] == DONE, s["outcome"] == UNKNOWN),
        ),
        update,
        inputs={"outcome": z3.IntSort()},
    )
