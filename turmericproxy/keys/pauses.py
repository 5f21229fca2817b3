"""Delay requests after a pause of the process until the keys are up to date again."""

import time
from collections.abc import Callable

from turmericproxy.core.clock import PauseDetector, read_boottime
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part, log_event

TICK_SECONDS = 0.2
CATCH_UP_SECONDS = 1.5
CHECK_SECONDS = 0.02

IsCurrent = Callable[[float], bool]


class PauseGuard:
    """Detect pauses of the process, and delay requests until its state is current again.

    ``is_current`` gets the boottime at which the process resumed. If the state is not current
    after ``CATCH_UP_SECONDS``, the host counts as isolated and serves with the keys that it has.
    """

    def __init__(
        self,
        limit: float,
        is_current: IsCurrent,
        read_clock: Callable[[], float] = read_boottime,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._detector = PauseDetector(limit, read_clock)
        self._is_current = is_current
        self._read_clock = read_clock
        self._sleep = sleep
        self._resumed_at: float | None = None
        self._loop = Loop(Part.KEYS, "pause-watch", self.tick)

    def start(self) -> None:
        """Start the thread that detects pauses."""
        self._loop.start()

    def close(self) -> None:
        """Stop the thread."""
        self._loop.close()

    def tick(self) -> float:
        """Record that the process is running; return the seconds until the next tick."""
        gap = self._detector.record_tick()
        if gap > self._detector.limit:
            self._resumed_at = self._read_clock()
            log_event(Part.KEYS, "process was paused", seconds=round(gap, 3))
        return TICK_SECONDS

    def await_current(self) -> None:
        """Wait after a pause until the state is current, up to ``CATCH_UP_SECONDS``."""
        if self._detector.is_paused():
            self.tick()
        resumed_at = self._resumed_at
        if resumed_at is None:
            return
        deadline = resumed_at + CATCH_UP_SECONDS
        while not self._is_current(resumed_at) and self._read_clock() < deadline:
            self._sleep(CHECK_SECONDS)
        if self._resumed_at == resumed_at:
            self._resumed_at = None
