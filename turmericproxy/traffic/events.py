"""Split a byte stream into complete server-sent events, so that no partial event is relayed."""

from dataclasses import dataclass

from turmericproxy.core.memory import Holding, open_unlimited

EVENT_END = b"\n\n"
# Limit of one event, so that a stream which never ends one doesn't fill the memory.
MAX_EVENT_BYTES = 1024 * 1024
# Copies of an incomplete event while the next bytes are added to it.
EVENT_COPIES = 2


@dataclass(frozen=True, slots=True)
class Events:
    """Complete events as received, the last event id among them, and the id of the first event."""

    data: bytes
    last_id: str | None
    first_id: str | None = None


class EventSplitter:
    """Buffer the bytes of a stream in ``holding`` and return complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    Events(data=b'id: 1\\ndata: a\\n\\n', last_id='1', first_id='1')
    >>> splitter.has_partial_event
    True
    """

    def __init__(self, holding: Holding | None = None) -> None:
        self._partial = b""
        self._holding = holding or open_unlimited()
        self._has_room = True

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds the start of an incomplete event."""
        return bool(self._partial.strip())

    def find_fault(self) -> str | None:
        """Return why the incomplete event can't be kept, ``None`` if it can."""
        if len(self._partial) > MAX_EVENT_BYTES:
            return "an event exceeds the size limit"
        return None if self._has_room else f"no room for an event: {self._holding.describe()}"

    def feed(self, data: bytes) -> Events:
        """Add bytes and return the events that are now complete."""
        buffered = self._partial + data
        complete, end, self._partial = buffered.rpartition(EVENT_END)
        events = complete + end
        self._has_room = self._holding.resize(EVENT_COPIES * len(self._partial))
        return Events(events, _find_last_id(events), _find_last_id(events.partition(EVENT_END)[0]))


def _find_last_id(events: bytes) -> str | None:
    found: str | None = None
    for line in events.split(b"\n"):
        if line.startswith(b"id:"):
            found = line[3:].strip().decode("latin-1")
    return found
