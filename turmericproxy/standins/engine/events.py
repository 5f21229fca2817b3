"""Log of cache events, some of which are delayed or lost."""

import random
import threading
import time
from collections import deque
from dataclasses import dataclass

from turmericproxy.standins.engine.cache import CacheEventKind
from turmericproxy.standins.engine.options import EngineFaults

MAX_EVENTS = 20_000


@dataclass(frozen=True)
class CacheEvent:
    """Cache event; ``visible_at`` is in seconds on the monotonic clock."""

    seq: int
    kind: CacheEventKind
    block: str | None
    visible_at: float


@dataclass(frozen=True)
class EventPage:
    """Events after a sequence number; the following page starts after ``next``."""

    events: tuple[CacheEvent, ...]
    next: int


class EventLog:
    """Number events and drop the share of them that the ``event_loss`` fault sets."""

    def __init__(self, faults: EngineFaults, seed: int) -> None:
        self._faults = faults
        self._random = random.Random(seed)
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0
        self._changed = threading.Condition()

    def publish(self, kind: CacheEventKind, block: str | None) -> None:
        """Number an event and append it, unless it is one of those to lose."""
        with self._changed:
            self._seq += 1
            if self._random.random() >= self._faults.event_loss:
                visible_at = time.monotonic() + self._faults.event_lag
                self._events.append(CacheEvent(self._seq, kind, block, visible_at))
                self._changed.notify_all()

    def read(self, after: int, limit: int, wait: float) -> EventPage:
        """Return the visible events after a number, waiting up to ``wait`` seconds for one."""
        deadline = time.monotonic() + wait
        with self._changed:
            if after > self._seq:
                return EventPage((), 0)
            while True:
                page = self._collect(after, limit)
                now = time.monotonic()
                if page or now >= deadline:
                    return EventPage(page, page[-1].seq if page else after)
                self._changed.wait(
                    min(deadline, self._find_next_visible_time(after, deadline)) - now
                )

    def _collect(self, after: int, limit: int) -> tuple[CacheEvent, ...]:
        now = time.monotonic()
        newer: list[CacheEvent] = []
        for event in reversed(self._events):
            if event.seq <= after:
                break
            newer.append(event)
        visible = [event for event in reversed(newer) if event.visible_at <= now]
        return tuple(visible[:limit])

    def _find_next_visible_time(self, after: int, default: float) -> float:
        times = [event.visible_at for event in self._events if event.seq > after]
        return min(times, default=default) + 0.001
