"""Read a clock that includes suspended time, and detect pauses of the process."""

import threading
import time
from collections.abc import Callable


def read_boottime() -> float:
    """Return the seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detect that a loop has not ticked for longer than ``limit`` seconds.

    >>> now = iter([0.0, 1.0, 9.0])
    >>> detector = PauseDetector(limit=5.0, read_clock=lambda: next(now))
    >>> detector.record_tick(), detector.record_tick()
    (1.0, 8.0)
    """

    def __init__(self, limit: float, read_clock: Callable[[], float] = read_boottime) -> None:
        self.limit = limit
        self._read_clock = read_clock
        self._last_tick = read_clock()
        self._lock = threading.Lock()

    def record_tick(self) -> float:
        """Record a tick and return the seconds since the previous one."""
        with self._lock:
            now = self._read_clock()
            gap = now - self._last_tick
            self._last_tick = now
            return gap

    def measure_gap(self) -> float:
        """Return the seconds since the last tick without recording one."""
        with self._lock:
            return self._read_clock() - self._last_tick

    def is_paused(self) -> bool:
        """Return whether the last tick was longer ago than the limit."""
        return self.measure_gap() > self.limit
