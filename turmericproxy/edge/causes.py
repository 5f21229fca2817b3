"""Count and log why clients were refused or their connections closed, at a bounded rate."""

import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any

from turmericproxy.logs import Part, log_event

# Seconds between two log lines of one cause, which tells how often it occurred in between.
LOG_INTERVAL_SECONDS = 10.0


class Cause(Enum):
    """Reasons to refuse a request or close a connection; the values are labels of a metric."""

    UNREADABLE = "unreadable"
    SLOW_REQUEST = "slow_request"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    NO_ROOM = "no_room"
    UNREAD_ANSWER = "unread_answer"
    NO_ROOM_FOR_ANSWER = "no_room_for_answer"
    EVICTED = "evicted"
    ACCEPT_FAILED = "accept_failed"
    ACCEPT_PAUSED = "accept_paused"
    LINK_NOT_INTRODUCED = "link_not_introduced"
    LINK_WITHOUT_ROOM = "link_without_room"


class CauseReporter:
    """Pass each occurrence of a cause to a counter, and log one line per cause and interval."""

    def __init__(
        self,
        count: Callable[[Cause], None] = lambda _cause: None,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count = count
        self._read_clock = read_clock
        self._unlogged: Counter[Cause] = Counter()
        self._logged_at: dict[Cause, float] = {}

    def report(self, cause: Cause, **fields: str | int) -> None:
        """Count a cause; ``fields`` describe the occurrence that is logged."""
        self._count(cause)
        self._unlogged[cause] += 1
        now = self._read_clock()
        if now < self._logged_at.get(cause, -LOG_INTERVAL_SECONDS) + LOG_INTERVAL_SECONDS:
            return
        self._logged_at[cause] = now
        times = self._unlogged.pop(cause)
        details: dict[str, Any] = fields
        log_event(Part.CALLERS, "client limited", cause=cause.value, times=times, **details)
