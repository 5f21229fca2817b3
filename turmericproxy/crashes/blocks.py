"""Keep the prompt parts that a host refuses, and for how long."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from turmericproxy.core import ModelName, RequestId

# Time until one request is sent again as a trial. Each trial may end an engine.
FIRST_BLOCK_SECONDS = 600.0
MAX_BLOCK_SECONDS = 86_400.0
# Time after which a trial without a result is given up.
TRIAL_SECONDS = 10.0
# The oldest blocks are dropped.
MAX_BLOCKS = 64

BlockKey = tuple[ModelName, frozenset[str]]


@dataclass
class Block:
    """Refuse prompts for a model that hold all of some parts, until a time of the event loop.

    Several parts can't be told apart if every prompt that ended an engine held all of them.
    ``blamed_until`` is the time of the last end that speaks against them.
    """

    model: ModelName
    parts: frozenset[str]
    until: float
    failed_trials: int = 0
    is_stored: bool = False
    blamed_until: float = float("inf")
    changed_at: float = 0.0
    trial: RequestId | None = None
    trial_at: float = 0.0

    @property
    def key(self) -> BlockKey:
        """Return what identifies the block."""
        return self.model, self.parts

    @property
    def name(self) -> str:
        """Return the identifier of the block in logs and in the store."""
        return f"{self.model}/{'+'.join(sorted(self.parts))}"

    def matches(self, model: ModelName, parts: Iterable[str]) -> bool:
        """Return whether a prompt with these shared parts is refused."""
        return model == self.model and self.parts.issubset(parts)

    def extend(self, now: float) -> None:
        """Extend the block after a trial has ended an engine."""
        self.failed_trials += 1
        self.until = now + compute_block_seconds(self.failed_trials)
        self.is_stored, self.changed_at, self.trial = False, now, None

    def start_trial(self, request_id: RequestId, now: float) -> bool:
        """Let one request through once the time is over; return whether it is this one."""
        if now < self.until or (self.trial and now < self.trial_at + TRIAL_SECONDS):
            return False
        if request_id == self.trial:
            return False
        self.trial, self.trial_at = request_id, now
        return True


def compute_block_seconds(failed_trials: int) -> float:
    """Return how long a part is refused after some failed trials.

    >>> compute_block_seconds(0), compute_block_seconds(1), compute_block_seconds(60)
    (600.0, 1200.0, 86400.0)
    """
    return min(MAX_BLOCK_SECONDS, FIRST_BLOCK_SECONDS * 2.0 ** min(failed_trials, 16))


class BlockList:
    """Hold the blocks in force."""

    def __init__(self) -> None:
        self._blocks: dict[BlockKey, Block] = {}

    def __iter__(self) -> Iterator[Block]:
        return iter(list(self._blocks.values()))

    def __len__(self) -> int:
        return len(self._blocks)

    def get(self, key: BlockKey) -> Block | None:
        """Return a block by its key."""
        return self._blocks.get(key)

    def find(self, model: ModelName, parts: Iterable[str]) -> Block | None:
        """Return the block that a prompt with these shared parts falls under."""
        if not self._blocks:
            return None
        held = frozenset(parts)
        return next((b for b in self._blocks.values() if b.matches(model, held)), None)

    def add(self, block: Block) -> None:
        """Add a block in place of wider ones, which it covers."""
        for other in list(self._blocks.values()):
            if other.model == block.model and block.parts <= other.parts:
                del self._blocks[other.key]
        self._blocks[block.key] = block
        if len(self._blocks) > MAX_BLOCKS:
            del self._blocks[next(iter(self._blocks))]

    def remove(self, key: BlockKey) -> Block | None:
        """Remove a block and return it."""
        return self._blocks.pop(key, None)
