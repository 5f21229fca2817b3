"""Check rollouts while the decider, the store or links between hosts fail, and orders change."""

import json
import random
from collections.abc import Callable

import pytest

from tests.releases.support import (
    BOUNDS,
    DELAY_SECONDS,
    Fleet,
    FrozenError,
    Host,
    Served,
    check_exposure,
)
from tests.releases.test_fleet import make_bad
from turmericproxy.core import HostName
from turmericproxy.releases.decider import RELEASE_TABLE
from turmericproxy.releases.exposure import DECIDER_TIMEOUT_SECONDS
from turmericproxy.releases.orders import ReleasePhase, read_state
from turmericproxy.tables.messages import Transaction

DURATION = 60.0
# Time in which hosts that are still told by a decider have stopped: batches and one check.
NOTICE_DELAY_SECONDS = 0.6


def find_written_phase(transaction: Transaction) -> tuple[ReleasePhase, int] | None:
    for write in transaction.writes:
        if write.table == RELEASE_TABLE:
            state = read_state(write.value)
            return state.phase, state.step
    return None


def stop_at(fleet: Fleet, point: tuple[ReleasePhase, int | None], *, is_before: bool) -> list[Host]:
    """End the first decider that writes a phase, and step, right before or after the write."""
    stopped: list[Host] = []

    def watch(host: Host) -> Callable[[Transaction], None]:
        def stop(transaction: Transaction) -> None:
            written = find_written_phase(transaction)
            if stopped or written is None or written[0] is not point[0]:
                return
            if point[1] in (None, written[1]):
                stopped.append(host)
                raise FrozenError

        return stop

    for host in fleet.hosts.values():
        if is_before:
            host.link.before_write = watch(host)
        else:
            host.link.after_write = watch(host)
    return stopped


@pytest.mark.parametrize("is_before", [True, False])
@pytest.mark.parametrize("step", [0, 2, 4, 6])
def test_good_version_completes_though_a_decider_ends_at_a_step(step: int, is_before: bool) -> None:
    """Guard against a rollout that stays at a step, since its decider was killed as it wrote."""
    fleet = Fleet()
    stopped = stop_at(fleet, (ReleasePhase.STEPPING, step), is_before=is_before)
    fleet.order(duration=DURATION)
    seconds = fleet.run(DURATION, fleet.is_decided)
    assert stopped
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert seconds < 0.85 * DURATION


@pytest.mark.parametrize("is_before", [True, False])
@pytest.mark.parametrize("phase", [ReleasePhase.FINISHING, ReleasePhase.COMPLETED])
def test_completion_survives_the_end_of_its_decider(phase: ReleasePhase, is_before: bool) -> None:
    """Guard against requests to old versions after completion, or a status that never comes."""
    fleet = Fleet()
    stopped = stop_at(fleet, (phase, None), is_before=is_before)
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert stopped
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert not fleet.list_open("v1")
    completed_at = fleet.now
    fleet.run(3.0)
    assert fleet.count("v1", since=completed_at) == 0
    assert json.loads(fleet.find_status() or b"")["state"] == "completed"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("is_before", [True, False])
def test_bad_version_is_rolled_back_though_the_decider_ends_at_the_verdict(
    is_before: bool, seed: int
) -> None:
    """Guard against a bad version that goes on getting requests while nobody decides."""
    fleet = Fleet(seed=seed)
    fleet.serve = make_bad(0.4, seed, from_share=0.15)
    stopped = stop_at(fleet, (ReleasePhase.ROLLED_BACK, None), is_before=is_before)
    ordered_at = fleet.now
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert stopped
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(6.0)
    check_exposure(fleet, ordered_at, DURATION)
    assert json.loads(fleet.find_status() or b"")["state"] == "rolled_back"


