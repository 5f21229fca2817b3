"""Check that streams are cut into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.traffic.events import EventCutter

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 8))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=12))
def test_events_are_whole_however_the_bytes_come(cuts: list[int]) -> None:
    cutter = EventCutter()
    places = [0, *sorted(set(cuts)), len(STREAM)]
    passed = b""
    for start, end in zip(places, places[1:], strict=False):
        events = cutter.feed(STREAM[start:end])
        assert events.data == b"" or events.data.endswith(b"\n\n")
        passed += events.data
    assert passed == STREAM
    assert not cutter.has_rest


def test_last_id_is_that_of_the_last_whole_event() -> None:
    cutter = EventCutter()
    assert cutter.feed(b"id: 4\ndata: a\n\nid: 5\ndata: b").last_id == "4"
    assert cutter.has_rest
    assert cutter.feed(b"\n\n").last_id == "5"


def test_first_line_of_an_event_is_passed_on_unchanged() -> None:
    event = b"x-weight-versions: 3\nid: 4\ndata: a\n\n"
    assert EventCutter().feed(event).data == event
