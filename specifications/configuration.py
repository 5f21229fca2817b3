"""Specify how changes are committed, and how they spread between hosts.

Steps are named after the functions of ``turmericproxy.configuration`` and
``turmericproxy.tables`` that they stand for, followed by the number of the attempt or host;
those of ``ENVIRONMENT`` belong to the platform and the machines.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import z3

from specifications.processes import NumberedProcess
from specifications.search import State, Step, TransitionSystem

ENVIRONMENT = ("apply_commit", "apply_old_commit", "restart_host", "commit_other")

IDLE, READY, SENT, DOUBTFUL, ACCEPTED, OVERTAKEN, REFUSED, UNKNOWN = range(8)

Update = Callable[[State], Mapping[str, Any]]


@dataclass(frozen=True)
class CommitGuards:
    """Name the guards of a commit, so that a check can leave one out.

    ``check_head``: a transaction takes effect only on the head that it was built for.
    ``read_after_doubt``: after a lost answer a conflict alone doesn't mean "overtaken".
    ``compare_change_id``: a stored change is one's own only by its id.
    ``resend_missing``: a missing change row doesn't mean that the change is lost.
    """

    check_head: bool = True
    read_after_doubt: bool = True
    compare_change_id: bool = True
    resend_missing: bool = True


@dataclass(frozen=True)
class _Actor(NumberedProcess):
    """Name the variables of one attempt or host."""

    def is_in(self, state: State, *phases: int) -> z3.BoolRef:
        return z3.Or([self.get(state, "phase") == phase for phase in phases])

    def is_committed(self, state: State) -> z3.BoolRef:
        """Return whether the change row behind the base holds this attempt's change."""
        return self.get(state, "owned") == self.get(state, "base") + 1

    def is_head_moved(self, state: State) -> z3.BoolRef:
        return state["head"] != self.get(state, "base")


