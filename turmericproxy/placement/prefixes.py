"""Predict which prompt parts an upstream holds, from what was sent to it."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartKey:
    """Name a prompt part within a cache space."""

    space: str
    part_id: str


class PrefixMemory:
    """Remember parts by their last use, up to a number of tokens.

    >>> memory = PrefixMemory(capacity_tokens=100)
    >>> memory.add([(PartKey("s", "a"), 60), (PartKey("s", "b"), 60)])
    >>> memory.holds(PartKey("s", "a")), memory.holds(PartKey("s", "b"))
    (False, True)
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._tokens = 0
        self._parts: OrderedDict[PartKey, int] = OrderedDict()

    def holds(self, key: PartKey) -> bool:
        """Return whether a part is expected to be cached."""
        return key in self._parts

    def add(self, parts: Iterable[tuple[PartKey, int]]) -> None:
        """Record that parts were used; the least recently used ones give way."""
        for key, tokens in parts:
            self._tokens += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def set_capacity(self, tokens: int) -> None:
        """Change how many tokens are remembered."""
        self._capacity = tokens

    def clear(self) -> None:
        """Forget all parts; the upstream came back empty or changed its weights."""
        self._parts.clear()
        self._tokens = 0
