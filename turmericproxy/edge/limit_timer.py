"""Time what a client takes, by limits that a new configuration may change meanwhile."""

import asyncio
from collections.abc import Callable

from turmericproxy.edge.limits import EdgeLimits


class LimitTimer:
    """Call one action after a time; a later start replaces it.

    ``get_limits`` returns the limits that currently apply.
    """

    def __init__(self, get_limits: Callable[[], EdgeLimits]) -> None:
        self._get_limits = get_limits
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Call nothing."""
        if self._handle:
            self._handle.cancel()
            self._handle = None

    def start(self, seconds: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a time in seconds."""
        if self._handle:
            self._handle.cancel()
        self._handle = self._loop.call_later(seconds, action)

    def start_limit(
        self, get_seconds: Callable[[EdgeLimits], float], action: Callable[[], None]
    ) -> None:
        """Call ``action`` after a time limit, and no sooner if a new configuration raises it."""
        started = self._loop.time()

        def check() -> None:
            seconds_left = started + get_seconds(self._get_limits()) - self._loop.time()
            if seconds_left > 0.0:
                self.start(seconds_left, check)
            else:
                action()

        self.start(get_seconds(self._get_limits()), check)


def get_head_seconds(limits: EdgeLimits) -> float:
    """Return the limit of the time for a head."""
    return limits.head_seconds


def get_idle_seconds(limits: EdgeLimits) -> float:
    """Return the limit of the time between two requests."""
    return limits.idle_seconds
