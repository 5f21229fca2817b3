"""Write log lines to a pipe without blocking on its reader."""

import logging
import os
import time
from collections.abc import Callable

# Lines that would exceed this buffer size are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024
# Rate and burst of decision lines. A host serves about a hundred requests per second, with three
# lines each.
DECISIONS_PER_SECOND = 300.0
DECISION_BURST = 1500.0


class PipeHandler(logging.Handler):
    """Buffer lines while the pipe is full, and limit the rate of decision lines.

    The number of dropped lines is logged once the buffer is less than half full.
    """

    def __init__(self, descriptor: int, read_clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._buffer = bytearray()
        self._tokens = DECISION_BURST
        self._refilled_at = read_clock()
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer one line, or drop it."""
        if getattr(record, "decision", False) and not self._take_token():
            self.dropped += 1
            return
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts now."""
        if self.dropped and len(self._buffer) < MAX_BUFFERED_BYTES // 2:
            self._buffer += b'{"message": "host: log lines dropped", "count": %d}\n' % self.dropped
            self.dropped = 0
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other place to log this.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _take_token(self) -> bool:
        now = self._read_clock()
        tokens = self._tokens + (now - self._refilled_at) * DECISIONS_PER_SECOND
        self._tokens = min(DECISION_BURST, tokens)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
