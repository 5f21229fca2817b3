"""Model the lease on a host's shares, their passing on, and debits between buckets.

The first system has one share of host A, whose incarnations are 1 and 2, its guardian C, and
host D, which may go on with a host that C has marked; ``has_c`` stands for both heirs. Steps are
named after the functions of ``turmericproxy.rates`` that take them. Reads, promises and writes take
effect and are answered at any later time or never; a process that takes no step is paused; a cut is
a message that is never answered. The guardian hears of incarnation 2 as it takes over; should that
message be lost, the code relies on its pause limit, which the model leaves out.

The second system has one bucket and one debit from it, with an interval that begins at any time.
"""

from typing import Any

import z3

from specifications.search import State, Step, TransitionSystem

LEASE = 2
REGRANT_AFTER = 2 * LEASE

OPEN, LOST = 0, 1
OF_A, OF_C = 0, 1
IDLE, ASKED, ANSWERED = 0, 1, 2

RATE = 3
FLIGHT = 1
BURST = 10
DEPTH = BURST - RATE * FLIGHT


def count_spenders(s: State) -> z3.ArithRef:
    """Return how many processes may spend the share now."""
    return (
        z3.If(can_first_spend(s), 1, 0) + z3.If(can_second_spend(s), 1, 0) + z3.If(s["has_c"], 1, 0)
    )


