"""Call a function repeatedly in its own thread."""

import logging
import threading
from collections.abc import Callable

from turmericproxy.logs import Part, log_event

FAULT_PAUSE_SECONDS = 1.0
JOIN_SECONDS = 5.0

RunOnce = Callable[[], float]


class Loop:
    """Call ``run_once`` until closed; it returns the seconds to wait before the next call.

    An exception that it raises is logged, and the loop continues after ``FAULT_PAUSE_SECONDS``.
    """

    def __init__(self, part: Part, name: str, run_once: RunOnce) -> None:
        self._part = part
        self._run_once = run_once
        self._closed = False
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def wake(self) -> None:
        """Start the next iteration now, or as soon as the current one has ended."""
        self._wake.set()

    def stop(self) -> None:
        """End the loop after the current iteration, without waiting for it."""
        self._closed = True
        self._wake.set()

    def close(self) -> None:
        """End the loop and wait up to ``JOIN_SECONDS`` for the current iteration."""
        self.stop()
        if self._thread.is_alive():
            self._thread.join(JOIN_SECONDS)

    def _run(self) -> None:
        while not self._closed:
            self._wake.clear()
            pause = self._run_iteration()
            if not self._closed:
                self._wake.wait(pause)

    def _run_iteration(self) -> float:
        try:
            return self._run_once()
        except Exception as error:  # one failed iteration must not end the loop
            name = self._thread.name
            log_event(
                self._part, "iteration failed", level=logging.ERROR, loop=name, reason=repr(error)
            )
            return FAULT_PAUSE_SECONDS
