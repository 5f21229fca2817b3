"""Predict which engines hold the blocks of a prompt."""

import math
import threading
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from turmericproxy.cache.residence import Residence, learn_eviction, learn_lookup
from turmericproxy.core import EngineName, Incarnation

FIRST_TRUST = 0.5
TRUST_SMOOTHING = 0.1
FIRST_LAG = 0.5
LAG_SMOOTHING = 0.1
KEY_DIGITS = 16

BlockKey = int


def create_key(block: str) -> BlockKey:
    """Return the first 64 bits of a block's hash, under which the index keeps it."""
    return int(block[:KEY_DIGITS], 16)


@dataclass(frozen=True)
class Lookup:
    """Say what was known of a block when a request that needs it was sent.

    ``age`` is in seconds since the last known use, infinite if there was none or if the block
    was to be imported.
    """

    age: float
    is_doubted: bool = False


@dataclass
class _EngineBlocks:
    """Hold the blocks expected at one incarnation of an engine, the least lately used first.

    ``trust`` is the part of the doubted blocks that turned out to be cached.
    """

    incarnation: Incarnation | None = None
    capacity: float = math.inf
    trust: float = FIRST_TRUST
    used_at: dict[BlockKey, float] = field(default_factory=dict)
    unconfirmed: set[BlockKey] = field(default_factory=set)
    doubted_at: float = -math.inf
    residence: Residence = Residence()
    event_lag: float = FIRST_LAG

    def touch(self, key: BlockKey, now: float) -> None:
        self.used_at.pop(key, None)
        self.used_at[key] = now

    def drop(self, key: BlockKey) -> None:
        self.used_at.pop(key, None)
        self.unconfirmed.discard(key)

    def clear(self) -> None:
        self.used_at = {}
        self.unconfirmed = set()

    def estimate_presence(self, key: BlockKey, now: float) -> float:
        used_at = self.used_at.get(key)
        if used_at is None:
            return 0.0
        presence = self.residence.estimate_presence(now - used_at)
        return presence * self.trust if self.is_doubted(key) else presence

    def is_doubted(self, key: BlockKey) -> bool:
        used_at = self.used_at.get(key, math.inf)
        return used_at < self.doubted_at and key not in self.unconfirmed

    def learn_lookup(self, lookup: Lookup, was_cached: bool) -> None:
        if lookup.age == math.inf:
            return
        if lookup.is_doubted:
            self.trust += TRUST_SMOOTHING * (was_cached - self.trust)
        else:
            self.residence = learn_lookup(self.residence, lookup.age, was_cached)


