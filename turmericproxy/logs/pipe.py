"""Write log lines to a pipe without ever waiting for its reader."""

import logging
import os
import time
from collections.abc import Callable

# Bytes that wait for a reader; lines beyond are dropped and counted.
BUFFERED_BYTES = 256 * 1024
# Lines of decisions a second, on average and at once; a host serves some hundred requests a
# second with three lines each.
DECISIONS_PER_SECOND = 300.0
DECISION_BURST = 1500.0


class PipeHandler(logging.Handler):
    """Keep what the pipe does not take, and drop decisions that come too fast.

    A line that tells how many were dropped follows as soon as there is room.
    """

    def __init__(self, descriptor: int, read_clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._waiting = bytearray()
        self._allowance = DECISION_BURST
        self._refilled_at = read_clock()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        if getattr(record, "decision", False) and not self._take_allowance():
            self.dropped += 1
            return
        line = self.format(record).encode() + b"\n"
        if len(self._waiting) + len(line) > BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._waiting += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the pipe takes now."""
        if self.dropped and len(self._waiting) < BUFFERED_BYTES // 2:
            self._waiting += b'{"message": "host: log lines dropped", "count": %d}\n' % self.dropped
            self.dropped = 0
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to tell it.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _take_allowance(self) -> bool:
        now = self._read_clock()
        grown = self._allowance + (now - self._refilled_at) * DECISIONS_PER_SECOND
        self._allowance = min(DECISION_BURST, grown)
        self._refilled_at = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
