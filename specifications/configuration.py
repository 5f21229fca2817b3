"""Specify how changes are committed, and how they are distributed between hosts.

Steps are named after the functions of ``turmericproxy.configuration`` and ``turmericproxy.tables``
that they model, followed by the number of the attempt or host; those in ``ENVIRONMENT`` model the
platform, host restarts and other changes.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import z3

from specifications.processes import NumberedProcess
from specifications.search import State, Step, TransitionSystem

ENVIRONMENT = ("apply_commit", "apply_old_commit", "restart_host", "commit_other")

IDLE, READY, SENT, UNCERTAIN, ACCEPTED, OVERTAKEN, REFUSED, UNKNOWN = range(8)

Update = Callable[[State], Mapping[str, Any]]


@dataclass(frozen=True)
class CommitGuards:
    """Select the guards of a commit; a check disables one to show that it is needed.

    ``check_head``: a transaction takes effect only on the head for which it was created.
    ``read_after_lost_answer``: after a lost answer, a conflict alone does not mean "overtaken".
    ``compare_change_id``: a stored change is the attempt's own only if its id matches.
    ``resend_missing``: a missing change row does not mean that the change is lost.
    """

    check_head: bool = True
    read_after_lost_answer: bool = True
    compare_change_id: bool = True
    resend_missing: bool = True


@dataclass(frozen=True)
class _Process(NumberedProcess):
    """Access the variables of one attempt or host."""

    def is_in(self, state: State, *phases: int) -> z3.BoolRef:
        return z3.Or([self.get(state, "phase") == phase for phase in phases])

    def is_committed(self, state: State) -> z3.BoolRef:
        """Return whether the change row after the base revision holds this attempt's change."""
        return self.get(state, "owned") == self.get(state, "base") + 1

    def is_head_moved(self, state: State) -> z3.BoolRef:
        return state["head"] != self.get(state, "base")


