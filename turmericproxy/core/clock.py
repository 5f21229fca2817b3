"""Read time that goes on during a suspend, and notice pauses of the process."""

import threading
import time
from collections.abc import Callable


def read_boottime() -> float:
    """Return the seconds since boot, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Remember the last tick of a loop and report gaps longer than a limit.

    >>> now = iter([0.0, 1.0, 9.0])
    >>> watch = PauseDetector(limit=5.0, read_clock=lambda: next(now))
    >>> watch.record_tick(), watch.record_tick()
    (1.0, 8.0)
    """

    def __init__(self, limit: float, read_clock: Callable[[], float] = read_boottime) -> None:
        self.limit = limit
        self._read_clock = read_clock
        self._last = read_clock()
        self._lock = threading.Lock()

    def record_tick(self) -> float:
        """Record that the loop runs, and return the seconds since its last tick."""
        with self._lock:
            now = self._read_clock()
            gap = now - self._last
            self._last = now
            return gap

    def measure_gap(self) -> float:
        """Return the seconds since the last tick without recording a new one."""
        with self._lock:
            return self._read_clock() - self._last

    def is_paused(self) -> bool:
        """Return whether the loop has not ticked for longer than the limit."""
        return self.measure_gap() > self.limit
