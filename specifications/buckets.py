"""Model debits between token buckets: one bucket and one debit by another host.

The lease that a host must hold to spend from its buckets is modelled in ``leases``.
"""

from typing import Any

import z3

from specifications.search import State, Step, TransitionSystem

IDLE, REQUESTED, ANSWERED = 0, 1, 2

RATE = 3
MAX_FLIGHT_TIME = 1
BURST = 10
CAPACITY = BURST - RATE * MAX_FLIGHT_TIME


def create_debit_system() -> TransitionSystem:
    """Return the system of one bucket, local spends, and one debit at a time by another host.

    ``admitted`` counts the tokens admitted since ``interval_start``. An unused debit may be given
    back at any later time; ``min_free_space`` is the least free space in the bucket since the
    tokens were deducted.
    """
    number, truth = z3.IntSort(), z3.BoolSort()
    variables = {
        "now": number,
        "level": number,
        "debit": number,
        "amount": number,
        "sent": number,
        "deducted": number,
        "min_free_space": number,
        "is_measuring": truth,
        "interval_start": number,
        "admitted": number,
    }
    return TransitionSystem(variables, _is_initial, _create_debit_steps(), is_within_burst)


def is_within_burst(s: State) -> z3.BoolRef:
    """Return whether the tokens admitted in the interval are within rate and burst."""
    return z3.Implies(
        s["is_measuring"], s["admitted"] <= BURST + RATE * (s["now"] - s["interval_start"])
    )


def _is_initial(s: State) -> z3.BoolRef:
    return z3.And(
        s["now"] == 0,
        s["level"] == CAPACITY,
        s["debit"] == IDLE,
        z3.Not(s["is_measuring"]),
        s["admitted"] == 0,
    )


def _create_debit_steps() -> dict[str, Step]:
    number = z3.IntSort()
    return {
        "refill": Step(lambda s: s["passed"] > 0, _refill, {"passed": number}),
        "start_interval": Step(
            lambda s: z3.Not(s["is_measuring"]),
            lambda s: {
                "is_measuring": z3.BoolVal(True),
                "interval_start": s["now"],
                "admitted": z3.IntVal(0),
            },
        ),
        "spend": Step(
            can_spend,
            lambda s: {"level": s["level"] - s["tokens"], "admitted": s["admitted"] + s["tokens"]},
            {"tokens": number},
        ),
        "collect": Step(
            lambda s: s["debit"] == IDLE,
            lambda s: {"debit": z3.IntVal(REQUESTED), "sent": s["now"]},
        ),
        "take": Step(
            lambda s: z3.And(s["debit"] == REQUESTED, can_spend(s)),
            lambda s: {
                "debit": z3.IntVal(ANSWERED),
                "level": s["level"] - s["tokens"],
                "amount": s["tokens"],
                "deducted": s["now"],
                "min_free_space": CAPACITY - s["level"] + s["tokens"],
            },
            {"tokens": number},
        ),
        "admit": Step(
            is_debit_usable,
            lambda s: {"debit": z3.IntVal(IDLE), "admitted": s["admitted"] + s["amount"]},
        ),
        "give_back": Step(
            lambda s: s["debit"] == ANSWERED,
            lambda s: {
                "debit": z3.IntVal(IDLE),
                "level": s["level"] + _minimum(s["amount"], s["min_free_space"]),
            },
        ),
        "lose": Step(lambda s: s["debit"] != IDLE, lambda s: {"debit": z3.IntVal(IDLE)}),
    }


def can_spend(s: State) -> z3.BoolRef:
    """Return whether the bucket has the tokens."""
    return z3.And(s["tokens"] > 0, s["tokens"] <= s["level"])


def is_debit_usable(s: State) -> z3.BoolRef:
    """Return whether the debit was answered in time to be used."""
    return z3.And(s["debit"] == ANSWERED, s["now"] <= s["sent"] + MAX_FLIGHT_TIME)


def _refill(s: State) -> dict[str, Any]:
    level = _minimum(CAPACITY, s["level"] + RATE * s["passed"])
    return {
        "now": s["now"] + s["passed"],
        "level": level,
        "min_free_space": z3.If(
            s["debit"] == ANSWERED,
            _minimum(s["min_free_space"], CAPACITY - level),
            s["min_free_space"],
        ),
    }


def give_back_full_amount(s: State) -> dict[str, Any]:
    """Return the update of a faulty ``give_back`` that ignores tokens lost to overflow."""
    return {"debit": z3.IntVal(IDLE), "level": _minimum(CAPACITY, s["level"] + s["amount"])}


def _minimum(one: Any, other: Any) -> z3.ArithRef:
    return z3.If(one < other, one, other)


def is_debit_consistent(s: State) -> z3.BoolRef:
    """Return an inductive invariant that implies ``is_within_burst``."""
    is_answered = s["debit"] == ANSWERED
    usable = z3.If(is_debit_usable(s), s["amount"], 0)
    returnable = z3.If(is_answered, _minimum(s["amount"], s["min_free_space"]), 0)
    outstanding = z3.If(usable > returnable, usable, returnable)
    allowance = BURST + RATE * (s["now"] - s["interval_start"])
    return z3.And(
        is_within_burst(s),
        s["level"] >= 0,
        s["level"] <= CAPACITY,
        s["admitted"] >= 0,
        z3.Implies(s["debit"] != IDLE, s["sent"] <= s["now"]),
        z3.Implies(
            is_answered,
            z3.And(
                s["amount"] > 0,
                s["min_free_space"] >= 0,
                s["min_free_space"] <= CAPACITY - s["level"],
                s["deducted"] >= s["sent"],
                s["deducted"] <= s["now"],
                s["level"] + s["amount"] <= CAPACITY + RATE * (s["now"] - s["deducted"]),
            ),
        ),
        z3.Implies(
            s["is_measuring"],
            z3.And(
                s["interval_start"] <= s["now"],
                s["admitted"] + s["level"] + outstanding <= allowance,
            ),
        ),
    )
