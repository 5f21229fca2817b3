"""Predict which prompt parts an upstream has cached, from requests sent to it and its events."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple


class PartKey(NamedTuple):
    """Identify a prompt part within a cache space.

    A tuple, since keys are hashed for each part of each prompt that any host places.
    """

    space: str
    part_id: str


class _TrackedPart(NamedTuple):
    """Hold the size of a part and the time from which other engines can fetch it."""

    tokens: int
    ready_at: float


class PrefixTracker:
    """Track cached parts in LRU order, up to a number of tokens; times are of the event loop.

    >>> tracker = PrefixTracker(capacity_tokens=100)
    >>> tracker.add([(PartKey("s", "a"), 60), (PartKey("s", "b"), 60)], ready_at=2.0)
    >>> tracker.holds(PartKey("s", "a")), tracker.holds(PartKey("s", "b"))
    (False, True)
    >>> tracker.is_fetchable(PartKey("s", "b"), now=1.0)
    False
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens = 0
        self._parts: OrderedDict[PartKey, _TrackedPart] = OrderedDict()

    def holds(self, key: PartKey) -> bool:
        """Return whether a part is cached, or will be before a request sent now is prefilled."""
        return key in self._parts

    def is_fetchable(self, key: PartKey, now: float) -> bool:
        """Return whether a part has been prefilled, so that other engines can fetch it."""
        part = self._parts.get(key)
        return part is not None and part.ready_at <= now

    def add(self, parts: Iterable[tuple[PartKey, int]], ready_at: float = 0.0) -> None:
        """Record the use of parts, and evict the least recently used ones beyond the capacity."""
        for key, tokens in parts:
            previous = self._parts.pop(key, None)
            if previous:
                self._tokens -= previous.tokens
            self._parts[key] = _TrackedPart(
                tokens, min(ready_at, previous.ready_at if previous else ready_at)
            )
            self._tokens += tokens
        while self._tokens > self._capacity and self._parts:
            _, part = self._parts.popitem(last=False)
            self._tokens -= part.tokens

    def remove(self, key: PartKey) -> None:
        """Record that a part is no longer cached."""
        part = self._parts.pop(key, None)
        if part:
            self._tokens -= part.tokens

    def set_capacity(self, tokens: int) -> None:
        """Set the maximum number of tracked tokens; a smaller one takes effect at the next use."""
        self._capacity = tokens

    def clear(self) -> None:
        """Remove all parts, after the upstream restarted or changed its weights."""
        self._parts.clear()
        self._tokens = 0
