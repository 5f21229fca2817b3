"""Check under random failures that no tokens are ever admitted beyond rate and burst."""

from dataclasses import dataclass

import pytest

from tests.rates.fakes import Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates.ledger import create_limit
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
RATE, BURST = 1000.0, 4000
# A host is back long before its part of this burst would have been filled again.
DEEP_BURST = 60_000
SETTINGS = RateSettings(regrant_after=4.0, debit_timeout=0.1)
LAYOUT = (("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b"), ("b2", "b"), ("c0", "c"))
SHORTEST_REPLACED_PAUSE = 1.1
SEEDS = range(16)
ACTIONS = 300
FAULT_SHARE = 0.25


@dataclass(frozen=True)
class Admission:
    """Hold what was admitted and when, in seconds and micro-tokens."""

    at: float
    amount: int


class Chaos:
    """Take random actions and record what is admitted."""

    def __init__(self, seed: int, changes_limit: bool = False, burst: int = BURST) -> None:
        self.changes_limit = changes_limit
        self.burst = burst
        self.simulation = Simulation(seed)
        self.draw = self.simulation.draw
        self.processes = [
            Process(self.simulation, host, domain, SETTINGS) for host, domain in LAYOUT
        ]
        self.replaced_pauses: dict[Process, float] = {}
        self.admissions: list[Admission] = []
        self.simulation.set_account("a", RATE, burst)

    def settle(self, seconds: float) -> None:
        end = self.simulation.clock.now + seconds
        while self.simulation.clock.now < end:
            for process in self.processes:
                process.run_once()
            self.simulation.clock.now += 0.2

    def act(self) -> None:
        if self.draw.random() < FAULT_SHARE:
            faults = {
                self.break_next: 10,
                self.deliver_late: 15,
                self.change_limit: 6 if self.changes_limit else 0,
                self.cut: 3,
                self.isolate: 4,
                self.mistake: 6,
                self.fail_platform: 2,
                self.heal: 5,
                self.pause: 5,
                self.resume: 8,
                self.kill: 3,
                self.restart: 6,
                self.replace_paused: 5,
                self.stop: 3,
            }
            self.draw.choices(list(faults), list(faults.values()))[0]()
        self.wait()
        for process in self.draw.sample(self.processes, len(self.processes)):
            process.run_once(self.draw.choice(["host", "ledger", "all", "none"]))
            self.check_rights()
            if self.draw.random() < 0.3:
                self.spend(process)
            if self.draw.random() < 0.1:
                self.debit(process)

    def choose(self) -> Process:
        return self.draw.choice(self.processes)

    def wait(self) -> None:
        self.simulation.clock.now += self.draw.uniform(0.01, 0.4)
        for process in self.processes:
            if process.runs:
                process.managers.local_buckets.record_tick()

    def spend(self, process: Process) -> None:
        if process.runs:
            amount = self.draw.randrange(1, 900) * MICRO
            taken = process.managers.local_buckets.deduct(ACCOUNT, amount, 1)
            self.record(taken.amount)

    def drain(self) -> None:
        """Spend all that any host holds."""
        for process in self.processes:
            if process.runs:
                self.record(
                    process.managers.local_buckets.deduct(ACCOUNT, self.burst * MICRO, 1).amount
                )

    def debit(self, process: Process) -> None:
        row = process.managers.ledger.find_row(ACCOUNT)
        if not process.runs or row is None:
            return
        need = self.draw.randrange(1, 2500) * MICRO
        flight = min(row.limit.flight / MICRO, SETTINGS.debit_timeout)
        started = self.simulation.clock.now
        others = tuple(s for s in row.shares if s.host != process.host)
        self.simulation.faults.slowness = self.draw.choice([0.0, 0.02, 0.08])
        parts = process.managers.debit_client.collect(ACCOUNT, others, need, flight)
        self.simulation.faults.slowness = 0.0
        amount = sum(part.amount for part in parts)
        if self.simulation.clock.now - started <= flight and self.draw.random() < 0.8:
            self.record(amount)
        else:
            debit_client = process.managers.debit_client
            self.simulation.faults.delayed += [
                lambda: debit_client.give_back(ACCOUNT, parts, amount)
            ] * 2

    def record(self, amount: int) -> None:
        self.admissions.append(Admission(self.simulation.clock.now, amount))

    def deliver_late(self) -> None:
        if self.simulation.faults.delayed:
            late = self.simulation.faults.delayed
            late.pop(self.draw.randrange(len(late)))()

    def break_next(self) -> None:
        faults = self.simulation.faults
        fates = self.draw.choice([faults.commit_faults, faults.call_faults])
        fates.append(self.draw.choice(["late", "late", "lost"]))

    def change_limit(self) -> None:
        """Lower the limit or raise it again, never beyond what it was at first."""
        share = self.draw.choice([0.2, 0.5, 1.0])
        self.simulation.set_account("a", RATE * share, int(self.burst * share))

    def cut(self) -> None:
        left = self.draw.choice(["a", "b", "c"])
        for one, domain in LAYOUT:
            for other, other_domain in LAYOUT:
                if domain == left != other_domain:
                    self.simulation.faults.cut.add(frozenset((HostName(one), HostName(other))))
        if self.draw.random() < 0.5:
            self.simulation.faults.cut.add(frozenset((self.choose().host, self.choose().host)))

    def isolate(self) -> None:
        """Cut a host or a whole domain from the platform, and at times from its peers."""
        domain = self.draw.choice(["a", "b", "c"])
        hosts = [HostName(host) for host, own in LAYOUT if own == domain]
        chosen = hosts[: self.draw.choice([1, 3])]
        self.simulation.faults.cut_from_platform.update(chosen)
        if self.draw.random() < 0.5:
            for host, _ in LAYOUT:
                self.simulation.faults.cut.add(frozenset((HostName(host), chosen[0])))

    def mistake(self) -> None:
        """Let the platform or the peers take a running host for lost."""
        host = self.choose().host
        self.simulation.faults.unhealthy.add(host)
        self.simulation.faults.heartbeats_lost.add(host)

    def fail_platform(self) -> None:
        self.simulation.faults.is_platform_down = True

    def heal(self) -> None:
        self.simulation.faults.is_platform_down = False
        self.simulation.faults.cut.clear()
        self.simulation.faults.cut_from_platform.clear()
        self.simulation.faults.unhealthy.clear()
        self.simulation.faults.heartbeats_lost.clear()

    def pause(self) -> None:
        process = self.choose()
        if sum(other.runs for other in self.processes) > 3:
            process.is_paused = True

    def resume(self) -> None:
        for process, resumed_at in list(self.replaced_pauses.items()):
            if self.simulation.clock.now >= resumed_at:
                process.is_paused = False
                del self.replaced_pauses[process]
        process = self.choose()
        if process not in self.replaced_pauses:
            process.is_paused = False

    def kill(self) -> None:
        process = self.choose()
        if sum(other.runs for other in self.processes) > 3:
            process.is_dead = True

    def restart(self) -> None:
        for process in self.processes:
            if process.is_dead and self.simulation.hosts[process.host] is process:
                self.start_again(process)

    def replace_paused(self) -> None:
        process = self.choose()
        if process.is_paused and self.simulation.hosts[process.host] is process:
            self.replaced_pauses[process] = self.simulation.clock.now + SHORTEST_REPLACED_PAUSE
            self.start_again(process)

    def stop(self) -> None:
        process = self.choose()
        if process.runs:
            process.managers.host.close()
            process.is_dead = True

    def start_again(self, old: Process) -> None:
        self.processes.append(Process(self.simulation, old.host, old.member.domain, SETTINGS))

    def check_rights(self) -> None:
        total = 0
        for process in self.processes:
            bucket = process.managers.local_buckets.find(ACCOUNT)
            if bucket and not process.is_dead and process.managers.local_buckets.is_open():
                total += bucket.rate
        assert total <= RATE * MICRO

    def check_admissions(self) -> None:
        """Check every interval between two admissions by the level of one central bucket."""
        debt, last = 0.0, self.admissions[0].at if self.admissions else 0.0
        for admission in self.admissions:
            debt = max(0.0, debt - RATE * MICRO * (admission.at - last)) + admission.amount
            last = admission.at
            assert debt <= self.burst * MICRO