class PrefixIndex:
    """Keep the expected blocks of each engine, at most ``limit`` in all.

    Own dispatches and those of peers predict blocks, and which ones the engine evicts for them
    once its capacity is reached; events of the engines confirm and remove blocks late. A new
    incarnation drops everything that was known of the old one. Times are boot times in seconds.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._engines: dict[EngineName, _EngineBlocks] = {}
        self._count = 0
        self._lock = threading.Lock()

    def observe_incarnation(self, engine: EngineName, incarnation: Incarnation) -> bool:
        """Return whether the incarnation is new; if it is, forget the old one's blocks."""
        with self._lock:
            blocks = self._engines.setdefault(engine, _EngineBlocks())
            if blocks.incarnation == incarnation:
                return False
            is_first = blocks.incarnation is None
            blocks.incarnation = incarnation
            if not is_first:
                self._clear(blocks)
            return not is_first

    def set_capacity(self, engine: EngineName, capacity: int) -> None:
        """Take in how many blocks the engine's cache holds."""
        with self._lock:
            self._engines.setdefault(engine, _EngineBlocks()).capacity = capacity

    def predict(self, engine: EngineName, keys: Sequence[BlockKey], now: float) -> None:
        """Expect that the engine holds the blocks of this chain after a dispatch.

        Engines evict the deepest block of a chain first, so it counts as used the earliest.
        """
        with self._lock:
            blocks = self._engines.setdefault(engine, _EngineBlocks())
            for key in reversed(keys):
                if key not in blocks.used_at:
                    self._count += 1
                    blocks.unconfirmed.add(key)
                blocks.touch(key, now)
            self._enforce_limit(blocks)

    def remove_predictions(self, engine: EngineName, keys: Iterable[BlockKey]) -> None:
        """Forget predictions of a dispatch that never reached the engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            for key in keys if blocks else ():
                if key in blocks.unconfirmed:  # type: ignore[union-attr]
                    self._drop(blocks, key)  # type: ignore[arg-type]

    def confirm(
        self, engine: EngineName, incarnation: Incarnation, key: BlockKey, now: float
    ) -> None:
        """Take in the late event that the engine stored a block."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None or blocks.incarnation != incarnation:
                return
            if key not in blocks.used_at:
                self._count += 1
                blocks.touch(key, now - blocks.event_lag)
                self._enforce_limit(blocks)
            elif key in blocks.unconfirmed:
                blocks.unconfirmed.discard(key)
                lag = now - blocks.used_at[key]
                blocks.event_lag += LAG_SMOOTHING * (lag - blocks.event_lag)

    def remove(
        self, engine: EngineName, incarnation: Incarnation, key: BlockKey, now: float
    ) -> None:
        """Take in the late event that the engine evicted a block.

        A block used within the usual lag of events has been stored again since.
        """
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None or blocks.incarnation != incarnation or key not in blocks.used_at:
                return
            age = now - blocks.event_lag - blocks.used_at[key]
            if age <= 0:
                return
            blocks.residence = learn_eviction(blocks.residence, age)
            self._drop(blocks, key)

    def clear(self, engine: EngineName) -> None:
        """Forget all blocks of an engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks:
                self._clear(blocks)

    def mark_uncertain(self, engine: EngineName, now: float) -> None:
        """Trust the blocks of an engine less, since some of its events were lost."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks:
                blocks.doubted_at = now

    def record_usage(self, engine: EngineName, lookups: Sequence[Lookup], cached: int) -> None:
        """Learn from a finished request how many of its blocks were cached."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return
            for place, lookup in enumerate(lookups[: cached + 1]):
                blocks.learn_lookup(lookup, was_cached=place < cached)

    def estimate_presence(
        self, engine: EngineName, keys: Sequence[BlockKey], now: float
    ) -> list[float]:
        """Return for each block of a chain the chance that it and all before it are cached."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return []
            chances: list[float] = []
            chance = 1.0
            for key in keys:
                chance = min(chance, blocks.estimate_presence(key, now))
                if chance <= 0.0:
                    break
                chances.append(chance)
            return chances

    def look_up(self, engine: EngineName, keys: Sequence[BlockKey], now: float) -> list[Lookup]:
        """Return what is known of each block at an engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return [Lookup(math.inf)] * len(keys)
            return [
                Lookup(now - blocks.used_at.get(key, -math.inf), blocks.is_doubted(key))
                for key in keys
            ]

    def get_residence(self, engine: EngineName) -> Residence:
        """Return how long the engine keeps unused blocks."""
        with self._lock:
            blocks = self._engines.get(engine)
            return blocks.residence if blocks else Residence()

    def count_blocks(self) -> int:
        """Return the number of blocks kept for all engines together."""
        with self._lock:
            return self._count

    def forget_engine(self, engine: EngineName) -> None:
        """Forget an engine that the configuration no longer has."""
        with self._lock:
            blocks = self._engines.pop(engine, None)
            if blocks:
                self._count -= len(blocks.used_at)

    def _clear(self, blocks: _EngineBlocks) -> None:
        self._count -= len(blocks.used_at)
        blocks.clear()

    def _drop(self, blocks: _EngineBlocks, key: BlockKey) -> None:
        self._count -= 1
        blocks.drop(key)

    def _enforce_limit(self, grown: _EngineBlocks) -> None:
        while len(grown.used_at) > grown.capacity:
            self._drop(grown, next(iter(grown.used_at)))
        while self._count > self._limit:
            largest = max(self._engines.values(), key=lambda blocks: len(blocks.used_at))
            self._drop(largest, next(iter(largest.used_at)))
