"""Check that hosts that have just started get a share of a new split."""

from tests.rates.fakes import Process, Simulation
from turmericproxy.core import AccountName, HostName
from turmericproxy.settings.schema import RateSettings

ACCOUNT = AccountName("a")
SETTINGS = RateSettings(regrant_after=4.0)


def start_pair(simulation: Simulation) -> tuple[Process, Process]:
    """Start two hosts of two domains, wait for their leases, and then add an account."""
    first, second = (
        Process(simulation, name, domain, SETTINGS) for name, domain in (("a", "x"), ("b", "y"))
    )
    for _ in range(20):
        simulation.clock.now += 0.1
        first.run_once()
        second.run_once()
    simulation.set_account("a", 1000, 4000)
    return first, second


def test_a_reachable_peer_missing_from_the_platform_list_gets_a_share():
    simulation = Simulation(seed=0)
    first, _second = start_pair(simulation)
    simulation.faults.unhealthy.add(HostName("b"))
    first.run_once("ledger")
    row = first.managers.ledger.find_row(ACCOUNT)
    assert row is not None and {share.host for share in row.shares} == {"a", "b"}


def test_a_message_about_a_new_split_triggers_a_run_at_once():
    simulation = Simulation(seed=0)
    first, second = start_pair(simulation)
    wakes: list[str] = []
    second.managers.ledger.wake = lambda: wakes.append("second")
    first.run_once("ledger")
    assert wakes == ["second"]
    second.run_once("ledger")
    first.run_once("ledger")
    # Changes of a known split wait for the next regular run, so that hosts don't run in lockstep.
    assert wakes == ["second"]
