"""Track the eras of the store, which rise by one each time that it restarts from an older copy.

What was acknowledged after that copy is lost, and versions of rows are given out again. So versions
can be compared only within one era.
"""

from collections.abc import Callable

from turmericproxy.logs import Part, log_event


class StoreEras:
    """Hold the newest era, and call the listeners when another one follows the first."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []
        self.current: int | None = None

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever the era has changed."""
        self._listeners.append(listener)

    def record(self, era: int) -> None:
        """Record the era of an answer of the store, or of an update from a peer."""
        if self.current is None:
            self.current = era
        elif era > self.current:
            log_event(Part.CONFIGURATION, "store restored", era=era, previous=self.current)
            self.current = era
            for listener in self._listeners:
                listener()
