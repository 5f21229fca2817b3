"""Specify load orders for model weights, to engines that check the fence and ones that ignore it.

A model's version is identified by the revision that requests it. One host always knows the newest
configuration; another may be cut off from it and know an older revision. An order may be delayed
and arrive after later ones. Steps are named after the functions that they model, if there are any.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import z3

from specifications.search import Predicate, State, Step, TransitionSystem

HIGHEST_REVISION = 3
NO_ORDER = 0

VARIABLES: dict[str, z3.SortRef] = {
    # The accepted revision, and whether the maximum unconfirmed age has passed since then.
    "revision": z3.IntSort(),
    "is_age_exceeded": z3.BoolSort(),
    # The revision known to the host that was cut off, and whether it was confirmed recently.
    "known": z3.IntSort(),
    "is_confirmed": z3.BoolSort(),
    # Two orders in transit; either may arrive first.
    "first": z3.IntSort(),
    "second": z3.IntSort(),
    # The version that the engine serves, and the highest fence that it has accepted.
    "served": z3.IntSort(),
    "fence": z3.IntSort(),
    # Whether a violation has occurred.
    "was_reverted": z3.BoolSort(),
    "was_downgrade_ordered": z3.BoolSort(),
}


@dataclass(frozen=True)
class Guards:
    """Select the guards of the protocol.

    ``checks_fence``: the engine refuses an order with a lower fence than the highest it accepted.
    ``requires_confirmation``: without a fence, a host sends only a recently confirmed version.
    """

    checks_fence: bool
    requires_confirmation: bool = True


def create_order_system(guards: Guards) -> TransitionSystem:
    """Return the system of orders to one engine."""
    return TransitionSystem(
        VARIABLES, _is_initial, _create_steps(guards), _create_safety_property(guards)
    )


def _is_initial(state: State) -> z3.BoolRef:
    return z3.And(
        *(state[name] == 1 for name in ("revision", "known", "served", "fence")),
        *(state[name] == NO_ORDER for name in ("first", "second")),
        state["is_confirmed"],
        *(
            z3.Not(state[name])
            for name in ("is_age_exceeded", "was_reverted", "was_downgrade_ordered")
        ),
    )


def _create_safety_property(guards: Guards) -> Predicate:
    """Return the safety property, strengthened to be inductive.

    An engine that checks the fence never reverts; one that ignores it is never sent an old version.
    """

    def is_safe(state: State) -> z3.BoolRef:
        if guards.checks_fence:
            return z3.And(z3.Not(state["was_reverted"]), _is_fenced(state))
        return z3.And(z3.Not(state["was_downgrade_ordered"]), _is_confirmation_valid(state))

    return is_safe


def _is_fenced(state: State) -> z3.BoolRef:
    """Return whether the engine serves the version ordered with its highest fence."""
    return state["served"] == state["fence"]


def _is_confirmation_valid(state: State) -> z3.BoolRef:
    """Return whether a revision that is still confirmed after the maximum age is the newest."""
    return z3.Implies(
        z3.And(state["is_age_exceeded"], state["is_confirmed"]), state["known"] == state["revision"]
    )


def _create_steps(guards: Guards) -> dict[str, Step]:
    return {
        "change": Step(
            guard=lambda s: s["revision"] < HIGHEST_REVISION,
            update=lambda s: {"revision": s["revision"] + 1, "is_age_exceeded": z3.BoolVal(False)},
        ),
        "follow": Step(
            guard=lambda s: z3.BoolVal(True),
            update=lambda s: {"known": s["revision"], "is_confirmed": z3.BoolVal(True)},
        ),
        "measure_age": Step(
            guard=lambda s: z3.Not(s["is_age_exceeded"]),
            update=lambda s: {
                "is_age_exceeded": z3.BoolVal(True),
                "is_confirmed": s["known"] == s["revision"],
            },
        ),
        "send_newest": _create_send("first", lambda s: s["revision"], lambda s: z3.BoolVal(True)),
        "send_known": _create_send("second", lambda s: s["known"], _create_send_guard(guards)),
        "take_first": _create_receipt("first", guards),
        "take_second": _create_receipt("second", guards),
    }


def _create_send_guard(guards: Guards) -> Predicate:
    def may_send(state: State) -> z3.BoolRef:
        if guards.checks_fence or not guards.requires_confirmation:
            return z3.BoolVal(True)
        return state["is_confirmed"]

    return may_send


def _create_send(slot: str, get_version: Callable[[State], Any], may_send: Predicate) -> Step:
    """Return the step in which a host orders its version because the engine reports another."""
    return Step(
        guard=lambda s: z3.And(s[slot] == NO_ORDER, s["served"] != get_version(s), may_send(s)),
        update=lambda s: {
            slot: get_version(s),
            "was_downgrade_ordered": z3.Or(
                s["was_downgrade_ordered"],
                z3.And(s["is_age_exceeded"], get_version(s) < s["revision"]),
            ),
        },
    )


def _create_receipt(slot: str, guards: Guards) -> Step:
    """Return the step in which the engine applies an order, or refuses one with an old fence."""

    def update(state: State) -> dict[str, z3.ExprRef]:
        order = state[slot]
        is_old = order < state["fence"]
        is_accepted = z3.Not(is_old) if guards.checks_fence else z3.BoolVal(True)
        return {
            slot: z3.IntVal(NO_ORDER),
            "served": z3.If(is_accepted, order, state["served"]),
            "fence": z3.If(is_old, state["fence"], order),
            "was_reverted": z3.Or(state["was_reverted"], z3.And(is_accepted, is_old)),
        }

    return Step(guard=lambda s: s[slot] != NO_ORDER, update=update)


def create_convergence_system(reads_reports: bool) -> TransitionSystem:
    """Return the system of an engine that ignores the fence and one host with the newest revision.

    The host sends orders until the engine has converged. It compares the wanted version with the
    engine's report if ``reads_reports`` is true, otherwise with the version that it ordered last.
    """
    steps = _create_steps(Guards(checks_fence=False))
    selected_steps = {name: steps[name] for name in ("change", "take_first", "take_second")}
    selected_steps["delay_order"] = Step(
        guard=lambda s: z3.And(s["first"] != NO_ORDER, s["second"] == NO_ORDER),
        update=lambda s: {"second": s["first"], "first": z3.IntVal(NO_ORDER)},
    )
    selected_steps["send_newest"] = Step(
        guard=lambda s: z3.And(s["first"] == NO_ORDER, _needs_order(s, reads_reports)),
        update=lambda s: {"first": s["revision"], "known": s["revision"]},
    )

    def is_convergence_correct(state: State) -> z3.BoolRef:
        is_converged = z3.And(
            state["first"] == NO_ORDER,
            state["second"] == NO_ORDER,
            z3.Not(_needs_order(state, reads_reports)),
        )
        return z3.Implies(is_converged, state["served"] == state["revision"])

    return TransitionSystem(VARIABLES, _is_initial, selected_steps, is_convergence_correct)


def _needs_order(state: State, reads_reports: bool) -> z3.BoolRef:
    """Return whether the host must send another order; ``known`` is the version it ordered last."""
    current = state["served"] if reads_reports else state["known"]
    return current != state["revision"]
