"""Hold a bounded prefix cache that evicts the least recently used block."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum


class CacheEventKind(Enum):
    """Tell what happened to a block."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


Publish = Callable[[CacheEventKind, str | None], None]


class PrefixCache:
    """Keep at most ``capacity`` blocks and publish what is stored and removed."""

    def __init__(self, capacity: int, publish: Publish) -> None:
        self.capacity = capacity
        self._publish = publish
        self._models: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._models)

    def list_blocks(self) -> list[str]:
        """Return the cached blocks, the least recently used first."""
        return list(self._models)

    def find_weights(self, block: str) -> str | None:
        """Return the weights that computed a block, or ``None`` if it is not cached."""
        return self._models.get(block)

    def match(self, chain: Sequence[str]) -> int:
        """Return how many leading blocks of a chain are cached, and mark them as used."""
        count = 0
        while count < len(chain) and chain[count] in self._models:
            count += 1
        # The deepest block is marked first, so that it is evicted before those it depends on.
        for block in reversed(chain[:count]):
            self._models.move_to_end(block)
        return count

    def store(self, block: str, weights: str) -> None:
        """Add a block computed by ``weights``, evicting others when the cache is full."""
        if block in self._models:
            self._models.move_to_end(block)
            return
        while self._models and len(self._models) >= self.capacity:
            evicted, _ = self._models.popitem(last=False)
            self._publish(CacheEventKind.REMOVED, evicted)
        self._models[block] = weights
        self._publish(CacheEventKind.STORED, block)

    def remove_model(self, weights: str) -> None:
        """Drop the blocks that were computed by these weights."""
        for block in [block for block, owner in self._models.items() if owner == weights]:
            del self._models[block]
            self._publish(CacheEventKind.REMOVED, block)

    def clear(self) -> None:
        """Drop every block."""
        self._models.clear()
        self._publish(CacheEventKind.CLEARED, None)
