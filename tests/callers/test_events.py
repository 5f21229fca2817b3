"""Check that events of streams are parsed, and that misplaced ones are detected."""

import json

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.callers.events import ExpectedEvent, KeepAlive, Piece, StreamEnd, parse_events


def encode_stream(texts: list[str]) -> bytes:
    events = [
        {"id": "r", "index": index, "text": text, "version": "v1"}
        for index, text in enumerate(texts)
    ]
    usage = {"prompt_tokens": 3, "cached_tokens": 0, "completion_tokens": len(texts)}
    events.append({"id": "r", "usage": usage, "version": "v1"})
    lines = [f"data: {json.dumps(event)}\n\n" for event in events]
    return ": queued\n\n".join(["", *lines, "data: [DONE]\n\n"]).encode()


@given(st.lists(st.text(max_size=8), max_size=12), st.lists(st.integers(1, 40), min_size=1))
def test_stream_is_parsed_however_its_bytes_are_split(
    texts: list[str], chunk_sizes: list[int]
) -> None:
    stream = encode_stream(texts)
    chunks, position, chunk_index = [], 0, 0
    while position < len(stream):
        size = chunk_sizes[chunk_index % len(chunk_sizes)]
        chunks.append(stream[position : position + size])
        position, chunk_index = position + size, chunk_index + 1
    events = [event for event in parse_events(chunks) if not isinstance(event, KeepAlive)]
    assert [event.text for event in events if isinstance(event, Piece)] == texts
    assert isinstance(events[-1], StreamEnd)
    for index, event in enumerate(events):
        assert isinstance(event, Piece | StreamEnd)
        assert ExpectedEvent("r", "v1", index).find_mismatch(event) is None


def test_pieces_of_other_requests_positions_and_versions_are_detected() -> None:
    expected = ExpectedEvent("r", "v2", 4)
    assert expected.find_mismatch(Piece("r", 4, "x", "v2")) is None
    assert expected.find_mismatch(Piece("other", 4, "x", "v2")) is not None
    assert expected.find_mismatch(Piece("r", 5, "x", "v2")) is not None
    assert expected.find_mismatch(Piece("r", 3, "x", "v2")) is not None
    assert expected.find_mismatch(Piece("r", 4, "x", "v1")) is not None
