"""Check that what all hosts have at an engine doesn't exceed its memory."""

from dataclasses import replace

from tests.admission.support import CAPACITY_TOKENS, create_registry
from turmericproxy.admission.memory import LOST_WORK_SECONDS, LostWorkMonitor, find_full_engines
from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import Work

ENGINE, PEER = InstanceId("e0"), HostName("h2")


def test_engine_near_its_memory_bound_gets_no_prompt_while_a_lost_peer_may_have_work_there() -> (
    None
):
    """Load: 60,000 tokens of a lost peer and 50,000 own ones at an engine of 115,156.

    Guards against an engine that dies since a cut-off host's requests still run there.
    """
    registry, lost = create_registry(engines=2), LostWorkMonitor()
    state = registry.find(ENGINE)
    assert state is not None
    registry.add_work(ENGINE, Work(5, 0, 50_000))
    registry.set_peer_work(PEER, {ENGINE: Work(6, 0, 60_000)})
    lost.record_lost(PEER, registry.list_states(), now=10.0)
    registry.forget_peer(PEER)

    def find_full(now: float, needed: int) -> frozenset[InstanceId]:
        states = registry.list_states()
        tokens = {s.entry.instance: lost.count_tokens(s, now) for s in states}
        return find_full_engines(states, needed, CAPACITY_TOKENS, tokens)

    assert find_full(10.1, 9_246) == {ENGINE}
    assert find_full(10.1, 5_000) == frozenset()
    assert find_full(10.0 + LOST_WORK_SECONDS, 9_246) == frozenset()


def test_peer_that_returns_is_not_counted_twice() -> None:
    """Load: a peer with 60,000 tokens that was lost for a moment and reports them again."""
    registry, lost = create_registry(engines=1), LostWorkMonitor()
    registry.set_peer_work(PEER, {ENGINE: Work(6, 0, 60_000)})
    lost.record_lost(PEER, registry.list_states(), now=10.0)
    lost.record_returned(PEER)
    state = registry.find(ENGINE)
    assert state is not None
    assert lost.count_tokens(state, 10.1) == 0


def test_engine_that_restarted_holds_nothing_of_a_lost_peer() -> None:
    """Load: an engine that starts anew while a peer with work there is lost."""
    registry, lost = create_registry(engines=1), LostWorkMonitor()
    registry.set_peer_work(PEER, {ENGINE: Work(6, 0, 60_000)})
    state = registry.find(ENGINE)
    assert state is not None
    lost.record_lost(PEER, [state], now=10.0)
    registry.update(replace(state.entry, started_at=2))
    restarted = registry.find(ENGINE)
    assert restarted is not None
    assert lost.count_tokens(restarted, 10.1) == 0
