"""Implement the circuit breaker that fails calls fast while the platform is unavailable."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import read_boottime

INITIAL_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 1.0
JITTER_FRACTION = 0.25
FAILURE_THRESHOLD = 2
MAX_COUNTED_FAILURES = 16


@dataclass(frozen=True)
class BreakerState:
    """Count consecutive failures; calls fail fast until the boot time ``open_until``."""

    failures: int = 0
    open_until: float = 0.0


def record_failure(
    state: BreakerState, now: float, jitter: float, no_answer: bool = False
) -> BreakerState:
    """Return the state after a failed call; ``jitter`` lies between -1 and 1.

    A single failure doesn't open the breaker, since one answer may be lost while the platform is
    healthy. With ``no_answer`` it counts as ``FAILURE_THRESHOLD`` failures, so that from then on
    one call at a time probes whether new connections work.

    >>> record_failure(BreakerState(failures=3), now=10.0, jitter=0.0)
    BreakerState(failures=4, open_until=10.2)
    """
    if not state.failures:
        return BreakerState(FAILURE_THRESHOLD if no_answer else 1, now)
    interval = min(INITIAL_INTERVAL_SECONDS * 2 ** (state.failures - 1), MAX_INTERVAL_SECONDS)
    interval *= 1 + JITTER_FRACTION * jitter
    return BreakerState(min(state.failures + 1, MAX_COUNTED_FAILURES), now + interval)


class Breaker:
    """Reject calls after repeated failures, except one probe after each interval.

    The first call that succeeds closes the breaker again.
    """

    def __init__(
        self,
        read_clock: Callable[[], float] = read_boottime,
        draw_jitter: Callable[[], float] = lambda: random.uniform(-1, 1),
    ) -> None:
        self._read_clock = read_clock
        self._draw_jitter = draw_jitter
        self._state = BreakerState()
        self._generation = 0
        self._is_probing = False
        self._lock = threading.Lock()

    def begin_call(self) -> int | None:
        """Return the generation to record the call's result with, or ``None`` if it is rejected."""
        with self._lock:
            if self._state.failures < FAILURE_THRESHOLD:
                return self._generation
            if self._is_probing or self._read_clock() < self._state.open_until:
                return None
            self._is_probing = True
            return self._generation

    def record(self, generation: int, succeeded: bool, no_answer: bool = False) -> None:
        """Record the result of a call; only the first failure of each generation counts.

        ``no_answer`` means that a failed call was sent and got no valid answer before its timeout.
        """
        with self._lock:
            if succeeded:
                self._state = BreakerState()
                self._is_probing = False
            elif generation == self._generation:
                self._state = record_failure(
                    self._state, self._read_clock(), self._draw_jitter(), no_answer
                )
                self._generation += 1
                self._is_probing = False

    def measure_wait(self) -> float:
        """Return the seconds until a probe may be sent."""
        with self._lock:
            return max(0.0, self._state.open_until - self._read_clock())
