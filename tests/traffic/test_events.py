"""Check that streams are split into complete events."""

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.traffic.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 8))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_events_are_complete_for_any_chunk_boundaries(cuts: list[int]) -> None:
    splitter = EventSplitter()
    boundaries = [0, *sorted(set(cuts)), len(STREAM)]
    received = b""
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        events = splitter.feed(STREAM[start:end])
        assert events.data == b"" or events.data.endswith(b"\n\n")
        received += events.data
    assert received == STREAM
    assert not splitter.has_partial_event


def test_last_id_belongs_to_the_last_complete_event() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 4\ndata: a\n\nid: 5\ndata: b").last_id == "4"
    assert splitter.has_partial_event
    assert splitter.feed(b"\n\n").last_id == "5"


def test_first_line_of_an_event_is_kept() -> None:
    event = b"x-weight-versions: 3\nid: 4\ndata: a\n\n"
    assert EventSplitter().feed(event).data == event
