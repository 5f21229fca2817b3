"""Model the lease on a host's shares and their regrant to another host; see ``lease_states``."""

from typing import Any

import z3

from specifications.lease_states import (
    ANSWERED,
    HELD_BY_A,
    HELD_BY_C,
    IDLE,
    LEASE,
    LOST,
    OPEN,
    REGRANT_AFTER,
    REQUESTED,
    is_initial,
    is_safe,
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
        "lessor_incarnation": number,
        "read": number,
        "read_sent_at": number,
        "read_open": truth,
        "promise": number,
        "promise_requested_at": number,
        "promise_granted": truth,
        "watched": truth,
        "watch_version": number,
        "watch_started_at": number,
        "mark_sent": truth,
        "mark_version": number,
        "regrant_sent": truth,
        "regrant_version": number,
        "has_c": truth,
        "marked_by_d": truth,
        "d_watch_version": number,
        "d_watch_started_at": number,
        "d_regrant_sent": truth,
        "d_regrant_version": number,
    }
    return TransitionSystem(variables, is_initial, _create_lease_steps(), is_safe)


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
            lambda s: s["read"] == IDLE, lambda s: {"read": REQUESTED, "read_sent_at": s["now"]}
        ),
        "answer_read": Step(
            lambda s: s["read"] == REQUESTED,
            lambda s: {
                "read": ANSWERED,
                "read_open": z3.And(s["standing"] == OPEN, s["incarnation"] == 1),
            },
        ),
        "renew_by_platform": Step(may_renew_by_platform, _renew_by_platform),
        "ask_promise": Step(
            lambda s: s["promise"] == IDLE,
            lambda s: {"promise": REQUESTED, "promise_requested_at": s["now"]},
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
                "lessor_incarnation": z3.IntVal(2),
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
    """Return whether the answer to a read renews the lease of incarnation 1."""
    return z3.And(s["read"] == ANSWERED, s["read_open"])


def _renew_by_platform(s: State) -> dict[str, Any]:
    is_lease_valid = s["now"] < s["lease_1"]
    return {
        "read": z3.IntVal(IDLE),
        "lease_1": _maximum(s["lease_1"], s["read_sent_at"] + LEASE),
        # After the lease has expired, the ledger decides whether A still has the share.
        "has_1": z3.If(is_lease_valid, s["has_1"], s["holder"] == HELD_BY_A),
    }


def may_renew_by_lessor(s: State) -> z3.BoolRef:
    """Return whether a promise renews the lease of incarnation 1, which must not have expired."""
    return z3.And(s["promise"] == ANSWERED, s["promise_granted"], s["now"] < s["lease_1"])


def _renew_by_lessor(s: State) -> dict[str, Any]:
    lease = _maximum(s["lease_1"], s["promise_requested_at"] + LEASE)
    return {"promise": z3.IntVal(IDLE), "lease_1": lease}


def may_begin(s: State) -> z3.BoolRef:
    """Return whether incarnation 2 may spend, as the lease of incarnation 1 has expired."""
    return z3.And(s["incarnation"] == 2, s["standing"] == OPEN, s["now"] >= s["ready_2"])


def _renew_second(s: State) -> dict[str, Any]:
    is_lease_valid = s["now"] < s["lease_2"]
    return {
        "lease_2": s["now"] + LEASE,
        "has_2": z3.If(is_lease_valid, s["has_2"], s["holder"] == HELD_BY_A),
    }


def _create_lessor_steps() -> dict[str, Step]:
    return {
        "promise": Step(
            lambda s: s["promise"] == REQUESTED,
            lambda s: {"promise": z3.IntVal(ANSWERED), "promise_granted": is_promise_granted(s)},
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
                "watch_started_at": s["now"],
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
    """Return the steps of host D, which takes over the regrant of a marked host from C."""
    return {
        "mark_again": Step(
            lambda s: s["standing"] == LOST,
            lambda s: {"version": s["version"] + 1, "marked_by_d": z3.BoolVal(True)},
        ),
        "set_watch_again": Step(
            lambda s: z3.And(
                s["standing"] == LOST, s["marked_by_d"], s["d_watch_version"] != s["version"]
            ),
            lambda s: {"d_watch_version": s["version"], "d_watch_started_at": s["now"]},
        ),
        "may_regrant_again": Step(
            lambda s: z3.And(
                z3.Not(s["d_regrant_sent"]),
                s["standing"] == LOST,
                s["d_watch_version"] == s["version"],
                s["now"] >= s["d_watch_started_at"] + REGRANT_AFTER,
            ),
            lambda s: {
                "d_regrant_sent": z3.BoolVal(True),
                "d_regrant_version": s["d_watch_version"],
            },
        ),
        "regrant_again": Step(
            lambda s: z3.And(
                s["d_regrant_sent"],
                s["holder"] == HELD_BY_A,
                s["version"] == s["d_regrant_version"],
            ),
            lambda s: {
                "d_regrant_sent": z3.BoolVal(False),
                "holder": z3.IntVal(HELD_BY_C),
                "has_c": z3.BoolVal(True),
            },
        ),
    }


def is_promise_granted(s: State) -> z3.BoolRef:
    """Return whether the lessor promises not to regrant the share of incarnation 1."""
    return z3.And(z3.Not(s["watched"]), s["lessor_incarnation"] == 1)


def may_regrant(s: State) -> z3.BoolRef:
    """Return whether the lessor, after a read, sends the write that regrants the share."""
    return z3.And(
        s["watched"],
        z3.Not(s["regrant_sent"]),
        s["standing"] == LOST,
        s["watch_version"] == s["version"],
        s["now"] >= s["watch_started_at"] + REGRANT_AFTER,
    )


def may_apply_regrant(s: State) -> z3.BoolRef:
    """Return whether the platform accepts the regrant."""
    return z3.And(s["regrant_sent"], s["holder"] == HELD_BY_A, s["version"] == s["regrant_version"])


def _apply_regrant(_: State) -> dict[str, Any]:
    return {
        "regrant_sent": z3.BoolVal(False),
        "holder": z3.IntVal(HELD_BY_C),
        "has_c": z3.BoolVal(True),
    }


def _maximum(one: z3.ArithRef, other: z3.ArithRef) -> z3.ArithRef:
    return z3.If(one > other, one, other)
