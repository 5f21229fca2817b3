"""Check under random faults that admitted tokens never exceed rate and burst."""

from dataclasses import dataclass

import pytest

from tests.rates.fakes import Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates.ledger import create_limit
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
RATE, BURST = 1000.0, 4000
# So large that a host returns long before the bucket of its share could have refilled.
DEEP_BURST = 60_000
SETTINGS = RateSettings(regrant_after=4.0, debit_timeout=0.1)
LAYOUT = (("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b"), ("b2", "b"), ("c0", "c"))
# Longer than the pause limit of 1 s, after which a process that resumes has lost its lease.
MIN_REPLACED_PAUSE_SECONDS = 1.1
SEEDS = range(16)
ACTIONS = 300
FAULT_PROBABILITY = 0.25


@dataclass(frozen=True)
class Admission:
    """Record the time of an admission in seconds, and its micro-tokens."""

    at: float
    amount: int


class FaultInjector:
    """Inject random faults into a simulation, and record what it admits."""

    def __init__(self, seed: int, changes_limit: bool = False, burst: int = BURST) -> None:
        self.changes_limit = changes_limit
        self.burst = burst
        self.simulation = Simulation(seed)
        self.rng = self.simulation.rng
        self.processes = [
            Process(self.simulation, host, domain, SETTINGS) for host, domain in LAYOUT
        ]
        self.resume_times: dict[Process, float] = {}
        self.admissions: list[Admission] = []
        self.simulation.set_account("a", RATE, burst)

    def settle(self, seconds: float) -> None:
        end = self.simulation.clock.now + seconds
        while self.simulation.clock.now < end:
            for process in self.processes:
                process.run_once()
            self.simulation.clock.now += 0.2

    def act(self) -> None:
        if self.rng.random() < FAULT_PROBABILITY:
            faults = {
                self.inject_message_fault: 10,
                self.deliver_late: 15,
                self.change_limit: 6 if self.changes_limit else 0,
                self.cut_domain: 3,
                self.isolate: 4,
                self.report_running_as_lost: 6,
                self.fail_platform: 2,
                self.heal: 5,
                self.pause: 5,
                self.resume: 8,
                self.kill: 3,
                self.restart: 6,
                self.replace_paused: 5,
                self.stop: 3,
            }
            self.rng.choices(list(faults), list(faults.values()))[0]()
        self.wait()
        for process in self.rng.sample(self.processes, len(self.processes)):
            process.run_once(self.rng.choice(["host", "ledger", "all", "none"]))
            self.check_total_rate()
            if self.rng.random() < 0.3:
                self.spend(process)
            if self.rng.random() < 0.1:
                self.debit(process)

    def choose_process(self) -> Process:
        return self.rng.choice(self.processes)

    def wait(self) -> None:
        self.simulation.clock.now += self.rng.uniform(0.01, 0.4)
        for process in self.processes:
            if process.is_running:
                process.managers.local_buckets.record_tick()

    def spend(self, process: Process) -> None:
        if process.is_running:
            amount = self.rng.randrange(1, 900) * MICRO
            deduction = process.managers.local_buckets.deduct(ACCOUNT, amount, 1)
            self.record_admission(deduction.amount)

    def spend_all(self) -> None:
        """Spend the tokens of all running hosts."""
        for process in self.processes:
            if process.is_running:
                self.record_admission(
                    process.managers.local_buckets.deduct(ACCOUNT, self.burst * MICRO, 1).amount
                )

    def debit(self, process: Process) -> None:
        row = process.managers.ledger.find_row(ACCOUNT)
        if not process.is_running or row is None:
            return
        need = self.rng.randrange(1, 2500) * MICRO
        flight = min(row.limit.flight / MICRO, SETTINGS.debit_timeout)
        started = self.simulation.clock.now
        others = tuple(s for s in row.shares if s.host != process.host)
        self.simulation.faults.max_delay_seconds = self.rng.choice([0.0, 0.02, 0.08])
        parts = process.managers.debit_client.collect(ACCOUNT, others, need, flight)
        self.simulation.faults.max_delay_seconds = 0.0
        amount = sum(part.amount for part in parts)
        if self.simulation.clock.now - started <= flight and self.rng.random() < 0.8:
            self.record_admission(amount)
        else:
            debit_client = process.managers.debit_client
            self.simulation.faults.delayed += [
                lambda: debit_client.give_back(ACCOUNT, parts, amount)
            ] * 2

    def record_admission(self, amount: int) -> None:
        self.admissions.append(Admission(self.simulation.clock.now, amount))

    def deliver_late(self) -> None:
        if self.simulation.faults.delayed:
            delayed = self.simulation.faults.delayed
            delayed.pop(self.rng.randrange(len(delayed)))()

    def inject_message_fault(self) -> None:
        faults = self.simulation.faults
        message_faults = self.rng.choice([faults.commit_faults, faults.call_faults])
        message_faults.append(self.rng.choice(["late", "late", "lost"]))

    def change_limit(self) -> None:
        """Lower the limit or raise it again, at most to its initial value."""
        share = self.rng.choice([0.2, 0.5, 1.0])
        self.simulation.set_account("a", RATE * share, int(self.burst * share))

    def cut_domain(self) -> None:
        cut_off = self.rng.choice(["a", "b", "c"])
        for one, domain in LAYOUT:
            for other, other_domain in LAYOUT:
                if domain == cut_off != other_domain:
                    self.simulation.faults.cut_links.add(
                        frozenset((HostName(one), HostName(other)))
                    )
        if self.rng.random() < 0.5:
            self.simulation.faults.cut_links.add(
                frozenset((self.choose_process().host, self.choose_process().host))
            )

    def isolate(self) -> None:
        """Cut a host or its domain off from the platform, and sometimes the host from its peers."""
        domain = self.rng.choice(["a", "b", "c"])
        hosts = [HostName(host) for host, own in LAYOUT if own == domain]
        chosen = hosts[: self.rng.choice([1, 3])]
        self.simulation.faults.cut_from_platform.update(chosen)
        if self.rng.random() < 0.5:
            for host, _ in LAYOUT:
                self.simulation.faults.cut_links.add(frozenset((HostName(host), chosen[0])))

    def report_running_as_lost(self) -> None:
        """Let the platform list a running host as gone, and drop its heartbeats."""
        host = self.choose_process().host
        self.simulation.faults.unhealthy.add(host)
        self.simulation.faults.heartbeats_lost.add(host)

    def fail_platform(self) -> None:
        self.simulation.faults.is_platform_down = True

    def heal(self) -> None:
        self.simulation.faults.is_platform_down = False
        self.simulation.faults.cut_links.clear()
        self.simulation.faults.cut_from_platform.clear()
        self.simulation.faults.unhealthy.clear()
        self.simulation.faults.heartbeats_lost.clear()

    def pause(self) -> None:
        process = self.choose_process()
        if sum(other.is_running for other in self.processes) > 3:
            process.is_paused = True

    def resume(self) -> None:
        for process, resumed_at in list(self.resume_times.items()):
            if self.simulation.clock.now >= resumed_at:
                process.is_paused = False
                del self.resume_times[process]
        process = self.choose_process()
        if process not in self.resume_times:
            process.is_paused = False

    def kill(self) -> None:
        process = self.choose_process()
        if sum(other.is_running for other in self.processes) > 3:
            process.is_dead = True

    def restart(self) -> None:
        for process in self.processes:
            if process.is_dead and self.simulation.hosts[process.host] is process:
                self.start_replacement(process)

    def replace_paused(self) -> None:
        process = self.choose_process()
        if process.is_paused and self.simulation.hosts[process.host] is process:
            self.resume_times[process] = self.simulation.clock.now + MIN_REPLACED_PAUSE_SECONDS
            self.start_replacement(process)

    def stop(self) -> None:
        process = self.choose_process()
        if process.is_running:
            process.managers.host.close()
            process.is_dead = True

    def start_replacement(self, old: Process) -> None:
        self.processes.append(Process(self.simulation, old.host, old.member.domain, SETTINGS))

    def check_total_rate(self) -> None:
        """Check that the open buckets of all hosts together don't exceed the rate."""
        total = 0
        for process in self.processes:
            bucket = process.managers.local_buckets.find(ACCOUNT)
            if bucket and not process.is_dead and process.managers.local_buckets.is_open():
                total += bucket.rate
        assert total <= RATE * MICRO

    def check_admissions(self) -> None:
        """Check with one central bucket that no interval exceeds rate and burst."""
        debt, last = 0.0, self.admissions[0].at if self.admissions else 0.0
        for admission in self.admissions:
            debt = max(0.0, debt - RATE * MICRO * (admission.at - last)) + admission.amount
            last = admission.at
            assert debt <= self.burst * MICRO


