"""Run a step again and again in a thread of its own."""

import logging
import threading
from collections.abc import Callable

from turmericproxy.logs import Part, log_event

FAULT_PAUSE_SECONDS = 1.0
JOIN_SECONDS = 5.0

Step = Callable[[], float]


class Loop:
    """Call ``step`` until closed; it returns the seconds to wait before the next call.

    A fault of the program in a step is logged, and the loop goes on.
    """

    def __init__(self, part: Part, name: str, step: Step) -> None:
        self._part = part
        self._step = step
        self._closed = False
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def wake(self) -> None:
        """Run the next step now, or as soon as the present one has ended."""
        self._wake.set()

    def stop(self) -> None:
        """Let the present step be the last, without waiting for its end."""
        self._closed = True
        self._wake.set()

    def close(self) -> None:
        """End the loop, and wait until the present step has ended."""
        self.stop()
        if self._thread.is_alive():
            self._thread.join(JOIN_SECONDS)

    def _run(self) -> None:
        while not self._closed:
            self._wake.clear()
            pause = self._run_step()
            if not self._closed:
                self._wake.wait(pause)

    def _run_step(self) -> float:
        try:
            return self._step()
        except Exception as error:  # the loop must outlive a fault in one step
            name = self._thread.name
            log_event(self._part, "step failed", level=logging.ERROR, loop=name, reason=repr(error))
            return FAULT_PAUSE_SECONDS
