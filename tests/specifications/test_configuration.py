"""Check the specifications of changes, distribution and withdrawals, and replay counterexamples."""

import ast
from dataclasses import replace
from pathlib import Path

import pytest

from specifications import configuration, withdrawal
from specifications.configuration import (
    CommitGuards,
    DistributionGuards,
    create_commit_system,
    create_distribution_system,
    create_round_system,
    is_reporting_correct,
)
from specifications.search import (
    Counterexample,
    TransitionSystem,
    prove_inductive,
    search_bounded,
)
from specifications.withdrawal import Guards, create_withdrawal_system
from turmericproxy.configuration.changes import CommitOutcome, settle_change
from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.configuration.store import Head, create_transaction
from turmericproxy.core import KeyId, Revision, read_boottime
from turmericproxy.keys.marks import (
    MarkRegistry,
    MarkSet,
    decode_marks,
    drop_oldest,
    encode_marks,
)
from turmericproxy.tables import AnswerLost, Committed, Conflict, Row, Transaction

DEPTH = 9
PACKAGES = Path(__file__).parents[2] / "turmericproxy"
KEY = KeyId("k")


def find_commit_counterexample(guard: str) -> Counterexample:
    system = create_commit_system(2, CommitGuards(**{guard: False}))
    found = search_bounded(replace(system, invariant=lambda s: is_reporting_correct(s, 2)), DEPTH)
    assert found is not None
    return found


def find_withdrawal_counterexample(guard: str) -> Counterexample:
    system = create_withdrawal_system(2, Guards(**{guard: False}))
    found = search_bounded(replace(system, invariant=lambda s: withdrawal.is_safe(s, 2)), DEPTH)
    assert found is not None
    return found


SYSTEMS = {
    "commit": create_commit_system(3),
    "distribution": create_distribution_system(3),
    "rounds": create_round_system(5),
    "withdrawal": create_withdrawal_system(3),
}


@pytest.mark.parametrize("name", SYSTEMS)
def test_invariant_is_inductive(name: str) -> None:
    assert prove_inductive(SYSTEMS[name]) is None


@pytest.mark.parametrize("name", SYSTEMS)
def test_steps_are_named_after_functions(name: str) -> None:
    functions = {
        node.name.lstrip("_")
        for package in ("configuration", "keys", "tables")
        for path in (PACKAGES / package).glob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef)
    }
    environment = {*configuration.ENVIRONMENT, *withdrawal.ENVIRONMENT}
    assert {step.split()[0] for step in SYSTEMS[name].steps} <= functions | environment


@pytest.mark.parametrize(
    "weakened",
    [
        create_distribution_system(2, DistributionGuards(higher_only=False)),
        create_distribution_system(2, DistributionGuards(consecutive_only=False)),
        create_round_system(3, relays_changes=False),
    ],
    ids=["higher_only", "consecutive_only", "relays_changes"],
)
def test_distribution_without_a_guard_has_a_counterexample(weakened: TransitionSystem) -> None:
    assert search_bounded(weakened, DEPTH) is not None


class ScriptedPlatform:
    """Answer the commits of attempt ``own`` as in a run of the specification."""

    def __init__(self, run: Counterexample, own: str) -> None:
        self._steps = list(zip(run.steps, run.states, run.states[1:], strict=False))
        self._own = own
        self.stored: str | None = None

    def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost:
        own_id = transaction.id
        while self._steps:
            step, before, after = self._steps.pop(0)
            if step.startswith("apply_commit"):
                self.stored = self.stored or (own_id if step.endswith(self._own) else "other")
            if step == f"settle_change {self._own}":
                if after[f"uncertain_{self._own}"] and not before[f"uncertain_{self._own}"]:
                    return AnswerLost("lost")
                return Conflict((0,)) if self.stored else AnswerLost("lost")
        if self.stored:
            return Conflict((0,))
        self.stored = own_id
        return Committed({})

    def apply_pending_commit(self) -> None:
        """Apply a copy that is still in transit."""
        self.stored = self.stored or "own"

    def read_row(self, table: str, key: str) -> Row | None:
        value = {"change_id": self.stored, "kind": "model", "name": "m", "spec": None}
        return Row(key, value, 1) if self.stored else None


def test_transaction_without_its_condition_on_the_head_commits_twice() -> None:
    run = find_commit_counterexample("check_head")
    assert sum(step.startswith("apply_") for step in run.steps) == 2


@pytest.mark.parametrize("guard", ["read_after_lost_answer", "compare_change_id", "resend_missing"])
def test_settle_change_is_correct_in_counterexamples_of_weakened_systems(guard: str) -> None:
    run = find_commit_counterexample(guard)
    own = next(step.split()[1] for step in run.steps if step.startswith("settle_change"))
    platform = ScriptedPlatform(run, own)
    delta = Delta(Revision(1), ChangeId("own"), Kind.MODEL, "m", None)
    transaction = create_transaction(delta, Head(Revision(0), None), None)
    deadline = read_boottime() + 5
    result = settle_change(platform, transaction, delta, deadline, lambda _: None)  # type: ignore[arg-type]
    platform.apply_pending_commit()
    expected = CommitOutcome.COMMITTED if platform.stored == "own" else CommitOutcome.OVERTAKEN
    assert result is expected


class ReplayedHost:
    """Run the steps of the withdrawal specification on the components of a host."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.register = MarkRegistry()
        self.has_seen_mark = False

    @property
    def revision(self) -> Revision:
        return self.state.snapshot().revision

    def accepts(self) -> bool:
        return self.revision == withdrawal.CREATED and not self.register.is_marked(KEY)

    def run(self, name: str, frame: int, other: "ReplayedHost | None") -> None:
        match name:
            case "withdraw":
                self.register.add(MarkSet(frozenset({KEY})), self.revision)
            case "cover":
                covered = {KEY: Revision(withdrawal.DELETED)}
                self.register.add(MarkSet(frozenset(), covered), self.revision)
            case "drop_oldest":
                self.register._marks = drop_oldest(self.register.marks(), self.revision, kept=0)
            case "install_snapshot":
                self.state.install_snapshot(Snapshot(Revision(frame)))
            case "receive_marks":
                assert other is not None
                marks = decode_marks(encode_marks(other.register.marks()))
                self.register.add(marks, self.revision)
            case "restart_host":
                self.__init__()  # type: ignore[misc]


@pytest.mark.parametrize("guard", ["drop_covered", "higher_only", "cover_at_head", "keep_mark"])
def test_withdrawn_key_is_refused_in_counterexamples_of_weakened_systems(guard: str) -> None:
    run = find_withdrawal_counterexample(guard)
    hosts = {"1": ReplayedHost(), "2": ReplayedHost()}
    for step, after in zip(run.steps, run.states[1:], strict=True):
        name, number, *others = step.split()
        host = hosts[number]
        frame = int(after[f"revision_{number}"])
        host.run(name, frame, hosts[others[0]] if others else None)
        host.has_seen_mark = host.has_seen_mark or host.register.is_marked(KEY)
        assert not any(h.has_seen_mark and h.accepts() for h in hosts.values()), str(run)
