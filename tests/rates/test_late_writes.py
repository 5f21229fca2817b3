"""Check that writes whose answers were lost, and pauses, never let a share be spent twice."""

from tests.rates.fakes import Clock, Process, World
from turmericproxy.core import AccountName, HostName
from turmericproxy.core.bucket import MICRO
from turmericproxy.rates.holdings import NOTHING_TAKEN, Holdings
from turmericproxy.rates.leases import Lease
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
RATE = 1000
SETTINGS = RateSettings(regrant_after=4.0)


def start_hosts(world: World, *names: str) -> list[Process]:
    processes = [Process(world, name, "a", SETTINGS) for name in names]
    world.set_account("a", RATE, 4000)
    run(world, processes, 4.0)
    return processes


def run(world: World, processes: list[Process], seconds: float, part: str = "all") -> None:
    for _ in range(int(seconds * 10)):
        world.clock.now += 0.1
        for process in processes:
            process.step(part)
        assert measure_rights(processes) <= RATE


def measure_rights(processes: list[Process]) -> float:
    held = [p.keepers.holdings for p in processes if p.keepers.holdings.is_open()]
    found = [holdings.find(ACCOUNT) for holdings in held]
    return sum(bucket.rate for bucket in found if bucket) / MICRO


def mark_as_silent(world: World, name: str) -> None:
    world.faults.silent.add(HostName(name))


def test_a_lowered_share_that_is_written_late_is_not_spent_in_the_meantime():
    world = World(seed=0)
    holder, other = processes = start_hosts(world, "a0", "a1")
    world.set_account("a", RATE / 2, 2000)
    world.faults.commit_fates.append("late")
    holder.step("ledger")
    world.set_account("a", RATE, 4000)
    world.faults.commit_fates.append("refused")
    holder.step("ledger")
    world.faults.late.pop()()
    mark_as_silent(world, "a0")
    for _ in range(40):
        world.clock.now += 0.1
        holder.step("host")
        other.keepers.ledger.reload()
        other.step()
    assert other.keepers.holdings.find(ACCOUNT).rate > RATE * MICRO / 2
    assert measure_rights(processes) <= RATE


def test_a_lessor_that_is_chosen_by_a_late_write_does_not_take_a_share_in_use():
    world = World(seed=0)
    holder, *others = processes = start_hosts(world, "a0", "a1", "a2")
    row = world.table.read_row("rates", "host/a0")
    first = row.value["lessor"]["host"]
    second = next(p for p in others if p.host != first)
    mark_as_silent(world, first)
    world.faults.commit_fates.append("late")
    holder.step("host")
    world.faults.silent.clear()
    world.faults.late.pop()()
    world.faults.cut_from_platform.add(HostName(first))
    mark_as_silent(world, "a0")
    world.faults.unhealthy.add(HostName("a0"))
    run(world, processes, 20.0)
    row = world.table.read_row("rates", "host/a0")
    assert row.value["lessor"]["host"] == second.host


def test_two_hosts_that_find_the_same_host_lost_do_not_hinder_each_other():
    world = World(seed=0)
    lost, *others = start_hosts(world, "a0", "a1", "a2")
    lost.is_dead = True
    for _ in range(100):
        world.clock.now += 0.1
        for process in others:
            # Poll at every step, as if each had found the host silent.
            process.keepers.regrant._watched.add(lost.host)
            process.step()
    assert measure_rights(others) == RATE


def test_a_pause_ends_the_lease_before_anything_is_spent():
    clock = Clock()
    holdings = Holdings(pause_limit=1.0, read_clock=clock.read)
    holdings.install(ACCOUNT, RATE, 10, level=10)
    holdings.set_lease(Lease(clock.now + 100))
    assert holdings.take(ACCOUNT, 1, 1).amount == 1
    clock.now += 1.5
    assert holdings.take(ACCOUNT, 1, 1) == NOTHING_TAKEN
    assert not holdings.record_tick()
    assert holdings.take(ACCOUNT, 1, 1) == NOTHING_TAKEN


def test_a_deduction_is_given_back_once_and_not_after_its_host_has_closed():
    clock = Clock()
    holdings = Holdings(pause_limit=1.0, read_clock=clock.read)
    holdings.install(ACCOUNT, 1, 10, level=10)
    holdings.set_lease(Lease(clock.now + 100))
    taken = holdings.take(ACCOUNT, 8, 8)
    holdings.give_back(taken.id, 5)
    holdings.give_back(taken.id, 5)
    assert holdings.find(ACCOUNT).level == 7
    taken = holdings.take(ACCOUNT, 7, 7)
    assert holdings.close() == {ACCOUNT: 0}
    holdings.give_back(taken.id, 7)
    assert holdings.find(ACCOUNT) is None


def test_a_host_whose_row_was_taken_by_an_earlier_process_stops_spending():
    world = World(seed=0)
    (earlier,) = start_hosts(world, "a0")
    later = Process(world, "a0", "a", SETTINGS)
    run(world, [later], 4.0)
    assert measure_rights([later]) == RATE
    # The earlier process was paused before it had begun, and begins now.
    earlier.keepers.host._own = None
    earlier.step("host")
    run(world, [later], 2.1)
    assert measure_rights([later]) == 0
