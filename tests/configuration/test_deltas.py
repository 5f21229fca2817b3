"""Check that deltas merge to the same snapshot in any order, with repeats and losses."""

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
from turmericproxy.configuration.messages import answer_fetch, decode_fetched, decode_snapshot
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core import Revision

SEED = 20261203


@st.composite
def histories(draw: st.DrawFn) -> list[Delta]:
    """Draw the changes from revision 1 on, deletions included."""
    names = draw(st.lists(st.sampled_from("abcd"), min_size=1, max_size=12))
    specs = st.one_of(st.none(), st.builds(dict, version=st.sampled_from("123")))
    return [
        Delta(Revision(place + 1), ChangeId(f"c{place}"), Kind.MODEL, name, draw(specs))
        for place, name in enumerate(names)
    ]


def apply_all(history: list[Delta]) -> list[Snapshot]:
    """Return the snapshot of every revision."""
    snapshots = [Snapshot()]
    for delta in history:
        following = apply_delta(snapshots[-1], delta)
        assert following is not None
        snapshots.append(following)
    return snapshots


@seed(SEED)
@settings(max_examples=150, deadline=None, database=None)
@given(histories(), st.data())
def test_any_order_repeats_and_losses_give_the_same_snapshot(
    history: list[Delta], data: st.DataObject
) -> None:
    truth = apply_all(history)
    frames = data.draw(st.lists(st.lists(st.sampled_from(history), max_size=6), max_size=8))
    state = ConfigurationState()
    lowest = 0
    for frame in frames:
        state.install_deltas(frame)
        if data.draw(st.booleans()):
            state.install_snapshot(data.draw(st.sampled_from(truth)))
        snapshot = state.snapshot()
        assert snapshot.revision >= lowest
        assert snapshot == truth[snapshot.revision]
        lowest = snapshot.revision
    state.install_deltas(reversed(history))
    assert state.snapshot() == truth[-1]


@seed(SEED)
@settings(max_examples=60, deadline=None, database=None)
@given(histories(), st.integers(0, 12))
def test_fetch_brings_any_host_to_the_same_snapshot(history: list[Delta], behind: int) -> None:
    truth = apply_all(history)
    ahead, state = ConfigurationState(), ConfigurationState()
    start = min(behind, len(history))
    ahead.install_snapshot(truth[len(history) // 2])
    ahead.install_deltas(history)
    state.install_deltas(history[:start])
    fetched = decode_fetched(answer_fetch(ahead, {"after": state.snapshot().revision}))
    if fetched.snapshot is not None:
        state.install_snapshot(fetched.snapshot)
    state.install_deltas(fetched.deltas)
    assert state.snapshot() == truth[-1]


def test_frames_that_can_not_be_understood_bring_nothing() -> None:
    delta = Delta(Revision(1), ChangeId("c"), Kind.MODEL, "m", {"version": "1"})
    assert decode_delta(encode_delta(delta)) == delta
    for broken in (None, 7, [1], [1, "c", "nothing", "m", {}], ["x", "c", "model", "m", {}]):
        assert decode_delta(broken) is None
    assert decode_snapshot([3, [["model", "m", 1, {}]]]) is None
    assert decode_fetched(None).snapshot is None
    ahead = replace(delta, revision=Revision(2))
    assert apply_delta(Snapshot(), ahead) is None
    unusable = Delta(Revision(1), ChangeId("c"), Kind.MODEL, "m", {"size": "1"})
    assert merge_deltas(Snapshot(), {}, [unusable]).snapshot.revision == 0