@pytest.mark.parametrize("seed", SEEDS)
def test_admitted_tokens_stay_within_rate_and_burst(seed):
    print("seed", seed)
    chaos = Chaos(seed)
    chaos.settle(5.0)
    for _ in range(ACTIONS):
        chaos.act()
    chaos.check_admissions()
    assert sum(admission.amount for admission in chaos.admissions) > 0


@pytest.mark.parametrize("seed", range(6))
def test_hosts_that_come_back_do_not_bring_a_burst_with_them(seed):
    print("seed", seed)
    chaos = Chaos(seed, burst=DEEP_BURST)
    chaos.settle(5.0)
    for _ in range(ACTIONS):
        chaos.act()
        chaos.drain()
    chaos.check_admissions()
    assert sum(admission.amount for admission in chaos.admissions) > DEEP_BURST * MICRO


@pytest.mark.parametrize("seed", SEEDS)
def test_a_changing_limit_never_hands_out_more_than_its_highest(seed):
    print("seed", seed)
    chaos = Chaos(seed, changes_limit=True)
    chaos.settle(5.0)
    for _ in range(ACTIONS):
        chaos.act()
    chaos.check_admissions()


@pytest.mark.parametrize("seed", range(4))
def test_all_tokens_are_handed_out_again_once_all_is_well(seed):
    print("seed", seed)
    chaos = Chaos(seed)
    chaos.settle(5.0)
    for _ in range(ACTIONS):
        chaos.act()
    chaos.heal()
    chaos.simulation.faults.commit_faults.clear()
    chaos.simulation.faults.call_faults.clear()
    for process in list(chaos.processes):
        process.is_paused = False
        process.is_dead |= chaos.simulation.hosts[process.host] is not process
    chaos.restart()
    chaos.settle(40.0)
    held = [p.managers.local_buckets.find(ACCOUNT) for p in chaos.processes if p.runs]
    limit = create_limit(RATE, BURST, SETTINGS.debit_timeout)
    assert sum(bucket.rate for bucket in held if bucket) == limit.rate
    assert sum(bucket.depth for bucket in held if bucket) == limit.burst
