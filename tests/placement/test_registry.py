"""Check the state that the registry holds of upstreams."""

from dataclasses import replace

from tests.placement.support import MODEL, SERVICE, create_entry, create_registry
from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import EntryState
from turmericproxy.placement.notices import UpstreamNotice
from turmericproxy.placement.prefixes import PartKey
from turmericproxy.placement.registry import Work

ONE = InstanceId("one")
KEY = PartKey("s", "p")


def test_draining_upstream_gets_no_new_requests_and_keeps_its_work() -> None:
    registry = create_registry(create_entry("one"))
    registry.add_work(ONE, Work(1, 10, 10))
    registry.update(replace(create_entry("one"), state=EntryState.DRAINING))
    assert registry.list_ready(SERVICE) == []
    assert registry.list_own_work() == {ONE: Work(1, 10, 10)}


def test_engine_that_restarts_under_its_id_has_an_empty_cache() -> None:
    registry = create_registry(create_entry("one"))
    registry.find(ONE).prefixes.add([(KEY, 5)])  # type: ignore[union-attr]
    registry.update(create_entry("one"))
    assert registry.find(ONE).prefixes.holds(KEY)  # type: ignore[union-attr]
    registry.update(create_entry("one", started_at=2))
    assert not registry.find(ONE).prefixes.holds(KEY)  # type: ignore[union-attr]


def test_new_weights_empty_the_cache_and_outdated_registrations_are_ignored() -> None:
    registry = create_registry(create_entry("one"))
    registry.find(ONE).prefixes.add([(KEY, 5)])  # type: ignore[union-attr]
    registry.record_version(ONE, MODEL, 2)
    assert not registry.find(ONE).prefixes.holds(KEY)  # type: ignore[union-attr]
    registry.update(create_entry("one", version=1))
    assert registry.find(ONE).versions[MODEL] == 2  # type: ignore[union-attr]


def test_lower_version_reported_by_an_engine_replaces_the_recorded_one() -> None:
    registry = create_registry(create_entry("one", version=3))
    registry.set_reported_version(ONE, MODEL, 2)
    assert registry.find(ONE).versions[MODEL] == 2  # type: ignore[union-attr]


def test_work_of_a_lost_peer_is_removed() -> None:
    registry = create_registry(create_entry("one"))
    registry.set_peer_work(HostName("h"), {ONE: Work(3, 30, 300)})
    assert registry.find(ONE).requests == 3  # type: ignore[union-attr]
    registry.forget_peer(HostName("h"))
    assert registry.find(ONE).requests == 0  # type: ignore[union-attr]


def test_superseded_upstream_gets_no_requests_until_it_registers() -> None:
    registry = create_registry(create_entry("one"))
    assert not registry.supersede(ONE, "10.9.9.9:9")
    assert registry.list_ready(SERVICE) != []
    assert registry.supersede(ONE, create_entry("one").address)
    assert not registry.supersede(ONE, create_entry("one").address)
    assert registry.list_ready(SERVICE) == []
    registry.update(create_entry("one"))
    assert len(registry.list_ready(SERVICE)) == 1


# Guards against requests to an upstream that still wants none: its registration lapses while the
# store is away, and the pause was forgotten with it.
def test_pause_lasts_while_the_registration_of_an_upstream_is_away() -> None:
    registry = create_registry(create_entry("one"))
    registry.record_notice(ONE, UpstreamNotice(pause_seconds=5.0), 1.0)
    registry.remove(ONE)
    registry.update(create_entry("one"))
    assert registry.measure_pause(ONE, 2.0) >= 4.0
    registry.remove(ONE)
    registry.update(create_entry("one", started_at=2))
    assert registry.measure_pause(ONE, 2.0) == 0.0


def test_total_peer_work_is_updated_with_each_change() -> None:
    registry = create_registry(create_entry("one"))
    for host, work in (("h", Work(3, 30, 300)), ("i", Work(1, 5, 9)), ("h", Work(1, 0, 100))):
        registry.set_peer_work(HostName(host), {ONE: work})
    state = registry.find(ONE)
    assert state is not None
    assert state.total_peer_work == Work(2, 5, 109)
    registry.set_peer_work(HostName("i"), {ONE: Work()})
    assert state.total_peer_work == Work(1, 0, 100)
    assert set(state.work_by_peer) == {"h"}


def test_work_that_is_as_it_was_sent_is_not_sent_again() -> None:
    registry = create_registry(create_entry("one"))
    one = InstanceId("one")
    registry.add_work(one, Work(1))
    assert registry.take_changed_work() == {one: Work(1)}
    registry.add_work(one, Work(1))
    registry.add_work(one, Work(-1))
    assert registry.take_changed_work() == {}
    registry.add_work(one, Work(-1))
    assert registry.take_changed_work() == {one: Work(0)}


def test_work_is_sent_again_to_all_after_one_peer_was_told_more() -> None:
    registry = create_registry(create_entry("one"))
    one = InstanceId("one")
    registry.add_work(one, Work(1))
    registry.take_changed_work()
    registry.add_work(one, Work(1))
    assert registry.list_own_work() == {one: Work(2)}  # the introduction to a new peer
    registry.add_work(one, Work(-1))
    assert registry.take_changed_work() == {one: Work(1)}
