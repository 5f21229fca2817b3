"""Cut a stream into whole events, so that nothing is passed on in part."""

from dataclasses import dataclass

EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class Events:
    """Hold whole events as they came, and the id of the last one."""

    data: bytes
    last_id: str | None


class EventCutter:
    """Collect bytes of a stream and hand out whole events.

    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    Events(data=b'id: 1\\ndata: a\\n\\n', last_id='1')
    >>> cutter.has_rest
    True
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Return whether the stream stopped within an event."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> Events:
        """Return the events that are whole now."""
        joined = self._rest + data
        whole, end, self._rest = joined.rpartition(EVENT_END)
        events = whole + end
        return Events(events, _find_last_id(events))


def _find_last_id(events: bytes) -> str | None:
    found: str | None = None
    for line in events.split(b"\n"):
        if line.startswith(b"id:"):
            found = line[3:].strip().decode("latin-1")
    return found
