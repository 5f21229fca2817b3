"""Specify how the mark of a withdrawn key is distributed, made durable and dropped.

The key is created by revision 1 and deleted by revision 2. Steps are named after the functions of
``turmericproxy.keys`` and ``turmericproxy.configuration`` that they model, followed by the number
of the host.
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
    """Select the guards of a withdrawal; a check disables one to show that it is needed.

    ``drop_covered``: a mark is dropped only where the revision in force lacks the key.
    ``higher_only``: a host never installs a lower revision.
    ``cover_at_head``: a mark is covered only by the platform's newest revision.
    ``keep_mark``: a received frame without the mark never removes it.
    """

    drop_covered: bool = True
    higher_only: bool = True
    cover_at_head: bool = True
    keep_mark: bool = True


@dataclass(frozen=True)
class _Host(NumberedProcess):
    """Access the variables of one host."""

    def accepts(self, state: State) -> z3.BoolRef:
        """Return whether the key works at this host."""
        return z3.And(self.get(state, "revision") == CREATED, self.get(state, "mark") == NO_MARK)


def create_withdrawal_system(
    hosts: int, guards: Guards = Guards()  # noqa: B008
) -> TransitionSystem:
    """Return the system of ``hosts`` hosts; ``seen``: the host has had the mark since its start."""
    members = [_Host(number + 1) for number in range(hosts)]
    variables: dict[str, z3.SortRef] = {"head": z3.IntSort()}
    steps: dict[str, Step] = {}
    for host in members:
        for name in ("revision", "mark", "covered"):
            variables[host.name(name)] = z3.IntSort()
        variables[host.name("seen")] = z3.BoolSort()
        for name, step in _create_local_steps(host, guards).items():
            steps[f"{name} {host.number}"] = step
        for other in members:
            if other != host:
                name = f"receive_marks {host.number} {other.number}"
                steps[name] = _create_receive_step(host, other, guards)
    return TransitionSystem(
        variables,
        initial=lambda state: z3.And(
            state["head"] == CREATED,
            *[state[name] == 0 for name in variables if name[:4] not in ("head", "seen")],
            *[z3.Not(host.get(state, "seen")) for host in members],
        ),
        steps=steps,
        invariant=lambda state: z3.And(
            state["head"] >= CREATED,
            state["head"] <= DELETED,
            *[is_consistent(state, host) for host in members],
        ),
    )


def is_refused(state: State, host: _Host) -> z3.BoolRef:
    """Return whether the host refuses the key if it has seen the withdrawal."""
    return z3.Implies(host.get(state, "seen"), z3.Not(host.accepts(state)))


def is_safe(state: State, hosts: int) -> z3.BoolRef:
    """Return the safety property: no host that has seen the withdrawal accepts the key."""
    return z3.And([is_refused(state, _Host(number + 1)) for number in range(hosts)])


def is_consistent(state: State, host: _Host) -> z3.BoolRef:
    """Return the inductive invariant of one host."""
    revision, mark = host.get(state, "revision"), host.get(state, "mark")
    return z3.And(
        is_refused(state, host),
        z3.And(revision >= 0, revision <= state["head"], mark >= NO_MARK, mark <= COVERED),
        z3.Implies(mark == COVERED, host.get(state, "covered") == DELETED),
        z3.Implies(mark == COVERED, state["head"] == DELETED),
        z3.Implies(z3.And(host.get(state, "seen"), mark == NO_MARK), revision == DELETED),
    )


def _create_local_steps(host: _Host, guards: Guards) -> dict[str, Step]:
    def is_newer(state: State) -> Any:
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
        is_absent = host.get(state, "revision") != CREATED
        covered = z3.If(is_absent, host.get(state, "revision"), DELETED)
        head = z3.If(is_absent, state["head"], DELETED)
        return {"head": head, **host.set(mark=COVERED, covered=covered)}

    return {
        "withdraw": Step(
            lambda state: host.get(state, "mark") == NO_MARK,
            lambda _: host.set(mark=OPEN, seen=True),
        ),
        "cover": Step(is_open, cover),
        "drop_oldest": Step(
            lambda state: z3.And(host.get(state, "mark") == COVERED, is_covered(state)),
            lambda _: host.set(mark=NO_MARK, covered=0),
        ),
        "install_snapshot": Step(
            lambda state: z3.And(
                state["frame"] >= CREATED, state["frame"] <= state["head"], is_newer(state)
            ),
            lambda state: host.set(revision=state["frame"]),
            inputs={"frame": z3.IntSort()},
        ),
        "restart_host": Step(
            lambda _: True, lambda _: host.set(revision=0, mark=NO_MARK, covered=0, seen=False)
        ),
    }


def _create_receive_step(host: _Host, other: _Host, guards: Guards) -> Step:
    def receive_marks(state: State) -> dict[str, Any]:
        own, received = host.get(state, "mark"), other.get(state, "mark")
        replaces = received > own if guards.keep_mark else received != own
        return host.set(
            mark=z3.If(replaces, received, own),
            covered=z3.If(replaces, other.get(state, "covered"), host.get(state, "covered")),
            seen=z3.Or(host.get(state, "seen"), received != NO_MARK),
        )

    return Step(lambda _: True, receive_marks)
