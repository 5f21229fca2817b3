"""Prove the models of leases and debits, and replay counterexamples of weakened ones."""

from dataclasses import replace

import pytest
import z3

from specifications import buckets, lease_states, leases
from specifications.search import (
    Counterexample,
    TransitionSystem,
    prove_inductive,
    search_bounded,
)
from tests.rates.fakes import Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates import leases as rate_leases
from turmericproxy.rates.table import RateTable
from turmericproxy.settings.schema import RateSettings

LEASES = leases.create_lease_system()
DEBITS = buckets.create_debit_system()
PROMISE_STEPS = ("wait", "ask_promise", "promise", "renew_by_lessor", "may_regrant", "regrant")
RATE = 1000.0


def replace_update(system: TransitionSystem, name: str, update) -> TransitionSystem:
    steps = {**system.steps, name: replace(system.steps[name], update=update)}
    return replace(system, steps=steps)


def keep_steps(system: TransitionSystem, names: tuple[str, ...]) -> TransitionSystem:
    return replace(system, steps={name: system.steps[name] for name in names})


def promise_while_marked(s):
    return {"promise": z3.IntVal(buckets.ANSWERED), "promise_granted": s["lessor_incarnation"] == 1}


def promise_earlier_incarnation(s):
    return {"promise": z3.IntVal(buckets.ANSWERED), "promise_granted": z3.Not(s["watched"])}


def is_marked_initially(s):
    """Return whether the state is the one after mark_lost, apply_mark and set_watch."""
    marked = {"version": 2, "standing": lease_states.LOST, "watch_version": 2, "mark_version": 1}
    zeros = ("now", "holder", "lease_2", "ready_2", "read", "promise", "watch_started_at")
    zeros += ("d_watch_version",)
    unset = ("has_2", "mark_sent", "regrant_sent", "has_c", "marked_by_d", "d_regrant_sent")
    return z3.And(
        *(s[name] == value for name, value in marked.items()),
        *(s[name] == 0 for name in zeros),
        *(z3.Not(s[name]) for name in unset),
        s["incarnation"] == 1,
        s["lessor_incarnation"] == 1,
        s["lease_1"] == lease_states.LEASE,
        s["has_1"],
        s["watched"],
    )


def may_regrant_without_wait(s):
    is_marked = z3.And(s["standing"] == lease_states.LOST, s["watch_version"] == s["version"])
    return z3.And(s["watched"], z3.Not(s["regrant_sent"]), is_marked)


def may_regrant_without_version(s):
    return z3.And(s["regrant_sent"], s["holder"] == lease_states.HELD_BY_A)


def may_begin_without_wait(s):
    return z3.And(s["incarnation"] == 2, s["standing"] == lease_states.OPEN)


def is_debit_usable_without_time_limit(s):
    return s["debit"] == buckets.ANSWERED


def test_bounded_search_finds_no_share_spent_twice():
    assert search_bounded(LEASES, 7) is None


def test_lease_invariant_is_inductive():
    assert prove_inductive(replace(LEASES, invariant=lease_states.is_lease_consistent)) is None


def test_bounded_search_finds_no_debits_over_the_burst():
    assert search_bounded(DEBITS, 7) is None


def test_debit_invariant_is_inductive():
    assert prove_inductive(replace(DEBITS, invariant=buckets.is_debit_consistent)) is None


WEAKENED = {
    "no wait before a regrant": (LEASES.replace_guard("may_regrant", may_regrant_without_wait), 6),
    "regrant whatever the version": (
        LEASES.replace_guard("regrant", may_regrant_without_version),
        9,
    ),
    "no wait after a takeover": (LEASES.replace_guard("begin", may_begin_without_wait), 3),
    "promise an earlier incarnation": (
        replace_update(LEASES, "promise", promise_earlier_incarnation),
        7,
    ),
    "promise while marked": (
        replace(
            keep_steps(replace_update(LEASES, "promise", promise_while_marked), PROMISE_STEPS),
            initial=is_marked_initially,
        ),
        15,
    ),
    "admit late answers": (DEBITS.replace_guard("admit", is_debit_usable_without_time_limit), 7),
    "give back all": (replace_update(DEBITS, "give_back", buckets.give_back_full_amount), 8),
}


