"""Observe the gaps between the events of one stream."""

from collections.abc import Callable
from statistics import median

# Gaps that are kept of a stream; later ones tell nothing more of its engine.
MAX_GAPS = 128
# Streams with fewer gaps tell little.
MIN_GAPS = 4


class StreamGaps:
    """Collect the gaps between events of one stream.

    ``report`` gets their median, the number of events, and the seconds from first to last.
    """

    def __init__(self, report: Callable[[float, int, float], None]) -> None:
        self._report = report
        self._began_at: float | None = None
        self._last_at = 0.0
        self._gaps: list[float] = []
        self._events = 0

    def record_event(self, at: float) -> None:
        """Record that an event came at a time of the event loop."""
        if self._began_at is None:
            self._began_at = at
        elif len(self._gaps) < MAX_GAPS:
            self._gaps.append(at - self._last_at)
        self._last_at = at
        self._events += 1

    def close(self) -> None:
        """Report a stream that is complete."""
        if self._began_at is not None and len(self._gaps) >= MIN_GAPS:
            self._report(median(self._gaps), self._events, self._last_at - self._began_at)


class UnobservedGaps(StreamGaps):
    """Observe nothing, for services whose engines do not report their speed."""

    def __init__(self) -> None:
        super().__init__(lambda gap, events, seconds: None)

    def record_event(self, at: float) -> None:
        """Ignore an event."""


UNOBSERVED = UnobservedGaps()
