"""Track which KV cache blocks the kept store holds."""

import threading
from collections import OrderedDict
from collections.abc import Iterable, Sequence

from turmericproxy.cache.index import BlockKey


class KeptBlocks:
    """Hold the exported blocks, the most recently used ones up to a limit; thread-safe.

    >>> kept = KeptBlocks(limit=2)
    >>> kept.add([1, 2, 3])
    >>> kept.find([1, 2, 3])
    (False, True, True)
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._keys: OrderedDict[BlockKey, None] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, keys: Iterable[BlockKey]) -> None:
        """Record that the store holds the blocks."""
        with self._lock:
            for key in keys:
                self._keys[key] = None
                self._keys.move_to_end(key)
            while len(self._keys) > self._limit:
                self._keys.popitem(last=False)

    def discard(self, keys: Iterable[BlockKey]) -> None:
        """Remove blocks that the store turned out not to hold."""
        with self._lock:
            for key in keys:
                self._keys.pop(key, None)

    def find(self, keys: Sequence[BlockKey]) -> tuple[bool, ...]:
        """Return for each block whether the store holds it."""
        with self._lock:
            return tuple(key in self._keys for key in keys)

    def list_keys(self) -> tuple[BlockKey, ...]:
        """Return all tracked blocks, the most recently used last."""
        with self._lock:
            return tuple(self._keys)