@pytest.mark.parametrize("name", WEAKENED)
def test_weakened_system_has_a_counterexample(name):
    system, depth = WEAKENED[name]
    counterexample = search_bounded(system, depth)
    print(counterexample)
    assert counterexample is not None


class Replay:
    """Replay the steps of a counterexample on the managers of host a0 and its lessor a1."""

    def __init__(self) -> None:
        self.simulation = Simulation(seed=0)
        settings = RateSettings(regrant_after=float(lease_states.REGRANT_AFTER))
        self.settings = settings
        self.holder = Process(self.simulation, "a0", "a", settings)
        self.lessor = Process(self.simulation, "a1", "a", settings)
        self.second: Process | None = None
        self.simulation.set_account("a", RATE, 4000)
        for _ in range(40):
            self.holder.run_once()
            self.lessor.run_once()
            self.simulation.clock.now += 0.1
        row = self.simulation.table.read_row("rates", "host/a0")
        assert row and row.value["lessor"]["host"] == "a1"
        self.simulation.faults.unhealthy.add(HostName("a0"))
        self.simulation.faults.heartbeats_lost.add(HostName("a0"))
        self.wait(lease_states.LEASE * 0.6)

    def run(self, counterexample: Counterexample) -> None:
        for name, before, after in zip(
            counterexample.steps, counterexample.states, counterexample.states[1:], strict=False
        ):
            if name == "wait":
                self.wait(after["now"] - before["now"])
            else:
                getattr(self, name)()

    def wait(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.simulation.clock.now += 0.1
            for process in self.list_processes():
                process.managers.local_buckets.record_tick()
            self.lessor.run_once("host")

    def list_processes(self) -> list[Process]:
        return [p for p in (self.holder, self.lessor, self.second) if p]

    def mark_lost(self) -> None:
        self.simulation.faults.commit_faults.append("late")
        self.lessor.managers.regrant.run_once()

    def apply_mark(self) -> None:
        self.simulation.faults.delayed.pop()()

    def set_watch(self) -> None:
        self.lessor.managers.regrant.run_once()

    def may_regrant(self) -> None:
        self.simulation.faults.commit_faults.append("late")
        self.lessor.managers.regrant.run_once()

    def regrant(self) -> None:
        if self.simulation.faults.delayed:
            self.simulation.faults.delayed.pop()()
        self.lessor.managers.ledger.reload()

    def take_over(self) -> None:
        self.holder.is_paused = True
        self.second = Process(self.simulation, "a0", "a", self.settings)
        self.second.run_once("host")

    def begin(self) -> None:
        assert self.second
        self.second.run_once("host")

    def measure_total_rate(self) -> float:
        """Return the total rate that all processes may spend, in tokens per second."""
        open_managers = [
            p.managers for p in self.list_processes() if p.managers.local_buckets.is_open()
        ]
        buckets_held = [managers.local_buckets.find(AccountName("a")) for managers in open_managers]
        return sum(bucket.rate for bucket in buckets_held if bucket) / MICRO


def find_counterexample(name: str) -> Counterexample:
    system, depth = WEAKENED[name]
    counterexample = search_bounded(system, depth)
    assert counterexample is not None
    return counterexample


def may_regrant_at_once(row, version, watch, marker, now, regrant_after):
    return row.standing is rate_leases.Standing.LOST and version == watch.version


def test_replay_without_the_wait_before_a_regrant(monkeypatch):
    counterexample = find_counterexample("no wait before a regrant")
    replay = Replay()
    replay.run(counterexample)
    assert replay.measure_total_rate() == RATE
    monkeypatch.setattr(rate_leases, "may_regrant", may_regrant_at_once)
    replay = Replay()
    replay.run(counterexample)
    assert replay.measure_total_rate() > RATE


def test_replay_of_a_late_regrant_without_its_version_condition(monkeypatch):
    counterexample = find_counterexample("regrant whatever the version")
    replay = Replay()
    replay.run(counterexample)
    assert replay.measure_total_rate() == RATE
    commit = RateTable.commit_account
    monkeypatch.setattr(
        RateTable, "commit_account", lambda self, new, old, *guards: commit(self, new, old)
    )
    replay = Replay()
    replay.run(counterexample)
    assert replay.measure_total_rate() > RATE
