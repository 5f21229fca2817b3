"""Prefix cache of bounded size that evicts the least recently used block."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum


class CacheEventKind(Enum):
    """Change to the cache that an event reports."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


PublishEvent = Callable[[CacheEventKind, str | None], None]


class PrefixCache:
    """Cache up to ``capacity`` blocks and publish an event for each change."""

    def __init__(self, capacity: int, publish: PublishEvent) -> None:
        self.capacity = capacity
        self._publish = publish
        self._weights_by_block: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._weights_by_block)

    def list_blocks(self) -> list[str]:
        """Return the cached blocks, the least recently used first."""
        return list(self._weights_by_block)

    def find_weights(self, block: str) -> str | None:
        """Return the weights that computed a block, or ``None`` if it is not cached."""
        return self._weights_by_block.get(block)

    def match(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks are cached, and mark them as recently used."""
        count = 0
        while count < len(blocks) and blocks[count] in self._weights_by_block:
            count += 1
        # The deepest block is marked first, so that it is evicted before those it depends on.
        for block in reversed(blocks[:count]):
            self._weights_by_block.move_to_end(block)
        return count

    def store(self, block: str, weights: str) -> None:
        """Add a block computed by ``weights``, evicting others when the cache is full."""
        if block in self._weights_by_block:
            self._weights_by_block.move_to_end(block)
            return
        while self._weights_by_block and len(self._weights_by_block) >= self.capacity:
            evicted, _ = self._weights_by_block.popitem(last=False)
            self._publish(CacheEventKind.REMOVED, evicted)
        self._weights_by_block[block] = weights
        self._publish(CacheEventKind.STORED, block)

    def remove_weights(self, weights: str) -> None:
        """Remove the blocks that were computed by these weights."""
        for block in [
            block for block, computed_by in self._weights_by_block.items() if computed_by == weights
        ]:
            del self._weights_by_block[block]
            self._publish(CacheEventKind.REMOVED, block)

    def clear(self) -> None:
        """Remove every block."""
        self._weights_by_block.clear()
        self._publish(CacheEventKind.CLEARED, None)