def can_first_spend(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 may spend."""
    return z3.And(s["has_1"], s["now"] < s["lease_1"])


def can_second_spend(s: State) -> z3.BoolRef:
    """Return whether incarnation 2 may spend."""
    return z3.And(s["has_2"], s["now"] < s["lease_2"])


def is_safe(s: State) -> z3.BoolRef:
    """Return whether the rights to spend add up to no more than the share."""
    return count_spenders(s) <= 1


def create_lease_system() -> TransitionSystem:
    """Return the system of leases, promises, marks and regrants."""
    number, truth = z3.IntSort(), z3.BoolSort()
    variables = {
        "now": number,
        "version": number,
        "standing": number,
        "incarnation": number,
        "holder": number,
        "lease_1": number,
        "has_1": truth,
        "lease_2": number,
        "has_2": truth,
        "ready_2": number,
        "guarded": number,
        "read": number,
        "read_sent": number,
        "read_open": truth,
        "asked": number,
        "asked_sent": number,
        "asked_granted": truth,
        "watched": truth,
        "watch_version": number,
        "watch_since": number,
        "mark_sent": truth,
        "mark_version": number,
        "regrant_sent": truth,
        "regrant_version": number,
        "has_c": truth,
        "marked_by_d": truth,
        "watch_d_version": number,
        "watch_d_since": number,
        "regrant_d_sent": truth,
        "regrant_d_version": number,
    }
    return TransitionSystem(variables, _start_lease, _create_lease_steps(), is_safe)


def _start_lease(s: State) -> z3.BoolRef:
    return z3.And(
        s["now"] == 0,
        s["version"] == 1,
        s["standing"] == OPEN,
        s["incarnation"] == 1,
        s["holder"] == OF_A,
        s["lease_1"] == LEASE,
        s["has_1"],
        s["lease_2"] == 0,
        z3.Not(s["has_2"]),
        s["ready_2"] == 0,
        s["guarded"] == 1,
        s["read"] == IDLE,
        s["asked"] == IDLE,
        z3.Not(s["watched"]),
        z3.Not(s["mark_sent"]),
        z3.Not(s["regrant_sent"]),
        z3.Not(s["has_c"]),
        s["watch_version"] == 0,
        s["mark_version"] == 0,
        z3.Not(s["marked_by_d"]),
        s["watch_d_version"] == 0,
        z3.Not(s["regrant_d_sent"]),
    )


def _create_lease_steps() -> dict[str, Step]:
    return {
        **_create_time_steps(),
        **_create_holder_steps(),
        **_create_guardian_steps(),
        **_create_second_marker_steps(),
    }


def _create_time_steps() -> dict[str, Step]:
    return {
        "wait": Step(
            lambda s: s["passed"] > 0,
            lambda s: {"now": s["now"] + s["passed"]},
            {"passed": z3.IntSort()},
        )
    }


def _create_holder_steps() -> dict[str, Step]:
    return {
        "read_host": Step(
            lambda s: s["read"] == IDLE, lambda s: {"read": ASKED, "read_sent": s["now"]}
        ),
        "answer_read": Step(
            lambda s: s["read"] == ASKED,
            lambda s: {
                "read": ANSWERED,
                "read_open": z3.And(s["standing"] == OPEN, s["incarnation"] == 1),
            },
        ),
        "renew_by_platform": Step(may_renew_by_platform, _renew_by_platform),
        "ask_promise": Step(
            lambda s: s["asked"] == IDLE, lambda s: {"asked": ASKED, "asked_sent": s["now"]}
        ),
        "renew_by_guardian": Step(may_renew_by_guardian, _renew_by_guardian),
        "reopen": Step(
            lambda s: z3.And(s["standing"] == LOST, s["incarnation"] == 1),
            lambda s: {
                "standing": z3.IntVal(OPEN),
                "version": s["version"] + 1,
                "lease_1": z3.IntVal(0),
                "has_1": z3.BoolVal(False),
            },
        ),
        "take_over": Step(
            lambda s: s["incarnation"] == 1,
            lambda s: {
                "standing": z3.IntVal(OPEN),
                "version": s["version"] + 1,
                "incarnation": z3.IntVal(2),
                "guarded": z3.IntVal(2),
                "ready_2": s["now"] + LEASE,
            },
        ),
        "begin": Step(may_begin, _renew_second),
        "close": Step(
            lambda s: s["has_1"],
            lambda s: {"lease_1": z3.IntVal(0), "has_1": z3.BoolVal(False)},
        ),
    }


def may_renew_by_platform(s: State) -> z3.BoolRef:
    """Return whether an answered read extends the lease of incarnation 1."""
    return z3.And(s["read"] == ANSWERED, s["read_open"])


def _renew_by_platform(s: State) -> dict[str, Any]:
    is_held = s["now"] < s["lease_1"]
    return {
        "read": z3.IntVal(IDLE),
        "lease_1": _larger(s["lease_1"], s["read_sent"] + LEASE),
        # A lease that has ended starts with what the ledger says now.
        "has_1": z3.If(is_held, s["has_1"], s["holder"] == OF_A),
    }


def may_renew_by_guardian(s: State) -> z3.BoolRef:
    """Return whether a promise extends the lease of incarnation 1, which must still run."""
    return z3.And(s["asked"] == ANSWERED, s["asked_granted"], s["now"] < s["lease_1"])


def _renew_by_guardian(s: State) -> dict[str, Any]:
    lease = _larger(s["lease_1"], s["asked_sent"] + LEASE)
    return {"asked": z3.IntVal(IDLE), "lease_1": lease}


def may_begin(s: State) -> z3.BoolRef:
    """Return whether incarnation 2 may spend: the lease of the earlier one has ended."""
    return z3.And(s["incarnation"] == 2, s["standing"] == OPEN, s["now"] >= s["ready_2"])


def _renew_second(s: State) -> dict[str, Any]:
    is_held = s["now"] < s["lease_2"]
    return {
        "lease_2": s["now"] + LEASE,
        "has_2": z3.If(is_held, s["has_2"], s["holder"] == OF_A),
    }


def _create_guardian_steps() -> dict[str, Step]:
    return {
        "promise": Step(
            lambda s: s["asked"] == ASKED,
            lambda s: {"asked": z3.IntVal(ANSWERED), "asked_granted": is_promised(s)},
        ),
        "mark_lost": Step(
            lambda s: z3.And(s["standing"] == OPEN, z3.Not(s["mark_sent"])),
            lambda s: {
                "watched": z3.BoolVal(True),
                "watch_version": z3.IntVal(0),
                "mark_sent": z3.BoolVal(True),
                "mark_version": s["version"],
            },
        ),
        "apply_mark": Step(
            lambda s: s["mark_sent"],
            lambda s: {
                "mark_sent": z3.BoolVal(False),
                "standing": z3.If(
                    s["mark_version"] == s["version"], z3.IntVal(LOST), s["standing"]
                ),
                "version": z3.If(s["mark_version"] == s["version"], s["version"] + 1, s["version"]),
            },
        ),
        "set_watch": Step(
            lambda s: z3.And(
                s["standing"] == LOST,
                z3.Not(s["marked_by_d"]),
                s["watch_version"] != s["version"],
            ),
            lambda s: {
                "watched": z3.BoolVal(True),
                "watch_version": s["version"],
                "watch_since": s["now"],
            },
        ),
        "forget": Step(
            lambda s: z3.And(
                s["watched"], s["standing"] == OPEN, s["version"] != s["mark_version"]
            ),
            lambda s: {"watched": z3.BoolVal(False), "watch_version": z3.IntVal(0)},
        ),
        "may_regrant": Step(
            may_regrant,
            lambda s: {
                "regrant_sent": z3.BoolVal(True),
                "regrant_version": s["watch_version"],
            },
        ),
        "regrant": Step(may_apply_regrant, _apply_regrant),
    }


def _create_second_marker_steps() -> dict[str, Step]:
    """Return the steps of host D, which goes on with a marked host in place of C."""
    return {
        "mark_again": Step(
            lambda s: s["standing"] == LOST,
            lambda s: {"version": s["version"] + 1, "marked_by_d": z3.BoolVal(True)},
        ),
        "set_watch_again": Step(
            lambda s: z3.And(
                s["standing"] == LOST, s["marked_by_d"], s["watch_d_version"] != s["version"]
            ),
            lambda s: {"watch_d_version": s["version"], "watch_d_since": s["now"]},
        ),
        "may_regrant_again": Step(
            lambda s: z3.And(
                z3.Not(s["regrant_d_sent"]),
                s["standing"] == LOST,
                s["watch_d_version"] == s["version"],
                s["now"] >= s["watch_d_since"] + REGRANT_AFTER,
            ),
            lambda s: {
                "regrant_d_sent": z3.BoolVal(True),
                "regrant_d_version": s["watch_d_version"],
            },
        ),
        "regrant_again": Step(
            lambda s: z3.And(
                s["regrant_d_sent"], s["holder"] == OF_A, s["version"] == s["regrant_d_version"]
            ),
            lambda s: {
                "regrant_d_sent": z3.BoolVal(False),
                "holder": z3.IntVal(OF_C),
                "has_c": z3.BoolVal(True),
            },
        ),
    }


def is_promised(s: State) -> z3.BoolRef:
    """Return whether the guardian promises to leave the share to incarnation 1."""
    return z3.And(z3.Not(s["watched"]), s["guarded"] == 1)


def may_regrant(s: State) -> z3.BoolRef:
    """Return whether the guardian, after a read, sends the write that passes the share on."""
    return z3.And(
        s["watched"],
        z3.Not(s["regrant_sent"]),
        s["standing"] == LOST,
        s["watch_version"] == s["version"],
        s["now"] >= s["watch_since"] + REGRANT_AFTER,
    )


def may_apply_regrant(s: State) -> z3.BoolRef:
    """Return whether the platform lets the write take effect."""
    return z3.And(s["regrant_sent"], s["holder"] == OF_A, s["version"] == s["regrant_version"])


def _apply_regrant(_: State) -> dict[str, Any]:
    return {
        "regrant_sent": z3.BoolVal(False),
        "holder": z3.IntVal(OF_C),
        "has_c": z3.BoolVal(True),
    }


def _larger(one: z3.ArithRef, other: z3.ArithRef) -> z3.ArithRef:
    return z3.If(one > other, one, other)


def strengthen_lease(s: State) -> z3.BoolRef:
    """Return an invariant that every step keeps, and from which ``is_safe`` follows."""
    now, version = s["now"], s["version"]
    is_marked = z3.And(s["standing"] == LOST, s["watch_version"] == version)
    marked_for = now - s["watch_since"]
    is_marked_by_d = z3.And(s["standing"] == LOST, s["watch_d_version"] == version)
    return z3.And(
        is_safe(s),
        s["has_c"] == (s["holder"] == OF_C),
        z3.Or(s["standing"] == OPEN, s["standing"] == LOST),
        z3.Or(s["incarnation"] == 1, s["incarnation"] == 2),
        now >= 0,
        s["ready_2"] >= 0,
        version >= 1,
        s["watch_version"] <= version,
        s["mark_version"] <= version,
        z3.Implies(s["watch_version"] > 0, s["watch_since"] >= 0),
        z3.Implies(s["regrant_sent"], s["regrant_version"] <= version),
        # No message was sent later than now, and no lease outlasts what it came from.
        z3.Implies(s["read"] != IDLE, s["read_sent"] <= now),
        z3.Implies(s["asked"] != IDLE, s["asked_sent"] <= now),
        s["lease_1"] <= now + LEASE,
        s["lease_2"] <= now + LEASE,
        z3.Or(s["holder"] == OF_A, s["holder"] == OF_C),
        z3.Implies(z3.And(s["mark_sent"], s["mark_version"] == version), s["watched"]),
        # What the share's new holder has, no lease covers.
        z3.Implies(s["has_c"], z3.And(_has_no_share_1(s), _has_no_share_2(s))),
        # While the row is marked and watched, leases end within a lease of the mark.
        z3.Implies(s["standing"] == LOST, s["watched"]),
        z3.Implies(s["watch_version"] > 0, s["watched"]),
        z3.Implies(s["watch_version"] == version, s["standing"] == LOST),
        z3.Implies(is_marked, z3.And(marked_for >= 0, s["watch_version"] > 0)),
        z3.Implies(is_marked, _end_by(s, s["watch_since"] + LEASE)),
        z3.Implies(s["standing"] == LOST, _end_by(s, now + LEASE)),
        z3.Implies(
            z3.And(s["regrant_sent"], s["regrant_version"] == version),
            z3.And(is_marked, marked_for >= REGRANT_AFTER),
        ),
        # The same holds for a row that D has marked again.
        s["watch_d_version"] <= version,
        z3.Implies(s["watch_d_version"] > 0, s["watch_d_since"] >= 0),
        z3.Implies(s["watch_d_version"] == version, s["standing"] == LOST),
        z3.Implies(is_marked_by_d, z3.And(now >= s["watch_d_since"], s["watch_d_version"] > 0)),
        z3.Implies(is_marked_by_d, _end_by(s, s["watch_d_since"] + LEASE)),
        z3.Implies(s["regrant_d_sent"], s["regrant_d_version"] <= version),
        z3.Implies(
            z3.And(s["regrant_d_sent"], s["regrant_d_version"] == version),
            z3.And(is_marked_by_d, now >= s["watch_d_since"] + REGRANT_AFTER),
        ),
        # A new incarnation waits for the lease of the earlier one.
        z3.Implies(s["incarnation"] == 2, z3.And(s["guarded"] == 2, _end_by_1(s, s["ready_2"]))),
        z3.Implies(
            s["incarnation"] == 1,
            z3.And(s["guarded"] == 1, z3.Not(s["has_2"]), s["lease_2"] == 0),
        ),
        z3.Implies(s["has_2"], now >= s["ready_2"]),
        z3.Implies(s["lease_2"] > 0, s["lease_2"] >= s["ready_2"]),
    )


def _has_no_share_1(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 can't come to spend the share without a new read."""
    return z3.Or(z3.Not(s["has_1"]), s["lease_1"] <= s["now"])


def _has_no_share_2(s: State) -> z3.BoolRef:
    return z3.Or(z3.Not(s["has_2"]), s["lease_2"] <= s["now"])


def _end_by_1(s: State, end: z3.ArithRef) -> z3.BoolRef:
    """Return whether lease 1 ends by then, also by answers that are still under way."""
    return z3.And(
        s["lease_1"] <= end,
        z3.Implies(z3.And(s["read"] == ANSWERED, s["read_open"]), s["read_sent"] + LEASE <= end),
        z3.Implies(
            z3.And(s["asked"] == ANSWERED, s["asked_granted"]), s["asked_sent"] + LEASE <= end
        ),
    )


def _end_by(s: State, end: z3.ArithRef) -> z3.BoolRef:
    return z3.And(_end_by_1(s, end), s["lease_2"] <= end)


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
