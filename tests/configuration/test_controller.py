"""Check that changes are committed and replicated in spite of platform faults."""

import threading
from collections.abc import Iterator

import pytest

from tests.hosts import Fleet, create_host, run_fleet, wait_until
from turmericproxy.configuration.changes import Accepted, UnknownChange
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.configuration.resources import Kind
from turmericproxy.core import Refusal, ResultCode, Revision, RunState

ACCOUNT = {"rate": 100.0, "burst": 1000}


@pytest.fixture(scope="module")
def shared_fleet() -> Iterator[Fleet]:
    with run_fleet(3) as running:
        yield running


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Iterator[Fleet]:
    yield shared_fleet
    shared_fleet.reset()


def commit_account(controller: ConfigurationController, name: str, rate: float = 100.0) -> Accepted:
    result = controller.change(Kind.ACCOUNT, name, {**ACCOUNT, "rate": rate})
    assert isinstance(result, Accepted), result
    return result


def test_change_reaches_hosts_that_are_linked_only_through_other_hosts(fleet: Fleet) -> None:
    first, _, last = (host.configuration for host in fleet.hosts)
    fleet.set_faults(refuse_hosts=["h1", "h2"])
    accepted = commit_account(first, "satnica")
    fleet.wait_for_revision(accepted.revision)
    assert last.snapshot().find_account("satnica") == first.snapshot().find_account("satnica")
    assert last.find_change(accepted.change_id).is_accepted


def test_lost_answer_is_resolved_by_the_change_id(fleet: Fleet) -> None:
    before = fleet.revision
    fleet.set_faults(lose_next=1)
    accepted = commit_account(fleet.hosts[0].configuration, "a")
    assert accepted.revision == before + 1
    fleet.wait_for_revision(accepted.revision)


def test_delayed_commit_is_accepted_exactly_once(fleet: Fleet) -> None:
    fleet.set_faults(late_next=1, late=0.3)
    accepted = commit_account(fleet.hosts[0].configuration, "a")
    fleet.wait_for_revision(accepted.revision)
    assert commit_account(fleet.hosts[1].configuration, "b").revision == accepted.revision + 1


def test_unconfirmed_change_is_unknown_until_it_can_be_read(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    controller = fleet.hosts[0].configuration
    fleet.set_faults(lose_answers=1.0)
    commit = fleet.hosts[0].platform.commit

    def commit_and_stop_platform(transaction):  # type: ignore[no-untyped-def]
        outcome = commit(transaction)
        fleet.set_faults(down=True)
        return outcome

    monkeypatch.setattr(fleet.hosts[0].platform, "commit", commit_and_stop_platform)
    result = controller.change(Kind.ACCOUNT, "a", ACCOUNT, timeout=0.5)
    assert isinstance(result, UnknownChange)
    assert (result.code, result.run) == (ResultCode.CHANGE_UNKNOWN, RunState.UNKNOWN)
    assert controller.find_change(result.change_id).is_accepted is None
    fleet.set_faults(down=False, lose_answers=0.0)
    wait_until(lambda: controller.find_change(result.change_id).is_accepted is True)


def test_only_one_of_concurrent_changes_with_the_same_version_is_accepted(fleet: Fleet) -> None:
    version = commit_account(fleet.hosts[0].configuration, "a").revision
    fleet.wait_for_revision(version)
    results: list[Accepted | Refusal] = []

    def change_account(index: int) -> None:
        controller = fleet.hosts[index % 3].configuration
        spec = {**ACCOUNT, "rate": index + 1.0}
        results.append(controller.change(Kind.ACCOUNT, "a", spec, if_match=version))

    threads = [threading.Thread(target=change_account, args=(index,)) for index in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [result for result in results if isinstance(result, Refusal)]
    assert len(refused) == 5
    assert {refusal.code for refusal in refused} == {ResultCode.RESOURCE_CONFLICT}


def test_concurrent_unrelated_changes_are_all_accepted(fleet: Fleet) -> None:
    before = fleet.revision
    threads = [
        threading.Thread(target=commit_account, args=(fleet.hosts[n % 3].configuration, f"u{n}"))
        for n in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fleet.wait_for_revision(before + 6)
    accounts = fleet.hosts[2].configuration.snapshot().list_accounts()
    assert {f"u{n}" for n in range(6)} <= {account.name for account in accounts}


def test_changes_are_refused_while_the_platform_has_lost_its_rows() -> None:
    with run_fleet(1) as fleet, run_fleet(1) as empty:
        commit_account(fleet.hosts[0].configuration, "a")
        controller = empty.hosts[0].configuration
        controller._follower.install_deltas(  # as if received from a peer
            fleet.hosts[0].configuration.list_changes(Revision(0)) or ()
        )
        result = controller.change(Kind.ACCOUNT, "b", ACCOUNT)
        assert isinstance(result, Refusal) and result.code is ResultCode.PLATFORM_UNAVAILABLE
        assert controller.snapshot().revision == 1


def test_starting_host_fetches_from_a_peer_while_the_platform_is_down(fleet: Fleet) -> None:
    accepted = commit_account(fleet.hosts[0].configuration, "a")
    fleet.wait_for_revision(accepted.revision)
    fleet.set_faults(down=True)
    late = create_host("late", fleet.address)
    fleet.hosts.append(late)
    late.start()
    late.links.set_peers([fleet.hosts[2].address])
    fleet.wait_for_revision(accepted.revision, timeout=2.0)
    assert late.configuration.snapshot().find_account("a")
    wait_until(lambda: late.configuration.measure_age() < 60)


def test_host_behind_the_retained_changes_loads_the_full_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for module in ("store", "follower"):
        monkeypatch.setattr(f"turmericproxy.configuration.{module}.RETAINED_CHANGES", 3)
    with run_fleet(1) as fleet:
        for number in range(8):
            commit_account(fleet.hosts[0].configuration, f"a{number}")
        rows = fleet.hosts[0].platform.list_rows("configuration", "changes/")
        assert not isinstance(rows, Refusal) and len(rows) == 3
        late = create_host("late", fleet.address)
        fleet.hosts.append(late)
        late.start()
        fleet.wait_for_revision(8)
        assert len(late.configuration.snapshot().list_accounts()) == 8
