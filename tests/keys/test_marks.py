"""Check that marks merge in any order and are never removed by a merge."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from turmericproxy.core import KeyId, Revision
from turmericproxy.keys.marks import (
    MarkRegistry,
    MarkSet,
    compute_marks_digest,
    decode_marks,
    drop_oldest,
    encode_marks,
    merge_marks,
)

SEED = 20261203
KEYS = st.sampled_from([KeyId(name) for name in "abcdef"])


@st.composite
def mark_sets(draw: st.DrawFn) -> MarkSet:
    """Draw marks; a key has the same covering revision in every set."""
    covered = {key: Revision(ord(key)) for key in draw(st.frozensets(KEYS))}
    return MarkSet(draw(st.frozensets(KEYS)) - covered.keys(), covered)


@seed(SEED)
@settings(max_examples=150, deadline=None, database=None)
@given(st.lists(mark_sets(), max_size=6), st.randoms(use_true_random=False))
def test_marks_merge_in_any_order(sets: list[MarkSet], random) -> None:  # type: ignore[no-untyped-def]
    registry, other = MarkRegistry(), MarkRegistry()
    received: set[KeyId] = set()
    for marks in sets:
        received |= marks.open | marks.covered.keys()
        registry.add(decode_marks(encode_marks(marks)), Revision(0))
        assert all(registry.is_marked(key) for key in received)
    for marks in random.sample(sets * 2, len(sets) * 2):
        other.add(marks, Revision(0))
    assert registry.marks() == other.marks()
    assert compute_marks_digest(registry.marks()) == compute_marks_digest(other.marks())
    assert merge_marks(registry.marks(), MarkSet()) == registry.marks()


def test_only_marks_up_to_the_own_revision_are_dropped() -> None:
    covered = {KeyId(f"k{n}"): Revision(n) for n in range(10)}
    kept = drop_oldest(MarkSet(frozenset({KeyId("open")}), covered), Revision(4), kept=2)
    assert kept.open == {"open"}
    assert set(kept.covered) == {f"k{n}" for n in range(5, 10)}


def test_malformed_marks_are_ignored() -> None:
    for broken in (None, 3, {"open": 3, "covered": {}}, {"covered": {"a": "x"}, "open": []}):
        assert decode_marks(broken) == MarkSet()
