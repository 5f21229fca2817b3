"""Specify how the mark of a withdrawn key spreads, is written down and is dropped.

The key is created by revision 1 and deleted by revision 2. Steps are named after the functions of
``turmericproxy.keys`` and ``turmericproxy.configuration`` that they stand for, followed by the
number of the host.
"""

from dataclasses import dataclass
from typing import Any

import z3

from specifications.processes import NumberedProcess
from specifications.search import State, Step, TransitionSystem

ENVIRONMENT = ("restart_host",)

CREATED, DELETED = 1, 2
NO_MARK, OPEN, COVERED = range(3)


@dataclass(frozen=True)
class Guards:
    """Name the guards of a withdrawal, so that a check can leave one out.

    ``drop_covered``: a mark is dropped only where the revision in force lacks the key.
    ``higher_only``: a host never installs a lower revision.
    ``cover_at_head``: a key is taken as deleted only by the platform's newest revision.
    ``keep_mark``: a frame without the mark never takes it away.
    """

    drop_covered: bool = True
    higher_only: bool = True
    cover_at_head: bool = True
    keep_mark: bool = True


@dataclass(frozen=True)
class _Host(NumberedProcess):
    """Name the variables of one host."""

    def accepts(self, state: State) -> z3.BoolRef:
        """Return whether the key works at this host."""
        return z3.And(self.get(state, "revision") == CREATED, self.get(state, "mark") == NO_MARK)


def create_withdrawal_system(
    hosts: int, guards: Guards = Guards()  # noqa: B008
) -> TransitionSystem:
    """Return the system of some hosts; ``told`` says that a host has refused the key."""
    members = [_Host(number + 1) for number in range(hosts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps: dict[str, Step] = {}
    for host in members:
        for name in ("revision", "mark", "covered"):
            variables[host.name(name)] = z3.IntSort()
        variables[host.name("told")] = z3.BoolSort()
        for name, step in _create_own_steps(host, guards).items():
            steps[f"{name} {host.number}"] = step
        for other in members:
            if other != host:
                name = f"receive_marks {host.number} {other.number}"
                steps[name] = _create_receipt(host, other, guards)
    return TransitionSystem(
        variables,
        initial=lambda state: z3.And(
            state["head"] == CREATED,
            *[state[name] == 0 for name in variables if name[:4] not in ("head", "told")],
            *[z3.Not(host.get(state, "told")) for host in members],
        ),
        steps=steps,
        invariant=lambda state: z3.And(
            state["head"] >= CREATED,
            state["head"] <= DELETED,
            *[is_consistent(state, host) for host in members],
        ),
    )


def is_refused(state: State, host: _Host) -> z3.BoolRef:
    """Return whether a key that the host was told to refuse is refused."""
    return z3.Implies(host.get(state, "told"), z3.Not(host.accepts(state)))


def is_safe(state: State, hosts: int) -> z3.BoolRef:
    """Return what operators rely on: no host that was told of a withdrawal accepts the key."""
    return z3.And([is_refused(state, _Host(number + 1)) for number in range(hosts)])


def is_consistent(state: State, host: _Host) -> z3.BoolRef:
    """Return the inductive invariant of one host."""
    revision, mark = host.get(state, "revision"), host.get(state, "mark")
    return z3.And(
        is_refused(state, host),
        z3.And(revision >= 0, revision <= state["head"], mark >= NO_MARK, mark <= COVERED),
        z3.Implies(mark == COVERED, host.get(state, "covered") == DELETED),
        z3.Implies(mark == COVERED, state["head"] == DELETED),
        z3.Implies(z3.And(host.get(state, "told"), mark == NO_MARK), revision == DELETED),
    )


def _create_own_steps(host: _Host, guards: Guards) -> dict[str, Step]:
    def is_older(state: State) -> Any:
        return state["frame"] > host.get(state, "revision") if guards.higher_only else True

    def is_covered(state: State) -> Any:
        if not guards.drop_covered:
            return True
        return host.get(state, "revision") >= host.get(state, "covered")

    def is_open(state: State) -> z3.BoolRef:
        return host.get(state, "mark") == OPEN

    def cover(state: State) -> dict[str, Any]:
        if guards.cover_at_head:
            return {"head": DELETED, **host.set(mark=COVERED, covered=DELETED)}
        lacks = host.get(state, "revision") != CREATED
        covered = z3.If(lacks, host.get(state, "revision"), DELETED)
        head = z3.If(lacks, state["head"], DELETED)
        return {"head": head, **host.set(mark=COVERED, covered=covered)}

    return {
        "withdraw": Step(
            lambda state: host.get(state, "mark") == NO_MARK,
            lambda _: host.set(mark=OPEN, told=True),
        ),
        "cover": Step(is_open, cover),
        "drop_oldest": Step(
            lambda state: z3.And(host.get(state, "mark") == COVERED, is_covered(state)),
            lambda _: host.set(mark=NO_MARK, covered=0),
        ),
        "install_snapshot": Step(
            lambda state: z3.And(
                state["frame"] >= CREATED, state["frame"] <= state["head"], is_older(state)
            ),
            lambda state: host.set(revision=state["frame"]),
            inputs={"frame": z3.IntSort()},
        ),
        "restart_host": Step(
            lambda _: True, lambda _: host.set(revision=0, mark=NO_MARK, covered=0, told=False)
        ),
    }


def _create_receipt(host: _Host, other: _Host, guards: Guards) -> Step:
    def receive_marks(state: State) -> dict[str, Any]:
        own, theirs = host.get(state, "mark"), other.get(state, "mark")
        newer = theirs > own if guards.keep_mark else theirs != own
        return host.set(
            mark=z3.If(newer, theirs, own),
            covered=z3.If(newer, other.get(state, "covered"), host.get(state, "covered")),
            told=z3.Or(host.get(state, "told"), theirs != NO_MARK),
        )

    return Step(lambda _: True, receive_marks)
