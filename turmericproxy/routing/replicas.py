"""Decide which hot prefixes get a further replica, and where."""

import threading
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.cache.index import BlockKey
from turmericproxy.routing.scoring import SURELY_PRESENT, KeptChain
from turmericproxy.routing.views import Candidate

HALF_LIFE = 2.0
HOT_USES = 3.0
REPLICAS = 2
PAUSE = 1.0
COUNTED_CHAINS = 4_096


@dataclass(frozen=True)
class ChainUse:
    """Hold the decayed uses of a chain as of a boot time, and when a replica was last made."""

    uses: float = 0.0
    counted_at: float = 0.0
    replicated_at: float = float("-inf")

    def count(self, now: float) -> "ChainUse":
        """Return the use with one more request.

        >>> ChainUse(uses=2.0, counted_at=10.0).count(12.0).uses
        2.0
        """
        age = max(0.0, now - self.counted_at)
        return ChainUse(1.0 + self.uses * 0.5 ** (age / HALF_LIFE), now, self.replicated_at)

    def is_due(self, now: float) -> bool:
        """Return whether the chain is hot and no replica was made a moment ago."""
        return self.uses >= HOT_USES and now - self.replicated_at >= PAUSE


class ChainUses:
    """Count how often chains are used over all hosts, the lately used ones."""

    def __init__(self) -> None:
        self._uses: OrderedDict[BlockKey, ChainUse] = OrderedDict()
        self._lock = threading.Lock()

    def count(self, last: BlockKey, now: float) -> None:
        """Count a request whose chain ends with a block."""
        with self._lock:
            self._uses[last] = self._uses.get(last, ChainUse()).count(now)
            self._uses.move_to_end(last)
            if len(self._uses) > COUNTED_CHAINS:
                self._uses.popitem(last=False)

    def take_due(self, last: BlockKey, now: float) -> bool:
        """Return whether the chain needs a look now, and begin its pause."""
        with self._lock:
            use = self._uses.get(last)
            if use is None or not use.is_due(now):
                return False
            self._uses[last] = ChainUse(use.uses, use.counted_at, now)
            return True


def choose_replica(
    candidates: Sequence[Candidate], taken: Candidate, kept: KeptChain
) -> Candidate | None:
    """Return the engine that should import a hot chain, or ``None`` if enough hold it.

    An engine that is lost, or busy, then does not take the only copy with it.
    """
    blocks = len(kept.is_kept)
    if not blocks or not all(kept.is_kept):
        return None
    holders = [c for c in candidates if c is taken or _holds_chain(c, blocks)]
    others = [c for c in candidates if c not in holders]
    if len(holders) >= REPLICAS or not others:
        return None
    return min(others, key=lambda candidate: candidate.queue_seconds)


def _holds_chain(candidate: Candidate, blocks: int) -> bool:
    chances = candidate.view.chances
    return len(chances) == blocks and chances[-1] >= SURELY_PRESENT
