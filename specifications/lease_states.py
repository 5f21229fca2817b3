"""Define the state of one share under a lease, its safety property and its invariant.

The share belongs to host A, whose incarnations are 1 and 2; its lessor is host C. Host D may take
over the regrant of a host that C has marked as lost; ``has_c`` stands for both hosts that may get
the share. Steps are named after the functions of ``turmericproxy.rates`` that they model. Reads,
promises and writes may take effect and be answered at any later time or never. A paused process
takes no step; a message lost to a partition is never answered. The lessor learns of incarnation 2
when it takes over; if that message is lost, the code relies on its pause limit, which the model
leaves out.
"""

import z3

from specifications.search import State

LEASE = 2
REGRANT_AFTER = 2 * LEASE

OPEN, LOST = 0, 1
HELD_BY_A, HELD_BY_C = 0, 1
IDLE, REQUESTED, ANSWERED = 0, 1, 2


def count_spenders(s: State) -> z3.ArithRef:
    """Return how many processes may spend the share now."""
    return (
        z3.If(can_incarnation_1_spend(s), 1, 0)
        + z3.If(can_incarnation_2_spend(s), 1, 0)
        + z3.If(s["has_c"], 1, 0)
    )


def can_incarnation_1_spend(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 may spend."""
    return z3.And(s["has_1"], s["now"] < s["lease_1"])


def can_incarnation_2_spend(s: State) -> z3.BoolRef:
    """Return whether incarnation 2 may spend."""
    return z3.And(s["has_2"], s["now"] < s["lease_2"])


def is_safe(s: State) -> z3.BoolRef:
    """Return whether at most one process may spend the share."""
    return count_spenders(s) <= 1


def is_initial(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 has just been granted the share."""
    return z3.And(
        s["now"] == 0,
        s["version"] == 1,
        s["standing"] == OPEN,
        s["incarnation"] == 1,
        s["holder"] == HELD_BY_A,
        s["lease_1"] == LEASE,
        s["has_1"],
        s["lease_2"] == 0,
        z3.Not(s["has_2"]),
        s["ready_2"] == 0,
        s["lessor_incarnation"] == 1,
        s["read"] == IDLE,
        s["promise"] == IDLE,
        z3.Not(s["watched"]),
        z3.Not(s["mark_sent"]),
        z3.Not(s["regrant_sent"]),
        z3.Not(s["has_c"]),
        s["watch_version"] == 0,
        s["mark_version"] == 0,
        z3.Not(s["marked_by_d"]),
        s["d_watch_version"] == 0,
        z3.Not(s["d_regrant_sent"]),
    )


def is_lease_consistent(s: State) -> z3.BoolRef:
    """Return an inductive invariant that implies ``is_safe``."""
    now, version = s["now"], s["version"]
    is_marked = z3.And(s["standing"] == LOST, s["watch_version"] == version)
    watch_duration = now - s["watch_started_at"]
    is_marked_by_d = z3.And(s["standing"] == LOST, s["d_watch_version"] == version)
    return z3.And(
        is_safe(s),
        s["has_c"] == (s["holder"] == HELD_BY_C),
        z3.Or(s["standing"] == OPEN, s["standing"] == LOST),
        z3.Or(s["incarnation"] == 1, s["incarnation"] == 2),
        now >= 0,
        s["ready_2"] >= 0,
        version >= 1,
        s["watch_version"] <= version,
        s["mark_version"] <= version,
        z3.Implies(s["watch_version"] > 0, s["watch_started_at"] >= 0),
        z3.Implies(s["regrant_sent"], s["regrant_version"] <= version),
        # No message has a send time in the future, and no lease ends more than LEASE from now.
        z3.Implies(s["read"] != IDLE, s["read_sent_at"] <= now),
        z3.Implies(s["promise"] != IDLE, s["promise_requested_at"] <= now),
        s["lease_1"] <= now + LEASE,
        s["lease_2"] <= now + LEASE,
        z3.Or(s["holder"] == HELD_BY_A, s["holder"] == HELD_BY_C),
        z3.Implies(z3.And(s["mark_sent"], s["mark_version"] == version), s["watched"]),
        # Once C has the share, no valid lease of A covers it.
        z3.Implies(s["has_c"], z3.And(_cannot_spend_1(s), _cannot_spend_2(s))),
        # While the row is marked and watched, leases end at most LEASE after the watch began.
        z3.Implies(s["standing"] == LOST, s["watched"]),
        z3.Implies(s["watch_version"] > 0, s["watched"]),
        z3.Implies(s["watch_version"] == version, s["standing"] == LOST),
        z3.Implies(is_marked, z3.And(watch_duration >= 0, s["watch_version"] > 0)),
        z3.Implies(is_marked, _leases_end_by(s, s["watch_started_at"] + LEASE)),
        z3.Implies(s["standing"] == LOST, _leases_end_by(s, now + LEASE)),
        z3.Implies(
            z3.And(s["regrant_sent"], s["regrant_version"] == version),
            z3.And(is_marked, watch_duration >= REGRANT_AFTER),
        ),
        # The same holds for a row that D has marked again.
        s["d_watch_version"] <= version,
        z3.Implies(s["d_watch_version"] > 0, s["d_watch_started_at"] >= 0),
        z3.Implies(s["d_watch_version"] == version, s["standing"] == LOST),
        z3.Implies(
            is_marked_by_d, z3.And(now >= s["d_watch_started_at"], s["d_watch_version"] > 0)
        ),
        z3.Implies(is_marked_by_d, _leases_end_by(s, s["d_watch_started_at"] + LEASE)),
        z3.Implies(s["d_regrant_sent"], s["d_regrant_version"] <= version),
        z3.Implies(
            z3.And(s["d_regrant_sent"], s["d_regrant_version"] == version),
            z3.And(is_marked_by_d, now >= s["d_watch_started_at"] + REGRANT_AFTER),
        ),
        # A new incarnation waits until the lease of the earlier one has expired.
        z3.Implies(
            s["incarnation"] == 2,
            z3.And(s["lessor_incarnation"] == 2, _lease_1_ends_by(s, s["ready_2"])),
        ),
        z3.Implies(
            s["incarnation"] == 1,
            z3.And(s["lessor_incarnation"] == 1, z3.Not(s["has_2"]), s["lease_2"] == 0),
        ),
        z3.Implies(s["has_2"], now >= s["ready_2"]),
        z3.Implies(s["lease_2"] > 0, s["lease_2"] >= s["ready_2"]),
    )


def _cannot_spend_1(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 cannot spend the share without another read."""
    return z3.Or(z3.Not(s["has_1"]), s["lease_1"] <= s["now"])


def _cannot_spend_2(s: State) -> z3.BoolRef:
    return z3.Or(z3.Not(s["has_2"]), s["lease_2"] <= s["now"])


def _lease_1_ends_by(s: State, end: z3.ArithRef) -> z3.BoolRef:
    """Return whether lease 1 ends by ``end`` even if renewed by an answer in transit."""
    return z3.And(
        s["lease_1"] <= end,
        z3.Implies(z3.And(s["read"] == ANSWERED, s["read_open"]), s["read_sent_at"] + LEASE <= end),
        z3.Implies(
            z3.And(s["promise"] == ANSWERED, s["promise_granted"]),
            s["promise_requested_at"] + LEASE <= end,
        ),
    )


def _leases_end_by(s: State, end: z3.ArithRef) -> z3.BoolRef:
    return z3.And(_lease_1_ends_by(s, end), s["lease_2"] <= end)