@pytest.mark.parametrize("seed", SEEDS)
def test_admitted_tokens_stay_within_rate_and_burst(seed):
    print("seed", seed)
    injector = FaultInjector(seed)
    injector.settle(5.0)
    for _ in range(ACTIONS):
        injector.act()
    injector.check_admissions()
    assert sum(admission.amount for admission in injector.admissions) > 0


@pytest.mark.parametrize("seed", range(6))
def test_returning_hosts_do_not_add_a_burst(seed):
    print("seed", seed)
    injector = FaultInjector(seed, burst=DEEP_BURST)
    injector.settle(5.0)
    for _ in range(ACTIONS):
        injector.act()
        injector.spend_all()
    injector.check_admissions()
    assert sum(admission.amount for admission in injector.admissions) > DEEP_BURST * MICRO


@pytest.mark.parametrize("seed", SEEDS)
def test_a_changing_limit_never_admits_more_than_its_maximum(seed):
    print("seed", seed)
    injector = FaultInjector(seed, changes_limit=True)
    injector.settle(5.0)
    for _ in range(ACTIONS):
        injector.act()
    injector.check_admissions()


@pytest.mark.parametrize("seed", range(4))
def test_the_whole_limit_is_held_again_after_all_faults_end(seed):
    print("seed", seed)
    injector = FaultInjector(seed)
    injector.settle(5.0)
    for _ in range(ACTIONS):
        injector.act()
    injector.heal()
    injector.simulation.faults.commit_faults.clear()
    injector.simulation.faults.call_faults.clear()
    for process in list(injector.processes):
        process.is_paused = False
        process.is_dead |= injector.simulation.hosts[process.host] is not process
    injector.restart()
    injector.settle(40.0)
    held = [p.managers.local_buckets.find(ACCOUNT) for p in injector.processes if p.is_running]
    limit = create_limit(RATE, BURST, SETTINGS.debit_timeout)
    assert sum(bucket.rate for bucket in held if bucket) == limit.rate
    assert sum(bucket.depth for bucket in held if bucket) == limit.burst
