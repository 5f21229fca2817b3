"""Predict which prompt parts an upstream holds, from what was sent to it and what it tells."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartKey:
    """Name a prompt part within a cache space."""

    space: str
    part_id: str


@dataclass(frozen=True, slots=True)
class _Held:
    """Hold the size of a part, and from when on other engines can fetch it."""

    tokens: int
    ready_at: float


class PrefixTracker:
    """Remember parts by their last use, up to a number of tokens; times are of the event loop.

    >>> memory = PrefixTracker(capacity_tokens=100)
    >>> memory.add([(PartKey("s", "a"), 60), (PartKey("s", "b"), 60)], ready_at=2.0)
    >>> memory.holds(PartKey("s", "a")), memory.holds(PartKey("s", "b"))
    (False, True)
    >>> memory.offers(PartKey("s", "b"), now=1.0)
    False
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens = 0
        self._parts: OrderedDict[PartKey, _Held] = OrderedDict()

    def holds(self, key: PartKey) -> bool:
        """Return whether a part is cached, or will be before a request sent now is read."""
        return key in self._parts

    def offers(self, key: PartKey, now: float) -> bool:
        """Return whether a part has been read, so that others can fetch it."""
        held = self._parts.get(key)
        return held is not None and held.ready_at <= now

    def add(self, parts: Iterable[tuple[PartKey, int]], ready_at: float = 0.0) -> None:
        """Record that parts were used; the least recently used ones give way."""
        for key, tokens in parts:
            before = self._parts.pop(key, None)
            if before:
                self._tokens -= before.tokens
            self._parts[key] = _Held(tokens, min(ready_at, before.ready_at if before else ready_at))
            self._tokens += tokens
        while self._tokens > self._capacity and self._parts:
            _, held = self._parts.popitem(last=False)
            self._tokens -= held.tokens

    def drop(self, key: PartKey) -> None:
        """Record that a part has gone."""
        held = self._parts.pop(key, None)
        if held:
            self._tokens -= held.tokens

    def set_capacity(self, tokens: int) -> None:
        """Change how many tokens are remembered."""
        self._capacity = tokens

    def clear(self) -> None:
        """Forget all parts; the upstream came back empty or changed its weights."""
        self._parts.clear()
        self._tokens = 0
