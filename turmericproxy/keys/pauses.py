"""Hold requests back after a pause of the process until the keys are up to date again."""

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
    """Notice that the process was paused, and wait until its state is current.

    ``is_current`` is given the boottime at which the process went on. A host that reaches nobody
    goes on after ``CATCH_UP_SECONDS``: it is cut off, and serves with the keys that it knows.
    """

    def __init__(
        self,
        limit: float,
        is_current: IsCurrent,
        read_clock: Callable[[], float] = read_boottime,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._watch = PauseDetector(limit, read_clock)
        self._is_current = is_current
        self._read_clock = read_clock
        self._sleep = sleep
        self._resumed_at: float | None = None
        self._loop = Loop(Part.KEYS, "pause-watch", self.tick)

    def start(self) -> None:
        """Watch for pauses in a thread."""
        self._loop.start()

    def close(self) -> None:
        """Stop the thread."""
        self._loop.close()

    def tick(self) -> float:
        """Record that the process runs; return the seconds until the next tick."""
        gap = self._watch.record_tick()
        if gap > self._watch.limit:
            self._resumed_at = self._read_clock()
            log_event(Part.KEYS, "process was paused", seconds=round(gap, 3))
        return TICK_SECONDS

    def await_current(self) -> None:
        """Return at once, or after a pause when the state is current or can't become so."""
        if self._watch.is_paused():
            self.tick()
        resumed_at = self._resumed_at
        if resumed_at is None:
            return
        deadline = resumed_at + CATCH_UP_SECONDS
        while not self._is_current(resumed_at) and self._read_clock() < deadline:
            self._sleep(CHECK_SECONDS)
        if self._resumed_at == resumed_at:
            self._resumed_at = None
