"""Check that hosts which have only just started get their part of a first split."""

from tests.rates.fakes import Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
SETTINGS = RateSettings(regrant_after=4.0)


def start_pair(simulation: Simulation) -> tuple[Process, Process]:
    """Return two hosts of two domains whose leases are open, before there is any account."""
    first, second = (
        Process(simulation, name, domain, SETTINGS) for name, domain in (("a", "x"), ("b", "y"))
    )
    for _ in range(20):
        simulation.clock.now += 0.1
        first.run_once()
        second.run_once()
    simulation.set_account("a", 1000, 4000)
    return first, second


def test_a_peer_that_the_platform_does_not_list_yet_gets_a_share():
    simulation = Simulation(seed=0)
    first, _second = start_pair(simulation)
    simulation.faults.unhealthy.add(HostName("b"))
    first.run_once("ledger")
    row = first.managers.ledger.find_row(ACCOUNT)
    assert row is not None and {share.host for share in row.shares} == {"a", "b"}


def test_a_host_that_is_told_of_a_new_split_looks_at_once():
    simulation = Simulation(seed=0)
    first, second = start_pair(simulation)
    looks: list[str] = []
    second.managers.ledger.wake = lambda: looks.append("second")
    first.run_once("ledger")
    assert looks == ["second"]
    second.run_once("ledger")
    first.run_once("ledger")
    # Further changes of a known split wait for the next step, so that hosts don't look in step.
    assert looks == ["second"]
