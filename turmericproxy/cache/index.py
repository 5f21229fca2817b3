"""Predict which engines have the blocks of a prompt cached."""

import math
import threading
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from turmericproxy.cache.residence import Residence, update_from_eviction, update_from_lookup
from turmericproxy.core import EngineName, Incarnation

INITIAL_UNCERTAIN_HIT_RATE = 0.5
UNCERTAIN_HIT_RATE_SMOOTHING = 0.1
INITIAL_LAG_SECONDS = 0.5
LAG_SMOOTHING = 0.1
KEY_HEX_DIGITS = 16

BlockKey = int


def create_key(block: str) -> BlockKey:
    """Return the index key of a block: the first 64 bits of its hexadecimal hash."""
    return int(block[:KEY_HEX_DIGITS], 16)


@dataclass(frozen=True)
class Lookup:
    """Hold the prediction for a block at the time when a request that needs it was sent.

    ``age`` is the time in seconds since the last known use, infinite if there was none or if the
    block was to be imported. ``is_uncertain`` holds if events of the engine were lost since then.
    """

    age: float
    is_uncertain: bool = False


@dataclass
class _EngineBlocks:
    """Hold the predicted blocks of one incarnation of an engine, the least recently used first.

    ``uncertain_hit_rate`` is the share of uncertain blocks that turned out to be cached.
    ``unconfirmed`` holds predicted blocks whose storage no event has confirmed yet.
    """

    incarnation: Incarnation | None = None
    capacity: float = math.inf
    uncertain_hit_rate: float = INITIAL_UNCERTAIN_HIT_RATE
    used_at: dict[BlockKey, float] = field(default_factory=dict)
    unconfirmed: set[BlockKey] = field(default_factory=set)
    events_lost_at: float = -math.inf
    residence: Residence = Residence()
    event_lag: float = INITIAL_LAG_SECONDS

    def touch(self, key: BlockKey, now: float) -> None:
        self.used_at.pop(key, None)
        self.used_at[key] = now

    def remove(self, key: BlockKey) -> None:
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
        return presence * self.uncertain_hit_rate if self.is_uncertain(key) else presence

    def is_uncertain(self, key: BlockKey) -> bool:
        used_at = self.used_at.get(key, math.inf)
        return used_at < self.events_lost_at and key not in self.unconfirmed

    def update_from_lookup(self, lookup: Lookup, was_cached: bool) -> None:
        if lookup.age == math.inf:
            return
        if lookup.is_uncertain:
            self.uncertain_hit_rate += UNCERTAIN_HIT_RATE_SMOOTHING * (
                was_cached - self.uncertain_hit_rate
            )
        else:
            self.residence = update_from_lookup(self.residence, lookup.age, was_cached)


class PrefixIndex:
    """Hold the predicted blocks of each engine, at most ``limit`` in total; thread-safe.

    Dispatches of this host and its peers predict stored blocks, and evictions once the engine's
    capacity is reached. Events of the engines arrive later, and confirm or remove blocks. A new
    incarnation of an engine removes all blocks of the old one. Times are boot times in seconds.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._engines: dict[EngineName, _EngineBlocks] = {}
        self._count = 0
        self._lock = threading.Lock()

    def observe_incarnation(self, engine: EngineName, incarnation: Incarnation) -> bool:
        """Return whether a new incarnation replaced a known one; if so, remove the old blocks."""
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
        """Set the number of blocks that the engine's cache can hold."""
        with self._lock:
            self._engines.setdefault(engine, _EngineBlocks()).capacity = capacity

    def predict(self, engine: EngineName, keys: Sequence[BlockKey], now: float) -> None:
        """Record that a dispatch makes the engine store the blocks of a chain.

        Engines evict the last block of a chain first, so that block becomes the least recently
        used one of the chain.
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
        """Remove unconfirmed blocks of a dispatch that never reached the engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            for key in keys if blocks else ():
                if key in blocks.unconfirmed:  # type: ignore[union-attr]
                    self._drop(blocks, key)  # type: ignore[arg-type]

    def confirm(
        self, engine: EngineName, incarnation: Incarnation, key: BlockKey, now: float
    ) -> None:
        """Apply an engine's event, which arrives with a lag, that it stored a block."""
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
        """Apply an engine's event, which arrives with a lag, that it evicted a block.

        The event is ignored for a block used within the usual lag, since it was stored again after
        the eviction.
        """
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None or blocks.incarnation != incarnation or key not in blocks.used_at:
                return
            age = now - blocks.event_lag - blocks.used_at[key]
            if age <= 0:
                return
            blocks.residence = update_from_eviction(blocks.residence, age)
            self._drop(blocks, key)

    def clear(self, engine: EngineName) -> None:
        """Remove all blocks of an engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks:
                self._clear(blocks)

    def mark_uncertain(self, engine: EngineName, now: float) -> None:
        """Mark an engine's confirmed blocks as uncertain until their next use; events were lost."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks:
                blocks.events_lost_at = now

    def record_usage(self, engine: EngineName, lookups: Sequence[Lookup], cached: int) -> None:
        """Update the estimates with the number of a finished request's blocks that were cached."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return
            for position, lookup in enumerate(lookups[: cached + 1]):
                blocks.update_from_lookup(lookup, was_cached=position < cached)

    def estimate_presence(
        self, engine: EngineName, keys: Sequence[BlockKey], now: float
    ) -> list[float]:
        """Return for each block of a chain the probability that it and all before it are cached.

        The list ends before the first block with probability 0.
        """
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return []
            probabilities: list[float] = []
            probability = 1.0
            for key in keys:
                probability = min(probability, blocks.estimate_presence(key, now))
                if probability <= 0.0:
                    break
                probabilities.append(probability)
            return probabilities

    def look_up(self, engine: EngineName, keys: Sequence[BlockKey], now: float) -> list[Lookup]:
        """Return the current prediction for each block at an engine."""
        with self._lock:
            blocks = self._engines.get(engine)
            if blocks is None:
                return [Lookup(math.inf)] * len(keys)
            return [
                Lookup(now - blocks.used_at.get(key, -math.inf), blocks.is_uncertain(key))
                for key in keys
            ]

    def get_residence(self, engine: EngineName) -> Residence:
        """Return the estimated time for which the engine keeps unused blocks."""
        with self._lock:
            blocks = self._engines.get(engine)
            return blocks.residence if blocks else Residence()

    def count_blocks(self) -> int:
        """Return the number of predicted blocks of all engines."""
        with self._lock:
            return self._count

    def forget_engine(self, engine: EngineName) -> None:
        """Remove an engine that is no longer in the configuration."""
        with self._lock:
            blocks = self._engines.pop(engine, None)
            if blocks:
                self._count -= len(blocks.used_at)

    def _clear(self, blocks: _EngineBlocks) -> None:
        self._count -= len(blocks.used_at)
        blocks.clear()

    def _drop(self, blocks: _EngineBlocks, key: BlockKey) -> None:
        self._count -= 1
        blocks.remove(key)

    def _enforce_limit(self, engine_blocks: _EngineBlocks) -> None:
        while len(engine_blocks.used_at) > engine_blocks.capacity:
            self._drop(engine_blocks, next(iter(engine_blocks.used_at)))
        while self._count > self._limit:
            largest = max(self._engines.values(), key=lambda blocks: len(blocks.used_at))
            self._drop(largest, next(iter(largest.used_at)))
