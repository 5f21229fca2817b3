"""Model the lease on a host's shares and how they pass on; see ``lease_states``."""

from typing import Any

import z3

from specifications.lease_states import (
    ANSWERED,
    ASKED,
    IDLE,
    LEASE,
    LOST,
    OF_A,
    OF_C,
    OPEN,
    REGRANT_AFTER,
    is_safe,
    is_start,
)
from specifications.search import State, Step, TransitionSystem


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
    return TransitionSystem(variables, is_start, _create_lease_steps(), is_safe)


def _create_lease_steps() -> dict[str, Step]:
    return {
        **_create_time_steps(),
        **_create_holder_steps(),
        **_create_lessor_steps(),
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
        "renew_by_lessor": Step(may_renew_by_lessor, _renew_by_lessor),
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


def may_renew_by_lessor(s: State) -> z3.BoolRef:
    """Return whether a promise extends the lease of incarnation 1, which must still run."""
    return z3.And(s["asked"] == ANSWERED, s["asked_granted"], s["now"] < s["lease_1"])


def _renew_by_lessor(s: State) -> dict[str, Any]:
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


def _create_lessor_steps() -> dict[str, Step]:
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
    """Return whether the lessor promises to leave the share to incarnation 1."""
    return z3.And(z3.Not(s["watched"]), s["guarded"] == 1)


def may_regrant(s: State) -> z3.BoolRef:
    """Return whether the lessor, after a read, sends the write that passes the share on."""
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
