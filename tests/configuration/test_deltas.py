"""Check that deltas merge to the same snapshot if they are reordered, repeated or lost."""

from dataclasses import replace

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from turmericproxy.configuration.deltas import (
    ChangeId,
    Delta,
    apply_delta,
    decode_delta,
    encode_delta,
    merge_deltas,
)
from turmericproxy.configuration.messages import answer_fetch, decode_fetch_result, decode_snapshot
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core import Revision

SEED = 20261203


@st.composite
def histories(draw: st.DrawFn) -> list[Delta]:
    """Generate changes from revision 1 on, including deletions."""
    names = draw(st.lists(st.sampled_from("abcd"), min_size=1, max_size=12))
    specs = st.one_of(st.none(), st.builds(dict, version=st.sampled_from("123")))
    return [
        Delta(Revision(index + 1), ChangeId(f"c{index}"), Kind.MODEL, name, draw(specs))
        for index, name in enumerate(names)
    ]


def build_snapshots(history: list[Delta]) -> list[Snapshot]:
    """Return the snapshots of all revisions, starting with the empty one."""
    snapshots = [Snapshot()]
    for delta in history:
        next_snapshot = apply_delta(snapshots[-1], delta)
        assert next_snapshot is not None
        snapshots.append(next_snapshot)
    return snapshots


@seed(SEED)
@settings(max_examples=150, deadline=None, database=None)
@given(histories(), st.data())
def test_reordered_repeated_and_lost_deltas_give_the_same_snapshot(
    history: list[Delta], data: st.DataObject
) -> None:
    expected = build_snapshots(history)
    batches = data.draw(st.lists(st.lists(st.sampled_from(history), max_size=6), max_size=8))
    state = ConfigurationState()
    last_revision = 0
    for batch in batches:
        state.install_deltas(batch)
        if data.draw(st.booleans()):
            state.install_snapshot(data.draw(st.sampled_from(expected)))
        snapshot = state.snapshot()
        assert snapshot.revision >= last_revision
        assert snapshot == expected[snapshot.revision]
        last_revision = snapshot.revision
    state.install_deltas(reversed(history))
    assert state.snapshot() == expected[-1]


@seed(SEED)
@settings(max_examples=60, deadline=None, database=None)
@given(histories(), st.integers(0, 12))
def test_fetch_updates_a_host_at_any_revision_to_the_same_snapshot(
    history: list[Delta], installed_count: int
) -> None:
    expected = build_snapshots(history)
    peer, state = ConfigurationState(), ConfigurationState()
    start = min(installed_count, len(history))
    peer.install_snapshot(expected[len(history) // 2])
    peer.install_deltas(history)
    state.install_deltas(history[:start])
    fetched = decode_fetch_result(answer_fetch(peer, {"after": state.snapshot().revision}))
    if fetched.snapshot is not None:
        state.install_snapshot(fetched.snapshot)
    state.install_deltas(fetched.deltas)
    assert state.snapshot() == expected[-1]


def test_malformed_and_out_of_order_messages_are_rejected() -> None:
    delta = Delta(Revision(1), ChangeId("c"), Kind.MODEL, "m", {"version": "1"})
    assert decode_delta(encode_delta(delta)) == delta
    for malformed in (None, 7, [1], [1, "c", "nothing", "m", {}], ["x", "c", "model", "m", {}]):
        assert decode_delta(malformed) is None
    assert decode_snapshot([3, [["model", "m", 1, {}]]]) is None
    assert decode_fetch_result(None).snapshot is None
    out_of_order = replace(delta, revision=Revision(2))
    assert apply_delta(Snapshot(), out_of_order) is None
    invalid = Delta(Revision(1), ChangeId("c"), Kind.MODEL, "m", {"size": "1"})
    assert merge_deltas(Snapshot(), {}, [invalid]).snapshot.revision == 0