def test_decider_that_was_frozen_changes_nothing_when_it_goes_on() -> None:
    """Guard against an old decider that raises the share after another one has rolled back."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(10.0)
    frozen = fleet.find_decider()
    state = frozen.controller.releases[0].state
    frozen.is_running = False
    fleet.serve = make_bad(0.5)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(1.0)
    resumed_at = fleet.now
    frozen.is_running = True
    assert frozen.controller.releases[0].state == state
    fleet.run(5.0)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    assert fleet.count("v2", since=resumed_at) == 0


def test_decider_that_is_cut_off_from_all_is_replaced() -> None:
    """Guard against two deciders, and against a host that goes on by what it decided before."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(10.0)
    cut = fleet.find_decider()
    fleet.severed, cut.link.is_up = {cut.name}, False
    cut_at = fleet.now
    fleet.run(DURATION - 10, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert fleet.find_decider() is not cut
    late = [v for v in fleet.visits if v.host == cut.name and v.at > cut_at + 3.0]
    assert late
    assert all(visit.version == "v1" for visit in late if visit.at < fleet.now - 15)
    # The other hosts don't wait for it for ever, and it has left the old version by itself.
    assert not [v for v in late if v.version == "v1" and v.at > fleet.now - 0.5]


def test_answer_to_a_write_is_lost() -> None:
    """Guard against a step that is taken twice, or never, after a commit without an answer."""
    fleet = Fleet()
    for host in fleet.hosts.values():
        host.link.lost_answers = 3
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


@pytest.mark.parametrize("at", [3.0, 12.0, 20.0])
def test_store_is_unavailable_during_a_step(at: float) -> None:
    """Guard against growth without a lease, and against a good version that doesn't complete."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(at)
    fleet.store.is_available = False
    lost_at = fleet.now
    fleet.run(8.0)
    # Without a decider, the hosts stop on their own.
    assert not fleet.count("v2", since=lost_at + 2.0 + DECIDER_TIMEOUT_SECONDS + 0.3)
    assert not fleet.refused
    fleet.store.is_available = True
    fleet.run(DURATION - at - 8, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


@pytest.mark.parametrize("seed", range(3))
def test_store_is_unavailable_during_a_verdict(seed: int) -> None:
    """Guard against a rollback that waits for the store, or is forgotten until it is back."""
    fleet = Fleet(seed=seed)
    fleet.order(duration=DURATION)
    fleet.run(12.0)
    ordered_at = 100.0
    fleet.serve = make_bad(0.4, seed)
    fleet.store.is_available = False
    lost_at = fleet.now
    fleet.run(10.0)
    assert not fleet.count("v2", since=lost_at + BOUNDS.rollback_seconds)
    fleet.store.is_available = True
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    check_exposure(fleet, ordered_at, DURATION)


@pytest.mark.parametrize("verdict", [ReleasePhase.COMPLETED, ReleasePhase.ROLLED_BACK])
def test_verdict_that_a_restored_store_lacks_is_written_again(verdict: ReleasePhase) -> None:
    """Guard against a decided order that is carried out once more after a restore of the store."""
    fleet = Fleet()
    if verdict is ReleasePhase.ROLLED_BACK:
        fleet.serve = make_bad(0.6)
    fleet.order(duration=DURATION)
    fleet.run(2.0)
    copy = fleet.store.copy()
    fleet.run(DURATION, fleet.is_decided)
    fleet.run(1.0)
    fleet.store.restore(copy)
    assert fleet.find_phase() is ReleasePhase.STEPPING
    restored_at = fleet.now
    fleet.serve = lambda *_args: Served()
    fleet.run(12.0)
    assert fleet.find_phase() is verdict
    other = "v2" if verdict is ReleasePhase.ROLLED_BACK else "v1"
    assert fleet.count(other, since=restored_at) == 0
    assert json.loads(fleet.find_status() or b"")["state"] == verdict.value


def test_step_that_a_restored_store_lacks_is_not_repeated() -> None:
    """Guard against a good version that starts again, and misses its deadline, after a restore."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    copy = fleet.store.copy()
    fleet.run(15.0)
    state = fleet.find_state()
    assert state is not None and state.step >= 1
    fleet.store.restore(copy)
    fleet.run(5.0)
    restored = fleet.find_state()
    assert restored is not None and restored.step >= state.step
    fleet.run(DURATION - 20, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


@pytest.mark.parametrize("verdict", [ReleasePhase.COMPLETED, ReleasePhase.ROLLED_BACK])
def test_verdict_holds_after_a_restart_of_all_hosts(verdict: ReleasePhase) -> None:
    """Guard against a bad version that is tried again, or old ones used, by new processes."""
    fleet = Fleet()
    if verdict is ReleasePhase.ROLLED_BACK:
        fleet.serve = make_bad(0.6)
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    for host in list(fleet.hosts.values()):
        fleet.start_host(host.name, host.domain)
    assert not any(host.controller.is_loaded for host in fleet.hosts.values())
    restarted_at = fleet.now
    fleet.run(15.0)
    assert fleet.find_phase() is verdict
    other = "v2" if verdict is ReleasePhase.ROLLED_BACK else "v1"
    assert fleet.count(other, since=restarted_at) == 0
    assert fleet.count("v1" if other == "v2" else "v2", since=restarted_at) > 500


def test_all_hosts_restart_during_a_step() -> None:
    """Guard against a rollout that starts at the first step again, or not at all."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(15.0)
    for host in list(fleet.hosts.values()):
        fleet.start_host(host.name, host.domain)
    fleet.run(DURATION - 15, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


@pytest.mark.parametrize("is_store_cut", [True, False])
def test_half_of_the_hosts_is_cut_off(is_store_cut: bool) -> None:
    """Guard against two halves that each send the share, and that each complete on their own."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(8.0)
    cut = [h for h in fleet.hosts.values() if h.domain == "b"]
    fleet.severed = {host.name for host in cut}
    for host in cut:
        host.link.is_up = not is_store_cut
    cut_at = fleet.now
    fleet.run(10.0)
    decider = fleet.find_decider()
    other_side = [
        v for v in fleet.visits if (v.host in fleet.severed) != (decider.name in fleet.severed)
    ]
    assert not [v for v in other_side if v.version == "v2" and v.at > cut_at + 5.0]
    fleet.severed = set()
    for host in cut:
        host.link.is_up = True
    fleet.run(DURATION - 18, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert not fleet.list_open("v1")


def test_bad_version_while_half_of_the_hosts_is_cut_off() -> None:
    """Guard against a half that goes on sending to a bad version, since it hears no verdict."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(8.0)
    fleet.severed = {h.name for h in fleet.hosts.values() if h.domain == "b"}
    fleet.serve = make_bad(0.4)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.run(6.0)
    check_exposure(fleet, 100.0, DURATION)


def test_cut_off_hosts_do_not_hold_up_completion() -> None:
    """Guard against waiting for hosts that never come back, such as a lost failure domain."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(8.0)
    for host in list(fleet.hosts.values()):
        if host.domain == "b":
            host.is_running = False
    fleet.run(DURATION - 8, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_separated_host_leaves_old_versions_before_others_may_complete() -> None:
    """Guard against requests of a host without any contact to old versions that have stopped."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(8.0)
    separated = fleet.hosts[HostName("h05")]
    fleet.severed, separated.link.is_up = {separated.name}, False
    fleet.run(DURATION - 8, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    completed_at = fleet.now
    fleet.run(5.0)
    assert not [v for v in fleet.visits if v.host == separated.name and v.at > completed_at]


def test_host_in_touch_with_the_store_only_learns_that_old_versions_end() -> None:
    """Guard against a host that hears no other one and uses old versions after completion."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(8.0)
    fleet.severed = {HostName("h05")}
    fleet.run(DURATION - 8, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    completed_at = fleet.now
    fleet.run(5.0)
    assert fleet.count("v1", since=completed_at) == 0
    assert [v for v in fleet.visits if v.host == "h05" and v.at > completed_at]
    assert not fleet.refused


@pytest.mark.parametrize("is_finishing", [False, True])
def test_new_upstreams_are_lost_at_a_step(is_finishing: bool) -> None:
    """Guard against requests that are refused as the new version's failure domain is lost."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(20.0 if is_finishing else 8.0)
    for number in range(4):
        fleet.remove(f"web-v2-{number}")
    assert not fleet.is_decided()
    fleet.run(6.0)
    assert not fleet.refused
    state = fleet.find_state()
    assert state is not None and state.phase is ReleasePhase.STEPPING
    for number in range(4):
        fleet.register(f"web-v2-{number}", "web", "v2", "b")
    fleet.run(DURATION - 26, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_version_that_never_comes_is_rolled_back_at_the_deadline() -> None:
    """Guard against an order that stays in progress for ever."""
    fleet = Fleet()
    fleet.order("v9", duration=20.0)
    fleet.run(30.0, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    assert not fleet.refused
    # v2 was in use before the order, so it remains an old version.
    assert fleet.measure_share("web", "v2") > 0.3


def test_deadline_passes_while_the_store_is_away() -> None:
    """Guard against an order that is taken up again after its time, as if nothing had happened."""
    fleet = Fleet()
    fleet.order(duration=20.0)
    fleet.run(4.0)
    fleet.store.is_available = False
    fleet.run(20.0)
    back_at = fleet.now
    fleet.store.is_available = True
    fleet.run(10.0, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    assert fleet.now - back_at < 5.0
    assert fleet.count("v2", since=back_at) < 20


def test_two_services_roll_out_at_once() -> None:
    """Guard against the verdict of one service that decides the other's."""
    fleet = Fleet(services=("web", "mail"))
    source = random.Random(5)
    fleet.serve = lambda _version, _route, _share: Served()
    fleet.order(duration=DURATION, service="web")
    fleet.order(duration=DURATION, service="mail")
    for host in fleet.hosts.values():
        record_end = host.controller.record_end

        def fail_mail(instance, route, attempt, seconds, record_end=record_end):  # type: ignore[no-untyped-def]
            from turmericproxy.traffic.attempts import Attempt, Outcome

            if instance.startswith("mail-v2") and source.random() < 0.4:
                attempt = Attempt(Outcome.BROKEN)
            record_end(instance, route, attempt, seconds)

        host.controller.record_end = fail_mail  # type: ignore[method-assign]
    fleet.run(DURATION, lambda: fleet.is_decided("web") and fleet.is_decided("mail"))
    assert fleet.find_phase("web") is ReleasePhase.COMPLETED
    assert fleet.find_phase("mail") is ReleasePhase.ROLLED_BACK


def test_order_row_that_is_seen_again_changes_nothing() -> None:
    """Guard against a rollout that starts anew each time that the operator's table is read."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(15.0)
    state = fleet.find_state()
    for host in fleet.hosts.values():
        for order in fleet.orders.values():
            host.controller.record_order(order, is_new=True)
    fleet.run(0.5)
    later = fleet.find_state()
    assert state is not None and later is not None
    assert (later.order, later.started_at) == (state.order, state.started_at)
    assert later.step >= state.step > 0


def test_newer_row_tries_a_rolled_back_version_again() -> None:
    """Guard against a version that can never be rolled out after its first try."""
    fleet = Fleet()
    fleet.serve = make_bad(0.6)
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.ROLLED_BACK
    fleet.serve = lambda *_args: Served()
    fleet.order(duration=DURATION)
    fleet.run(1.0)
    fleet.run(DURATION, fleet.is_decided)
    assert fleet.find_phase() is ReleasePhase.COMPLETED


def test_completed_version_that_is_ordered_again_stays_completed() -> None:
    """Guard against a tenth of the traffic being all that the only version gets."""
    fleet = Fleet()
    fleet.order(duration=DURATION)
    fleet.run(DURATION, fleet.is_decided)
    for number in range(4):
        fleet.remove(f"web-v1-{number}")
    fleet.order(duration=DURATION)
    fleet.run(4.0)
    assert fleet.find_phase() is ReleasePhase.COMPLETED
    assert not fleet.refused


def test_order_that_replaces_another_withdraws_its_version() -> None:
    """Guard against a half-tried version that gets its usual part of the traffic as an old one."""
    fleet = Fleet()
    fleet.order("v2", duration=DURATION)
    fleet.run(8.0)
    for number in range(3):
        fleet.register(f"web-v3-{number}", "web", "v3")
    fleet.order("v3", duration=DURATION)
    replaced_at = fleet.now
    fleet.run(DURATION, lambda: fleet.is_decided() and fleet.now > replaced_at + 5)
    state = fleet.find_state()
    assert state is not None
    assert (state.version, state.phase) == ("v3", ReleasePhase.COMPLETED)
    assert fleet.count("v2", since=replaced_at + DELAY_SECONDS) == 0
    assert not fleet.refused


def test_order_back_to_the_old_version_takes_effect_at_once() -> None:
    """Guard against an operator's own rollback that is stepped up as a new version would be."""
    fleet = Fleet()
    fleet.order("v2", duration=DURATION)
    fleet.run(12.0)
    fleet.order("v1", duration=DURATION)
    replaced_at = fleet.now
    fleet.run(2.0)
    assert not fleet.refused
    assert fleet.count("v2", since=replaced_at + NOTICE_DELAY_SECONDS) == 0
    fleet.run(DURATION, fleet.is_decided)
    state = fleet.find_state()
    assert state is not None
    assert (state.version, state.phase) == ("v1", ReleasePhase.COMPLETED)


def test_order_for_the_only_version_refuses_nothing() -> None:
    """Guard against holding back the only upstreams that a service has."""
    fleet = Fleet(start=False)
    for number in range(3):
        fleet.register(f"web-v2-{number}", "web", "v2")
    fleet.serve = make_bad(0.4)
    fleet.order("v2", duration=20.0)
    fleet.run(25.0)
    assert not fleet.refused
    assert fleet.find_phase() is not ReleasePhase.ROLLED_BACK


def test_host_that_has_not_read_the_order_keeps_to_the_share() -> None:
    """Guard against a host that uses all versions alike, since its call for orders is late."""
    fleet = Fleet()
    late = fleet.hosts[HostName("h05")]
    record_order = late.controller.record_order
    late.controller.record_order = lambda order, *, is_new: None  # type: ignore[method-assign]
    late.link.is_up = False
    fleet.order(duration=DURATION)
    fleet.run(1.5)
    late.controller.record_order = record_order  # type: ignore[method-assign]
    fleet.run(1.5)
    known_at = fleet.now
    fleet.run(5.0)
    visits = [v for v in fleet.visits if v.host == late.name and v.at > known_at]
    assert sum(visit.version == "v2" for visit in visits) < 0.15 * len(visits)


def test_retries_get_no_share_of_their_own() -> None:
    """Guard against a bad version that gets more than its share by repeated requests."""
    fleet = Fleet()
    fleet.serve = lambda _version, _route, _share: Served(is_failure=True)
    fleet.order(duration=DURATION)
    fleet.run(1.5)
    started_at = fleet.now
    fleet.run(7.0)
    requests = 7.0 * fleet.rate
    assert fleet.count("v2", since=started_at) <= 0.05 * requests + 8
