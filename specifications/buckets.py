"""Model debits between buckets: one bucket and one debit from it, in any interval.

The lease that a host needs to spend from its buckets at all is modelled in ``leases``.
"""

from typing import Any

import z3

from specifications.search import State, Step, TransitionSystem

IDLE, ASKED, ANSWERED = 0, 1, 2

RATE = 3
FLIGHT = 1
BURST = 10
DEPTH = BURST - RATE * FLIGHT


def create_debit_system() -> TransitionSystem:
    """Return the system of one bucket, local spends, and one debit at a time by another host.

    ``admitted`` counts from ``begun``, when an interval starts to be watched. A debit that was not
    used is given back, at any later time; ``room`` is the least room in the bucket since then.
    """
    number, truth = z3.IntSort(), z3.BoolSort()
    variables = {
        "now": number,
        "level": number,
        "debit": number,
        "amount": number,
        "sent": number,
        "deducted": number,
        "room": number,
        "is_watching": truth,
        "begun": number,
        "admitted": number,
    }
    return TransitionSystem(variables, _start_debit, _create_debit_steps(), is_within_burst)


def is_within_burst(s: State) -> z3.BoolRef:
    """Return whether the tokens admitted in the interval are within rate and burst."""
    return z3.Implies(s["is_watching"], s["admitted"] <= BURST + RATE * (s["now"] - s["begun"]))


def _start_debit(s: State) -> z3.BoolRef:
    return z3.And(
        s["now"] == 0,
        s["level"] == DEPTH,
        s["debit"] == IDLE,
        z3.Not(s["is_watching"]),
        s["admitted"] == 0,
    )


def _create_debit_steps() -> dict[str, Step]:
    number = z3.IntSort()
    return {
        "refill": Step(lambda s: s["passed"] > 0, _refill, {"passed": number}),
        "watch": Step(
            lambda s: z3.Not(s["is_watching"]),
            lambda s: {
                "is_watching": z3.BoolVal(True),
                "begun": s["now"],
                "admitted": z3.IntVal(0),
            },
        ),
        "spend": Step(
            can_spend,
            lambda s: {"level": s["level"] - s["tokens"], "admitted": s["admitted"] + s["tokens"]},
            {"tokens": number},
        ),
        "collect": Step(
            lambda s: s["debit"] == IDLE, lambda s: {"debit": z3.IntVal(ASKED), "sent": s["now"]}
        ),
        "take": Step(
            lambda s: z3.And(s["debit"] == ASKED, can_spend(s)),
            lambda s: {
                "debit": z3.IntVal(ANSWERED),
                "level": s["level"] - s["tokens"],
                "amount": s["tokens"],
                "deducted": s["now"],
                "room": DEPTH - s["level"] + s["tokens"],
            },
            {"tokens": number},
        ),
        "admit": Step(
            may_admit,
            lambda s: {"debit": z3.IntVal(IDLE), "admitted": s["admitted"] + s["amount"]},
        ),
        "give_back": Step(
            lambda s: s["debit"] == ANSWERED,
            lambda s: {
                "debit": z3.IntVal(IDLE),
                "level": s["level"] + _smaller(s["amount"], s["room"]),
            },
        ),
        "lose": Step(lambda s: s["debit"] != IDLE, lambda s: {"debit": z3.IntVal(IDLE)}),
    }


def can_spend(s: State) -> z3.BoolRef:
    """Return whether the bucket has the tokens."""
    return z3.And(s["tokens"] > 0, s["tokens"] <= s["level"])


def may_admit(s: State) -> z3.BoolRef:
    """Return whether an answered debit still counts."""
    return z3.And(s["debit"] == ANSWERED, s["now"] <= s["sent"] + FLIGHT)


def _refill(s: State) -> dict[str, Any]:
    level = _smaller(DEPTH, s["level"] + RATE * s["passed"])
    return {
        "now": s["now"] + s["passed"],
        "level": level,
        "room": z3.If(s["debit"] == ANSWERED, _smaller(s["room"], DEPTH - level), s["room"]),
    }


def give_back_all(s: State) -> dict[str, Any]:
    """Return the effect of giving back without regard to what ran over the rim: a fault."""
    return {"debit": z3.IntVal(IDLE), "level": _smaller(DEPTH, s["level"] + s["amount"])}


def _smaller(one: Any, other: Any) -> z3.ArithRef:
    return z3.If(one < other, one, other)


def strengthen_debit(s: State) -> z3.BoolRef:
    """Return an invariant that every step keeps, and from which ``is_within_burst`` follows."""
    is_out = s["debit"] == ANSWERED
    usable = z3.If(may_admit(s), s["amount"], 0)
    returnable = z3.If(is_out, _smaller(s["amount"], s["room"]), 0)
    outside = z3.If(usable > returnable, usable, returnable)
    due = BURST + RATE * (s["now"] - s["begun"])
    return z3.And(
        is_within_burst(s),
        s["level"] >= 0,
        s["level"] <= DEPTH,
        s["admitted"] >= 0,
        z3.Implies(s["debit"] != IDLE, s["sent"] <= s["now"]),
        z3.Implies(
            is_out,
            z3.And(
                s["amount"] > 0,
                s["room"] >= 0,
                s["room"] <= DEPTH - s["level"],
                s["deducted"] >= s["sent"],
                s["deducted"] <= s["now"],
                s["level"] + s["amount"] <= DEPTH + RATE * (s["now"] - s["deducted"]),
            ),
        ),
        z3.Implies(
            s["is_watching"],
            z3.And(s["begun"] <= s["now"], s["admitted"] + s["level"] + outside <= due),
        ),
    )