def create_commit_system(
    attempts: int, guards: CommitGuards = CommitGuards()  # noqa: B008
) -> TransitionSystem:
    """Return the system in which some attempts at changes race and lose answers."""
    racing = [_Actor(number + 1) for number in range(attempts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps: dict[str, Step] = {}
    for attempt in racing:
        for name in ("phase", "base", "owned", "commits", "old_base"):
            variables[attempt.name(name)] = z3.IntSort()
        for name in ("sent", "old_sent", "doubtful"):
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


def is_truthful(state: State, attempts: int) -> z3.BoolRef:
    """Return what operators rely on: accepted is committed once, refused never takes effect."""
    parts = []
    for attempt in (_Actor(number + 1) for number in range(attempts)):
        commits = attempt.get(state, "commits")
        parts.append(commits <= 1)
        parts.append(z3.Implies(attempt.is_in(state, ACCEPTED), commits == 1))
        parts.append(z3.Implies(attempt.is_in(state, REFUSED), commits == 0))
    return z3.And(parts)


def is_commit_consistent(state: State, attempts: int) -> z3.BoolRef:
    """Return the inductive invariant: truthfulness, and which sent copies can still count."""
    parts = [is_truthful(state, attempts), state["head"] >= 0]
    for attempt in (_Actor(number + 1) for number in range(attempts)):
        base, owned = attempt.get(state, "base"), attempt.get(state, "owned")
        commits, head = attempt.get(state, "commits"), state["head"]
        before = attempt.is_in(state, IDLE, READY)
        parts += [
            z3.And(base >= 0, base <= head, owned >= 0, owned <= head, commits >= 0),
            (commits == 0) == (owned == 0),
            z3.Implies(owned != 0, owned == base + 1),
            z3.Implies(before, z3.And(commits == 0, z3.Not(attempt.get(state, "sent")))),
            z3.Implies(attempt.is_in(state, OVERTAKEN, REFUSED), commits == 0),
            z3.Implies(attempt.is_in(state, OVERTAKEN, REFUSED), head > base),
            z3.Implies(attempt.get(state, "old_sent"), attempt.get(state, "old_base") < head),
        ]
    return z3.And(parts)


def _create_commit_steps(attempt: _Actor, guards: CommitGuards) -> dict[str, Step]:
    return {
        "create_transaction": Step(
            lambda state: attempt.is_in(state, IDLE),
            lambda state: attempt.set(phase=READY, base=state["head"], doubtful=False),
        ),
        "commit": Step(
            lambda state: attempt.is_in(state, READY, DOUBTFUL),
            lambda state: attempt.set(phase=SENT, sent=True),
        ),
        "apply_commit": Step(
            lambda state: z3.And(
                attempt.get(state, "sent"),
                z3.Not(attempt.is_head_moved(state)) if guards.check_head else True,
            ),
            _create_application(attempt),
        ),
        "apply_old_commit": Step(
            lambda state: z3.And(
                attempt.get(state, "old_sent"),
                attempt.get(state, "old_base") == state["head"] if guards.check_head else True,
            ),
            _create_application(attempt),
        ),
        "settle_change": Step(
            lambda state: z3.And(
                attempt.is_in(state, SENT),
                z3.Or(state["is_lost"], attempt.is_head_moved(state)),
            ),
            _create_settlement(attempt, guards),
            inputs={"is_lost": z3.BoolSort()},
        ),
        "read_change": Step(
            lambda state: attempt.is_in(state, DOUBTFUL), _create_reading(attempt, guards)
        ),
        "refuse_unknown": Step(
            lambda state: attempt.is_in(state, DOUBTFUL),
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


def _create_application(attempt: _Actor) -> Update:
    def apply_commit(state: State) -> Mapping[str, Any]:
        revision = state["head"] + 1
        commits = attempt.get(state, "commits") + 1
        return {"head": revision, **attempt.set(owned=revision, commits=commits)}

    return apply_commit


def _create_settlement(attempt: _Actor, guards: CommitGuards) -> Update:
    def settle_change(state: State) -> Mapping[str, Any]:
        doubtful = attempt.get(state, "doubtful")
        conflict = OVERTAKEN
        if guards.read_after_doubt:
            conflict = z3.If(doubtful, DOUBTFUL, OVERTAKEN)
        # A later copy conflicts with the first one, so doubt turns every answer into a conflict.
        is_committed = z3.And(attempt.is_committed(state), z3.Not(doubtful))
        answered = z3.If(is_committed, ACCEPTED, conflict)
        return attempt.set(
            phase=z3.If(state["is_lost"], DOUBTFUL, answered),
            doubtful=z3.Or(doubtful, state["is_lost"]),
        )

    return settle_change


def _create_reading(attempt: _Actor, guards: CommitGuards) -> Update:
    def read_change(state: State) -> Mapping[str, Any]:
        is_own: Any = attempt.is_committed(state) if guards.compare_change_id else True
        missing = DOUBTFUL if guards.resend_missing else REFUSED
        stored = z3.If(is_own, ACCEPTED, OVERTAKEN)
        return attempt.set(phase=z3.If(attempt.is_head_moved(state), stored, missing))

    return read_change


@dataclass(frozen=True)
class SpreadGuards:
    """Name the guards of the spread, so that a check can leave one out.

    ``higher_only``: a host never installs a lower revision.
    ``without_gap``: a delta is installed only on the revision before it.
    """

    higher_only: bool = True
    without_gap: bool = True


def create_spread_system(
    hosts: int, guards: SpreadGuards = SpreadGuards()  # noqa: B008
) -> TransitionSystem:
    """Return the system in which frames of any age and order reach some hosts.

    ``applied`` counts the changes that a host's content reflects; ``highest`` is the highest
    revision since its start.
    """
    members = [_Actor(number + 1) for number in range(hosts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps = {"commit_other": Step(lambda _: True, lambda state: {"head": state["head"] + 1})}
    for host in members:
        for name in ("revision", "applied", "highest"):
            variables[host.name(name)] = z3.IntSort()
        for name, step in _create_spread_steps(host, guards).items():
            steps[f"{name} {host.number}"] = step
    return TransitionSystem(
        variables,
        initial=lambda state: z3.And([state[name] == 0 for name in variables]),
        steps=steps,
        invariant=lambda state: z3.And([is_following(state, host) for host in members]),
    )


def is_following(state: State, host: _Actor) -> z3.BoolRef:
    """Return whether a host holds exactly a committed revision, and never fell back."""
    revision = host.get(state, "revision")
    return z3.And(
        revision <= state["head"],
        host.get(state, "applied") == revision,
        host.get(state, "highest") <= revision,
        host.get(state, "highest") >= 0,
    )


def _create_spread_steps(host: _Actor, guards: SpreadGuards) -> dict[str, Step]:
    def is_sent(state: State) -> z3.BoolRef:
        return z3.And(state["frame"] >= 1, state["frame"] <= state["head"])

    def is_newer(state: State) -> Any:
        return state["frame"] > host.get(state, "revision") if guards.higher_only else True

    def is_next(state: State) -> Any:
        return state["frame"] == host.get(state, "revision") + 1 if guards.without_gap else True

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


def create_round_system(hosts: int, passes_on: bool = True) -> TransitionSystem:
    """Return the system of rounds in which each host asks the hosts that it is linked with.

    Links are any symmetric graph in which host 1 can be reached from everywhere; ``distance`` is
    the number of links to it. Without ``passes_on`` hosts tell only changes that they made.
    """
    numbers = range(1, hosts + 1)
    links = {(a, b): f"link_{a}_{b}" for a in numbers for b in numbers if a < b}
    variables: dict[str, z3.SortRef] = {name: z3.BoolSort() for name in links.values()}
    variables["round"] = z3.IntSort()
    for number in numbers:
        variables[f"revision_{number}"] = variables[f"distance_{number}"] = z3.IntSort()

    def is_linked(state: State, a: int, b: int) -> z3.BoolRef:
        return state[links[min(a, b), max(a, b)]]

    def is_graph(state: State) -> z3.BoolRef:
        return _is_distance_consistent(state, numbers, is_linked)

    def check_peers(state: State) -> Mapping[str, Any]:
        updates: dict[str, Any] = {"round": state["round"] + 1}
        for number in numbers:
            revision = state[f"revision_{number}"]
            for other in numbers:
                if other != number and (passes_on or other == 1):
                    told = z3.If(is_linked(state, number, other), state[f"revision_{other}"], 0)
                    revision = z3.If(told > revision, told, revision)
            updates[f"revision_{number}"] = revision
        return updates

    def is_in_force(state: State) -> z3.BoolRef:
        reached = [
            z3.Implies(state[f"distance_{n}"] <= state["round"], state[f"revision_{n}"] >= 1)
            for n in numbers
        ]
        counted = [state[f"revision_{n}"] >= 0 for n in numbers]
        return z3.And(is_graph(state), state["round"] >= 0, *counted, *reached)

    return TransitionSystem(
        variables,
        initial=lambda state: z3.And(
            is_graph(state),
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
        closer = [
            z3.And(is_linked(state, number, other), state[f"distance_{other}"] == distance - 1)
            for other in numbers
            if other != number
        ]
        if number != 1:
            parts += [distance >= 1, z3.Or(closer)]
    return z3.And(parts)
