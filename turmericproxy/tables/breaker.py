"""Fail calls at once while the platform is away."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import read_boottime

FIRST_INTERVAL_SECONDS = 0.05
LONGEST_INTERVAL_SECONDS = 1.0
JITTER_SHARE = 0.25
PROBING_FAILURES = 2
MOST_FAILURES = 16


@dataclass(frozen=True)
class BreakerState:
    """Count the failures in a row and say until when calls fail at once."""

    failures: int = 0
    closed_until: float = 0.0


def record_failure(
    state: BreakerState, now: float, jitter: float, is_silent: bool = False
) -> BreakerState:
    """Return the state after a failed call; ``jitter`` lies between -1 and 1.

    The first failure alone closes nothing, as one answer may be lost while the platform is well.
    After a call that waited in silence until its deadline, one call at a time finds out whether
    new connections work.

    >>> record_failure(BreakerState(failures=3), now=10.0, jitter=0.0)
    BreakerState(failures=4, closed_until=10.2)
    """
    if not state.failures:
        return BreakerState(PROBING_FAILURES if is_silent else 1, now)
    interval = min(FIRST_INTERVAL_SECONDS * 2 ** (state.failures - 1), LONGEST_INTERVAL_SECONDS)
    interval *= 1 + JITTER_SHARE * jitter
    return BreakerState(min(state.failures + 1, MOST_FAILURES), now + interval)


class Breaker:
    """Let one call through after each interval until a call succeeds."""

    def __init__(
        self,
        read_clock: Callable[[], float] = read_boottime,
        draw: Callable[[], float] = lambda: random.uniform(-1, 1),
    ) -> None:
        self._read_clock = read_clock
        self._draw = draw
        self._state = BreakerState()
        self._round = 0
        self._is_probing = False
        self._lock = threading.Lock()

    def enter(self) -> int | None:
        """Return the round that a call belongs to, or ``None`` if it may not be made now."""
        with self._lock:
            if self._state.failures < PROBING_FAILURES:
                return self._round
            if self._is_probing or self._read_clock() < self._state.closed_until:
                return None
            self._is_probing = True
            return self._round

    def record(self, entered: int, succeeded: bool, is_silent: bool = False) -> None:
        """Record how a call ended; of the calls of one round only the first failure counts.

        ``is_silent`` says that a failed call got no answer until its deadline.
        """
        with self._lock:
            if succeeded:
                self._state = BreakerState()
                self._is_probing = False
            elif entered == self._round:
                self._state = record_failure(
                    self._state, self._read_clock(), self._draw(), is_silent
                )
                self._round += 1
                self._is_probing = False

    def measure_wait(self) -> float:
        """Return the seconds until the next call may be made."""
        with self._lock:
            return max(0.0, self._state.closed_until - self._read_clock())
