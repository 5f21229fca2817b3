"""Prove the model of leases and debits, find what each guard prevents, and replay it."""

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
    return {"asked": z3.IntVal(buckets.ANSWERED), "asked_granted": s["guarded"] == 1}


def promise_earlier_incarnation(s):
    return {"asked": z3.IntVal(buckets.ANSWERED), "asked_granted": z3.Not(s["watched"])}


def start_marked(s):
    """Return the state after mark_lost, apply_mark and set_watch."""
    marked = {"version": 2, "standing": lease_states.LOST, "watch_version": 2, "mark_version": 1}
    zeros = ("now", "holder", "lease_2", "ready_2", "read", "asked", "watch_since")
    zeros += ("watch_d_version",)
    false = ("has_2", "mark_sent", "regrant_sent", "has_c", "marked_by_d", "regrant_d_sent")
    return z3.And(
        *(s[name] == value for name, value in marked.items()),
        *(s[name] == 0 for name in zeros),
        *(z3.Not(s[name]) for name in false),
        s["incarnation"] == 1,
        s["guarded"] == 1,
        s["lease_1"] == lease_states.LEASE,
        s["has_1"],
        s["watched"],
    )


def without_wait(s):
    is_marked = z3.And(s["standing"] == lease_states.LOST, s["watch_version"] == s["version"])
    return z3.And(s["watched"], z3.Not(s["regrant_sent"]), is_marked)


def without_version(s):
    return z3.And(s["regrant_sent"], s["holder"] == lease_states.OF_A)


def without_takeover_wait(s):
    return z3.And(s["incarnation"] == 2, s["standing"] == lease_states.OPEN)


def without_flight_limit(s):
    return s["debit"] == buckets.ANSWERED


def test_no_short_run_spends_a_share_twice():
    assert search_bounded(LEASES, 7) is None


def test_leases_keep_an_inductive_invariant():
    assert prove_inductive(replace(LEASES, invariant=lease_states.strengthen_lease)) is None


def test_no_short_run_of_debits_exceeds_the_burst():
    assert search_bounded(DEBITS, 7) is None


def test_debits_keep_an_inductive_invariant():
    assert prove_inductive(replace(DEBITS, invariant=buckets.strengthen_debit)) is None


BROKEN = {
    "no wait before a regrant": (LEASES.replace_guard("may_regrant", without_wait), 6),
    "regrant whatever the version": (LEASES.replace_guard("regrant", without_version), 9),
    "no wait after a takeover": (LEASES.replace_guard("begin", without_takeover_wait), 3),
    "promise an earlier incarnation": (
        replace_update(LEASES, "promise", promise_earlier_incarnation),
        7,
    ),
    "promise while marked": (
        replace(
            keep_steps(replace_update(LEASES, "promise", promise_while_marked), PROMISE_STEPS),
            initial=start_marked,
        ),
        15,
    ),
    "admit late answers": (DEBITS.replace_guard("admit", without_flight_limit), 7),
    "give back all": (replace_update(DEBITS, "give_back", buckets.give_back_all), 8),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_guard_prevents_a_counterexample(name):
    system, depth = BROKEN[name]
    found = search_bounded(system, depth)
    print(found)
    assert found is not None


class Replay:
    """Take the steps of a counterexample on the managers of host a0 and its lessor a1."""

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

    def run(self, found: Counterexample) -> None:
        for name, before, after in zip(found.steps, found.states, found.states[1:], strict=False):
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

    def measure_rights(self) -> float:
        """Return the tokens a second that all processes together may spend."""
        found = [p.managers for p in self.list_processes() if p.managers.local_buckets.is_open()]
        held = [managers.local_buckets.find(AccountName("a")) for managers in found]
        return sum(bucket.rate for bucket in held if bucket) / MICRO


def find(name: str) -> Counterexample:
    system, depth = BROKEN[name]
    found = search_bounded(system, depth)
    assert found is not None
    return found


def regrant_at_once(row, version, watch, marker, now, regrant_after):
    return row.standing is rate_leases.Standing.LOST and version == watch.version


def test_replay_without_the_wait_before_a_regrant(monkeypatch):
    found = find("no wait before a regrant")
    replay = Replay()
    replay.run(found)
    assert replay.measure_rights() == RATE
    monkeypatch.setattr(rate_leases, "may_regrant", regrant_at_once)
    replay = Replay()
    replay.run(found)
    assert replay.measure_rights() > RATE


def test_replay_of_a_late_regrant_without_its_condition(monkeypatch):
    found = find("regrant whatever the version")
    replay = Replay()
    replay.run(found)
    assert replay.measure_rights() == RATE
    commit = RateTable.commit_account
    monkeypatch.setattr(
        RateTable, "commit_account", lambda self, new, old, *guards: commit(self, new, old)
    )
    replay = Replay()
    replay.run(found)
    assert replay.measure_rights() > RATE