def create_commit_system(
    attempts: int, guards: CommitGuards = CommitGuards()  # noqa: B008
) -> TransitionSystem:
    """Return the system in which attempts at changes compete and answers may be lost."""
    competitors = [_Process(number + 1) for number in range(attempts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps: dict[str, Step] = {}
    for attempt in competitors:
        for name in ("phase", "base", "owned", "commits", "old_base"):
            variables[attempt.name(name)] = z3.IntSort()
        for name in ("sent", "old_sent", "uncertain"):
            variables[attempt.name(name)] = z3.BoolSort()
        for name, step in _create_commit_steps(attempt, guards).items():
            steps[f"{name} {attempt.number}"] = step
    return TransitionSystem(
        variables,
        initial=lambda state: z3.And(
            [
                z3.Not(state[name]) if sort == z3.BoolSort() else state[name] == 0
                for name, sort in variables.items()
            ]
        ),
        steps=steps,
        invariant=lambda state: is_commit_consistent(state, attempts),
    )


def is_reporting_correct(state: State, attempts: int) -> z3.BoolRef:
    """Return the safety property: accepted means committed once, refused means never committed."""
    parts = []
    for attempt in (_Process(number + 1) for number in range(attempts)):
        commits = attempt.get(state, "commits")
        parts.append(commits <= 1)
        parts.append(z3.Implies(attempt.is_in(state, ACCEPTED), commits == 1))
        parts.append(z3.Implies(attempt.is_in(state, REFUSED), commits == 0))
    return z3.And(parts)


def is_commit_consistent(state: State, attempts: int) -> z3.BoolRef:
    """Return the inductive invariant: safety, and which copies sent may still take effect."""
    parts = [is_reporting_correct(state, attempts), state["head"] >= 0]
    for attempt in (_Process(number + 1) for number in range(attempts)):
        base, owned = attempt.get(state, "base"), attempt.get(state, "owned")
        commits, head = attempt.get(state, "commits"), state["head"]
        is_unsent = attempt.is_in(state, IDLE, READY)
        parts += [
            z3.And(base >= 0, base <= head, owned >= 0, owned <= head, commits >= 0),
            (commits == 0) == (owned == 0),
            z3.Implies(owned != 0, owned == base + 1),
            z3.Implies(is_unsent, z3.And(commits == 0, z3.Not(attempt.get(state, "sent")))),
            z3.Implies(attempt.is_in(state, OVERTAKEN, REFUSED), commits == 0),
            z3.Implies(attempt.is_in(state, OVERTAKEN, REFUSED), head > base),
            z3.Implies(attempt.get(state, "old_sent"), attempt.get(state, "old_base") < head),
        ]
    return z3.And(parts)


def _create_commit_steps(attempt: _Process, guards: CommitGuards) -> dict[str, Step]:
    return {
        "create_transaction": Step(
            lambda state: attempt.is_in(state, IDLE),
            lambda state: attempt.set(phase=READY, base=state["head"], uncertain=False),
        ),
        "commit": Step(
            lambda state: attempt.is_in(state, READY, UNCERTAIN),
            lambda state: attempt.set(phase=SENT, sent=True),
        ),
        "apply_commit": Step(
            lambda state: z3.And(
                attempt.get(state, "sent"),
                z3.Not(attempt.is_head_moved(state)) if guards.check_head else True,
            ),
            _create_commit_update(attempt),
        ),
        "apply_old_commit": Step(
            lambda state: z3.And(
                attempt.get(state, "old_sent"),
                attempt.get(state, "old_base") == state["head"] if guards.check_head else True,
            ),
            _create_commit_update(attempt),
        ),
        "settle_change": Step(
            lambda state: z3.And(
                attempt.is_in(state, SENT),
                z3.Or(state["is_lost"], attempt.is_head_moved(state)),
            ),
            _create_settlement_update(attempt, guards),
            inputs={"is_lost": z3.BoolSort()},
        ),
        "read_change": Step(
            lambda state: attempt.is_in(state, UNCERTAIN), _create_read_update(attempt, guards)
        ),
        "refuse_unknown": Step(
            lambda state: attempt.is_in(state, UNCERTAIN),
            lambda state: attempt.set(phase=UNKNOWN),
        ),
        "change": Step(
            lambda state: attempt.is_in(state, OVERTAKEN),
            lambda state: attempt.set(
                phase=z3.If(state["is_late"], REFUSED, IDLE),
                sent=z3.And(state["is_late"], attempt.get(state, "sent")),
                old_sent=z3.Or(attempt.get(state, "old_sent"), attempt.get(state, "sent")),
                old_base=attempt.get(state, "base"),
            ),
            inputs={"is_late": z3.BoolSort()},
        ),
    }


def _create_commit_update(attempt: _Process) -> Update:
    def apply_commit(state: State) -> Mapping[str, Any]:
        revision = state["head"] + 1
        commits = attempt.get(state, "commits") + 1
        return {"head": revision, **attempt.set(owned=revision, commits=commits)}

    return apply_commit


def _create_settlement_update(attempt: _Process, guards: CommitGuards) -> Update:
    def settle_change(state: State) -> Mapping[str, Any]:
        uncertain = attempt.get(state, "uncertain")
        conflict_phase = OVERTAKEN
        if guards.read_after_lost_answer:
            conflict_phase = z3.If(uncertain, UNCERTAIN, OVERTAKEN)
        # A resent copy conflicts with the first, so after a lost answer each answer is a conflict.
        is_committed = z3.And(attempt.is_committed(state), z3.Not(uncertain))
        answered_phase = z3.If(is_committed, ACCEPTED, conflict_phase)
        return attempt.set(
            phase=z3.If(state["is_lost"], UNCERTAIN, answered_phase),
            uncertain=z3.Or(uncertain, state["is_lost"]),
        )

    return settle_change


def _create_read_update(attempt: _Process, guards: CommitGuards) -> Update:
    def read_change(state: State) -> Mapping[str, Any]:
        is_own: Any = attempt.is_committed(state) if guards.compare_change_id else True
        missing_phase = UNCERTAIN if guards.resend_missing else REFUSED
        stored_phase = z3.If(is_own, ACCEPTED, OVERTAKEN)
        return attempt.set(phase=z3.If(attempt.is_head_moved(state), stored_phase, missing_phase))

    return read_change


@dataclass(frozen=True)
class DistributionGuards:
    """Select the guards of the distribution; a check disables one to show that it is needed.

    ``higher_only``: a host never installs a lower revision.
    ``consecutive_only``: a delta is installed only on the revision directly before it.
    """

    higher_only: bool = True
    consecutive_only: bool = True


def create_distribution_system(
    hosts: int, guards: DistributionGuards = DistributionGuards()  # noqa: B008
) -> TransitionSystem:
    """Return the system in which hosts receive frames of any age, in any order.

    ``applied`` counts the changes that a host's configuration contains; ``highest`` is the highest
    revision that it has had since its start.
    """
    members = [_Process(number + 1) for number in range(hosts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps = {"commit_other": Step(lambda _: True, lambda state: {"head": state["head"] + 1})}
    for host in members:
        for name in ("revision", "applied", "highest"):
            variables[host.name(name)] = z3.IntSort()
        for name, step in _create_distribution_steps(host, guards).items():
            steps[f"{name} {host.number}"] = step
    return TransitionSystem(
        variables,
        initial=lambda state: z3.And([state[name] == 0 for name in variables]),
        steps=steps,
        invariant=lambda state: z3.And([is_revision_consistent(state, host) for host in members]),
    )


def is_revision_consistent(state: State, host: _Process) -> z3.BoolRef:
    """Return whether a host has exactly one committed revision and never went to a lower one."""
    revision = host.get(state, "revision")
    return z3.And(
        revision <= state["head"],
        host.get(state, "applied") == revision,
        host.get(state, "highest") <= revision,
        host.get(state, "highest") >= 0,
    )


def _create_distribution_steps(host: _Process, guards: DistributionGuards) -> dict[str, Step]:
    def is_sent(state: State) -> z3.BoolRef:
        return z3.And(state["frame"] >= 1, state["frame"] <= state["head"])

    def is_newer(state: State) -> Any:
        return state["frame"] > host.get(state, "revision") if guards.higher_only else True

    def is_next(state: State) -> Any:
        return (
            state["frame"] == host.get(state, "revision") + 1 if guards.consecutive_only else True
        )

    def install(state: State, applied: Any) -> dict[str, Any]:
        highest, frame = host.get(state, "highest"), state["frame"]
        return host.set(
            revision=frame, applied=applied, highest=z3.If(frame > highest, frame, highest)
        )

    frame = {"frame": z3.IntSort()}
    return {
        "install_snapshot": Step(
            lambda state: z3.And(is_sent(state), is_newer(state)),
            lambda state: install(state, state["frame"]),
            frame,
        ),
        "install_deltas": Step(
            lambda state: z3.And(is_sent(state), is_newer(state), is_next(state)),
            lambda state: install(state, host.get(state, "applied") + 1),
            frame,
        ),
        "restart_host": Step(lambda _: True, lambda _: host.set(revision=0, applied=0, highest=0)),
    }


def create_round_system(hosts: int, relays_changes: bool = True) -> TransitionSystem:
    """Return the system of rounds in which each host polls the hosts to which it is linked.

    The links form any symmetric graph in which every host can reach host 1; ``distance`` is the
    number of links to it. Without ``relays_changes``, hosts send only changes that they made.
    """
    numbers = range(1, hosts + 1)
    links = {(a, b): f"link_{a}_{b}" for a in numbers for b in numbers if a < b}
    variables: dict[str, z3.SortRef] = {name: z3.BoolSort() for name in links.values()}
    variables["round"] = z3.IntSort()
    for number in numbers:
        variables[f"revision_{number}"] = variables[f"distance_{number}"] = z3.IntSort()

    def is_linked(state: State, a: int, b: int) -> z3.BoolRef:
        return state[links[min(a, b), max(a, b)]]

    def is_topology_valid(state: State) -> z3.BoolRef:
        return _is_distance_consistent(state, numbers, is_linked)

    def check_peers(state: State) -> Mapping[str, Any]:
        updates: dict[str, Any] = {"round": state["round"] + 1}
        for number in numbers:
            revision = state[f"revision_{number}"]
            for other in numbers:
                if other != number and (relays_changes or other == 1):
                    received = z3.If(is_linked(state, number, other), state[f"revision_{other}"], 0)
                    revision = z3.If(received > revision, received, revision)
            updates[f"revision_{number}"] = revision
        return updates

    def is_in_force(state: State) -> z3.BoolRef:
        updated = [
            z3.Implies(state[f"distance_{n}"] <= state["round"], state[f"revision_{n}"] >= 1)
            for n in numbers
        ]
        nonnegative = [state[f"revision_{n}"] >= 0 for n in numbers]
        return z3.And(is_topology_valid(state), state["round"] >= 0, *nonnegative, *updated)

    return TransitionSystem(
        variables,
        initial=lambda state: z3.And(
            is_topology_valid(state),
            state["round"] == 0,
            state["revision_1"] == 1,
            *[state[f"revision_{number}"] == 0 for number in numbers if number != 1],
        ),
        steps={"check_peers": Step(lambda _: True, check_peers)},
        invariant=is_in_force,
    )


def _is_distance_consistent(
    state: State, numbers: range, is_linked: Callable[[State, int, int], z3.BoolRef]
) -> z3.BoolRef:
    parts = [state["distance_1"] == 0]
    for number in numbers:
        distance = state[f"distance_{number}"]
        closer_neighbors = [
            z3.And(is_linked(state, number, other), state[f"distance_{other}"] == distance - 1)
            for other in numbers
            if other != number
        ]
        if number != 1:
            parts += [distance >= 1, z3.Or(closer_neighbors)]
    return z3.And(parts)
