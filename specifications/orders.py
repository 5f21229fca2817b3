"""Specify orders of weights to engines that check the fence and to ones that ignore it.

The version of a model is named by the revision that asks for it. One host follows the configuration
at once, another may be cut off from it and know an old revision. An order may be held up on its way
and arrive after later ones. The steps are named after the functions that they stand for.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import z3

from specifications.search import Predicate, State, Step, TransitionSystem

HIGHEST_REVISION = 3
NO_ORDER = 0

VARIABLES: dict[str, z3.SortRef] = {
    # The accepted configuration, and whether the longest unconfirmed age has passed since.
    "revision": z3.IntSort(),
    "is_aged": z3.BoolSort(),
    # What the host that was cut off knows, and whether that was confirmed lately.
    "known": z3.IntSort(),
    "is_confirmed": z3.BoolSort(),
    # Two orders on their way; either may be the first to arrive.
    "first": z3.IntSort(),
    "second": z3.IntSort(),
    # The engine: what it serves, and the highest fence that it has taken.
    "served": z3.IntSort(),
    "fence": z3.IntSort(),
    # What was broken, if anything.
    "was_reverted": z3.BoolSort(),
    "was_ordered_back": z3.BoolSort(),
}


@dataclass(frozen=True)
class Guards:
    """Say which guards are in force."""

    checks_fence: bool
    is_entitled: bool = True


def create_orders(guards: Guards) -> TransitionSystem:
    """Return the system of orders to one engine."""
    return TransitionSystem(VARIABLES, _is_initial, _create_steps(guards), _is_sound(guards))


def _is_initial(state: State) -> z3.BoolRef:
    return z3.And(
        *(state[name] == 1 for name in ("revision", "known", "served", "fence")),
        *(state[name] == NO_ORDER for name in ("first", "second")),
        state["is_confirmed"],
        *(z3.Not(state[name]) for name in ("is_aged", "was_reverted", "was_ordered_back")),
    )


def _is_sound(guards: Guards) -> Predicate:
    """Return what must hold: no revert behind a fence, no old order to an engine without one."""

    def hold(state: State) -> z3.BoolRef:
        if guards.checks_fence:
            return z3.And(z3.Not(state["was_reverted"]), _is_fenced(state))
        return z3.And(z3.Not(state["was_ordered_back"]), _is_confirmation_true(state))

    return hold


def _is_fenced(state: State) -> z3.BoolRef:
    """Strengthen the invariant: the engine serves what its highest fence ordered."""
    return state["served"] == state["fence"]


def _is_confirmation_true(state: State) -> z3.BoolRef:
    """Strengthen the invariant: knowledge confirmed after the longest age is the newest."""
    return z3.Implies(
        z3.And(state["is_aged"], state["is_confirmed"]), state["known"] == state["revision"]
    )


def _create_steps(guards: Guards) -> dict[str, Step]:
    return {
        "change": Step(
            guard=lambda s: s["revision"] < HIGHEST_REVISION,
            update=lambda s: {"revision": s["revision"] + 1, "is_aged": z3.BoolVal(False)},
        ),
        "follow": Step(
            guard=lambda s: z3.BoolVal(True),
            update=lambda s: {"known": s["revision"], "is_confirmed": z3.BoolVal(True)},
        ),
        "measure_age": Step(
            guard=lambda s: z3.Not(s["is_aged"]),
            update=lambda s: {
                "is_aged": z3.BoolVal(True),
                "is_confirmed": s["known"] == s["revision"],
            },
        ),
        "send_newest": _create_send("first", lambda s: s["revision"], lambda s: z3.BoolVal(True)),
        "send_known": _create_send("second", lambda s: s["known"], _create_entitlement(guards)),
        "take_first": _create_take("first", guards),
        "take_second": _create_take("second", guards),
    }


def _create_entitlement(guards: Guards) -> Predicate:
    def is_entitled(state: State) -> z3.BoolRef:
        if guards.checks_fence or not guards.is_entitled:
            return z3.BoolVal(True)
        return state["is_confirmed"]

    return is_entitled


def _create_send(slot: str, choose: Callable[[State], Any], is_entitled: Predicate) -> Step:
    """Order what the host wants when the engine reports something else."""
    return Step(
        guard=lambda s: z3.And(s[slot] == NO_ORDER, s["served"] != choose(s), is_entitled(s)),
        update=lambda s: {
            slot: choose(s),
            "was_ordered_back": z3.Or(
                s["was_ordered_back"], z3.And(s["is_aged"], choose(s) < s["revision"])
            ),
        },
    )


def _create_take(slot: str, guards: Guards) -> Step:
    """Take an order, or refuse it when its fence is old and the engine checks."""

    def update(state: State) -> dict[str, z3.ExprRef]:
        order = state[slot]
        is_old = order < state["fence"]
        is_taken = z3.Not(is_old) if guards.checks_fence else z3.BoolVal(True)
        return {
            slot: z3.IntVal(NO_ORDER),
            "served": z3.If(is_taken, order, state["served"]),
            "fence": z3.If(is_old, state["fence"], order),
            "was_reverted": z3.Or(state["was_reverted"], z3.And(is_taken, is_old)),
        }

    return Step(guard=lambda s: s[slot] != NO_ORDER, update=update)


def create_settling(reads_reports: bool) -> TransitionSystem:
    """Return the system of an engine that ignores the fence, with the newest host alone.

    The host goes on until nothing is left to do. With ``reads_reports`` it goes by the engine's
    report, else by its memory of what it ordered.
    """
    steps = _create_steps(Guards(checks_fence=False))
    wanted = {name: steps[name] for name in ("change", "take_first", "take_second")}
    wanted["hold_up"] = Step(
        guard=lambda s: z3.And(s["first"] != NO_ORDER, s["second"] == NO_ORDER),
        update=lambda s: {"second": s["first"], "first": z3.IntVal(NO_ORDER)},
    )
    wanted["send_newest"] = Step(
        guard=lambda s: z3.And(s["first"] == NO_ORDER, _has_work(s, reads_reports)),
        update=lambda s: {"first": s["revision"], "known": s["revision"]},
    )

    def is_settled_right(state: State) -> z3.BoolRef:
        is_quiet = z3.And(
            state["first"] == NO_ORDER,
            state["second"] == NO_ORDER,
            z3.Not(_has_work(state, reads_reports)),
        )
        return z3.Implies(is_quiet, state["served"] == state["revision"])

    return TransitionSystem(VARIABLES, _is_initial, wanted, is_settled_right)


def _has_work(state: State, reads_reports: bool) -> z3.BoolRef:
    """Tell whether the host still has an order to send; ``known`` is what it ordered last."""
    seen = state["served"] if reads_reports else state["known"]
    return seen != state["revision"]
