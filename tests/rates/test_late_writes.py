"""Check that delayed writes and pauses never let a share be spent twice."""

from tests.rates.fakes import Clock, Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates.leases import Lease
from turmericproxy.rates.local_buckets import NO_DEDUCTION, LocalBuckets
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
RATE = 1000
SETTINGS = RateSettings(regrant_after=4.0)


def start_hosts(simulation: Simulation, *names: str) -> list[Process]:
    processes = [Process(simulation, name, "a", SETTINGS) for name in names]
    simulation.set_account("a", RATE, 4000)
    run(simulation, processes, 4.0)
    return processes


def run(
    simulation: Simulation, processes: list[Process], seconds: float, part: str = "all"
) -> None:
    for _ in range(int(seconds * 10)):
        simulation.clock.now += 0.1
        for process in processes:
            process.run_once(part)
        assert measure_total_rate(processes) <= RATE


def measure_total_rate(processes: list[Process]) -> float:
    held = [p.managers.local_buckets for p in processes if p.managers.local_buckets.is_open()]
    found = [local_buckets.find(ACCOUNT) for local_buckets in held]
    return sum(bucket.rate for bucket in found if bucket) / MICRO


def drop_heartbeats(simulation: Simulation, name: str) -> None:
    simulation.faults.heartbeats_lost.add(HostName(name))


def test_a_share_is_not_spent_beyond_a_delayed_lower_write():
    simulation = Simulation(seed=0)
    holder, other = processes = start_hosts(simulation, "a0", "a1")
    simulation.set_account("a", RATE / 2, 2000)
    simulation.faults.commit_faults.append("late")
    holder.run_once("ledger")
    simulation.set_account("a", RATE, 4000)
    simulation.faults.commit_faults.append("refused")
    holder.run_once("ledger")
    simulation.faults.delayed.pop()()
    drop_heartbeats(simulation, "a0")
    for _ in range(40):
        simulation.clock.now += 0.1
        holder.run_once("host")
        other.managers.ledger.reload()
        other.run_once()
    assert other.managers.local_buckets.find(ACCOUNT).rate > RATE * MICRO / 2
    assert measure_total_rate(processes) <= RATE


def test_a_lessor_chosen_by_a_delayed_write_does_not_take_a_share_in_use():
    simulation = Simulation(seed=0)
    holder, *others = processes = start_hosts(simulation, "a0", "a1", "a2")
    row = simulation.table.read_row("rates", "host/a0")
    first = row.value["lessor"]["host"]
    second = next(p for p in others if p.host != first)
    drop_heartbeats(simulation, first)
    simulation.faults.commit_faults.append("late")
    holder.run_once("host")
    simulation.faults.heartbeats_lost.clear()
    simulation.faults.delayed.pop()()
    simulation.faults.cut_from_platform.add(HostName(first))
    drop_heartbeats(simulation, "a0")
    simulation.faults.unhealthy.add(HostName("a0"))
    run(simulation, processes, 20.0)
    row = simulation.table.read_row("rates", "host/a0")
    assert row.value["lessor"]["host"] == second.host


def test_two_hosts_that_find_the_same_host_lost_do_not_block_each_other():
    simulation = Simulation(seed=0)
    lost, *others = start_hosts(simulation, "a0", "a1", "a2")
    lost.is_dead = True
    for _ in range(100):
        simulation.clock.now += 0.1
        for process in others:
            # A watched host makes each process poll the platform in every run.
            process.managers.regrant._watched_hosts.add(lost.host)
            process.run_once()
    assert measure_total_rate(others) == RATE


def test_a_pause_ends_the_lease_before_anything_is_spent():
    clock = Clock()
    local_buckets = LocalBuckets(pause_limit=1.0, read_clock=clock.read)
    local_buckets.configure(ACCOUNT, RATE, 10, level=10)
    local_buckets.set_lease(Lease(clock.now + 100))
    assert local_buckets.deduct(ACCOUNT, 1, 1).amount == 1
    clock.now += 1.5
    assert local_buckets.deduct(ACCOUNT, 1, 1) == NO_DEDUCTION
    assert not local_buckets.record_tick()
    assert local_buckets.deduct(ACCOUNT, 1, 1) == NO_DEDUCTION


def test_a_deduction_is_given_back_once_and_not_after_its_host_has_closed():
    clock = Clock()
    local_buckets = LocalBuckets(pause_limit=1.0, read_clock=clock.read)
    local_buckets.configure(ACCOUNT, 1, 10, level=10)
    local_buckets.set_lease(Lease(clock.now + 100))
    deduction = local_buckets.deduct(ACCOUNT, 8, 8)
    local_buckets.give_back(deduction.id, 5)
    local_buckets.give_back(deduction.id, 5)
    assert local_buckets.find(ACCOUNT).level == 7
    deduction = local_buckets.deduct(ACCOUNT, 7, 7)
    assert local_buckets.close() == {ACCOUNT: 0}
    local_buckets.give_back(deduction.id, 7)
    assert local_buckets.find(ACCOUNT) is None


def test_a_host_stops_spending_if_an_earlier_process_takes_over_its_row():
    simulation = Simulation(seed=0)
    (earlier,) = start_hosts(simulation, "a0")
    later = Process(simulation, "a0", "a", SETTINGS)
    run(simulation, [later], 4.0)
    assert measure_total_rate([later]) == RATE
    # As if the earlier process had been paused before its takeover and resumed now.
    earlier.managers.host._own_row = None
    earlier.run_once("host")
    run(simulation, [later], 2.1)
    assert measure_total_rate([later]) == 0
