"""Check that streams are reassembled in order, however they are cut."""

import json

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.callers.pieces import Expectation, KeepAlive, Piece, StreamEnd, parse_events


def write_stream(texts: list[str]) -> bytes:
    events = [
        {"id": "r", "index": index, "text": text, "version": "v1"}
        for index, text in enumerate(texts)
    ]
    usage = {"prompt_tokens": 3, "cached_tokens": 0, "completion_tokens": len(texts)}
    events.append({"id": "r", "usage": usage, "version": "v1"})
    lines = [f"data: {json.dumps(event)}\n\n" for event in events]
    return ": queued\n\n".join(["", *lines, "data: [DONE]\n\n"]).encode()


@given(st.lists(st.text(max_size=8), max_size=12), st.lists(st.integers(1, 40), min_size=1))
def test_pieces_come_whole_and_in_order_however_the_bytes_are_cut(
    texts: list[str], cuts: list[int]
) -> None:
    stream = write_stream(texts)
    chunks, position, turn = [], 0, 0
    while position < len(stream):
        size = cuts[turn % len(cuts)]
        chunks.append(stream[position : position + size])
        position, turn = position + size, turn + 1
    events = [event for event in parse_events(chunks) if not isinstance(event, KeepAlive)]
    assert [event.text for event in events if isinstance(event, Piece)] == texts
    assert isinstance(events[-1], StreamEnd)
    for index, event in enumerate(events):
        assert isinstance(event, Piece | StreamEnd)
        assert Expectation("r", "v1", index).find_fault(event) is None


def test_foreign_missing_repeated_and_old_pieces_are_found() -> None:
    expected = Expectation("r", "v2", 4)
    assert expected.find_fault(Piece("r", 4, "x", "v2")) is None
    assert expected.find_fault(Piece("other", 4, "x", "v2")) is not None
    assert expected.find_fault(Piece("r", 5, "x", "v2")) is not None
    assert expected.find_fault(Piece("r", 3, "x", "v2")) is not None
    assert expected.find_fault(Piece("r", 4, "x", "v1")) is not None
