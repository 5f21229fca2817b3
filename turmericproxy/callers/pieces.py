"""Read the events of an engine's stream and keep them in order."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from turmericproxy.routing import Usage

EVENT_PREFIX = b"data:"
END_MARK = b"[DONE]"


@dataclass(frozen=True)
class Piece:
    """Hold one numbered piece of generated text."""

    request_id: str
    index: int
    text: str
    version: str


@dataclass(frozen=True)
class StreamEnd:
    """Say that the stream is complete."""

    request_id: str
    version: str
    usage: Usage


@dataclass(frozen=True)
class KeepAlive:
    """Say that the engine still works on the request."""


@dataclass(frozen=True)
class BadEvent:
    """Say why an event can't be used."""

    reason: str


Event = Piece | StreamEnd | KeepAlive | BadEvent


def parse_events(chunks: Iterable[bytes]) -> Iterator[Event]:
    """Return the events in a stream of bytes, cut anywhere.

    >>> list(parse_events([b": wait", b"\\n\\n"]))
    [KeepAlive()]
    """
    rest = b""
    for chunk in chunks:
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            event = _parse_line(line.strip())
            if event is not None:
                yield event


def _parse_line(line: bytes) -> Event | None:
    if line.startswith(b":"):
        return KeepAlive()
    if not line.startswith(EVENT_PREFIX):
        return None
    content = line[len(EVENT_PREFIX) :].strip()
    if content == END_MARK:
        return None
    try:
        return _create_event(json.loads(content))
    except (ValueError, KeyError, TypeError) as error:
        return BadEvent(f"an event can't be read: {error!r}")


def _create_event(value: dict[str, Any]) -> Event:
    if "usage" in value:
        usage = value["usage"]
        counts = Usage(
            int(usage["prompt_tokens"]),
            int(usage["cached_tokens"]),
            int(usage["completion_tokens"]),
        )
        return StreamEnd(str(value["id"]), str(value["version"]), counts)
    return Piece(str(value["id"]), int(value["index"]), str(value["text"]), str(value["version"]))


@dataclass(frozen=True)
class Expectation:
    """Say which event may come next; ``start`` is the first piece that was asked for."""

    request_id: str
    version: str
    next_index: int
    start: int = 0

    def find_fault(self, event: Piece | StreamEnd) -> str | None:
        """Return why an event does not belong here, or ``None`` if it does.

        >>> Expectation("r", "v1", 2).find_fault(Piece("r", 3, "x", "v1"))
        'piece 3 came in place of piece 2'
        """
        if event.request_id != self.request_id:
            return f"the answer belongs to request {event.request_id}"
        if event.version != self.version:
            return f"the answer was made by version {event.version}"
        if isinstance(event, Piece) and event.index != self.next_index:
            return f"piece {event.index} came in place of piece {self.next_index}"
        if isinstance(event, StreamEnd):
            end = self.start + event.usage.completion_tokens
            if end != self.next_index:
                return f"the stream ended at piece {self.next_index} in place of {end}"
        return None
