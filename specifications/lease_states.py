"""Name the state of a share under lease, and say when it is safe.

The system has one share of host A, whose incarnations are 1 and 2, its lessor C, and host D,
which may go on with a host that C has marked; ``has_c`` stands for both heirs. Steps are named
after the functions of ``turmericproxy.rates`` that take them. Reads, promises and writes take
effect and are answered at any later time or never; a process that takes no step is paused; a cut is
a message that is never answered. The lessor hears of incarnation 2 as it takes over; should that
message be lost, the code relies on its pause limit, which the model leaves out.
"""

import z3

from specifications.search import State

LEASE = 2
REGRANT_AFTER = 2 * LEASE

OPEN, LOST = 0, 1
OF_A, OF_C = 0, 1
IDLE, ASKED, ANSWERED = 0, 1, 2


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


def is_start(s: State) -> z3.BoolRef:
    """Return whether incarnation 1 has just been granted the share."""
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
