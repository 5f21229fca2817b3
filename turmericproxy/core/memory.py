"""Account for the bytes that a host keeps for its clients, so that their sum stays bounded."""

import math
from collections import Counter
from enum import Enum

# Holdings up to this size may use all of the limit, larger ones a share of it: requests and
# answers of the usual size go on while others flood.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.8
# Share of the limit for the large holdings of one owner.
OWNER_SHARE = 0.5
# Share of the limit for what one peer address has sent of heads, and for its large heads: one of
# 4,096 lines takes 1.7 MB once it is parsed, so that a few fit on the smallest machine.
PEER_HEADS_SHARE = 0.25
PEER_LARGE_HEADS_SHARE = 0.1


class HeldKind(Enum):
    """What is kept; the values are labels of a metric."""

    ANSWERS = "answers"
    BODIES = "bodies"
    HEADS = "heads"
    LINKS = "links"
    UNSENT = "unsent"


class MemoryAccount:
    """Count the bytes that are held by kind and owner; ``limit`` is in bytes.

    An owner is an upstream, a caller, or a peer address while the caller is not known.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0.0
        self._by_kind: Counter[HeldKind] = Counter()
        self._by_owner: Counter[tuple[HeldKind, str]] = Counter()

    def open(self, kind: HeldKind, owner: str) -> "Holding":
        """Return an empty holding of an owner, which must be closed."""
        return Holding(self, kind, owner)

    def list_held(self) -> dict[str, float]:
        """Return the bytes held, by kind."""
        return {kind.value: float(self._by_kind[kind]) for kind in HeldKind}

    def describe(self) -> str:
        """Return how far the account is filled."""
        return f"the host holds {self.held / 1e6:.1f} of {self.limit / 1e6:.1f} MB for requests"

    def may_change(self, kind: HeldKind, owner: str, old: int, new: int) -> bool:
        """Return whether a holding may change from an old to a new size in bytes."""
        if new <= old:
            return True
        held = self.held + new - old
        is_small = new <= SMALL_BYTES
        if is_small and kind is not HeldKind.HEADS:
            return held <= self.limit
        of_owner = self._by_owner[kind, owner] + new - old
        if kind is HeldKind.HEADS:
            share = PEER_HEADS_SHARE if is_small else PEER_LARGE_HEADS_SHARE
            return held <= self.limit and of_owner <= share * self.limit
        return held <= LARGE_SHARE * self.limit and of_owner <= OWNER_SHARE * self.limit

    def change(self, kind: HeldKind, owner: str, change: int) -> None:
        """Add a change in bytes to what an owner holds."""
        self.held += change
        self._by_kind[kind] += change
        self._by_owner[kind, owner] += change
        if not self._by_owner[kind, owner]:
            del self._by_owner[kind, owner]


class Holding:
    """Bytes that are held for one request, until ``close``."""

    __slots__ = ("_account", "_kind", "_owner", "size")

    def __init__(self, account: MemoryAccount, kind: HeldKind, owner: str) -> None:
        self._account = account
        self._kind = kind
        self._owner = owner
        self.size = 0

    def resize(self, size: int) -> bool:
        """Change to a size in bytes; return whether the account has room, else change nothing."""
        if not self._account.may_change(self._kind, self._owner, self.size, size):
            return False
        self._account.change(self._kind, self._owner, size - self.size)
        self.size = size
        return True

    def describe(self) -> str:
        """Return how far the account is filled."""
        return self._account.describe()

    def close(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


_UNLIMITED = MemoryAccount()


def open_unlimited() -> Holding:
    """Return a holding without a limit, for what isn't held for a client."""
    return _UNLIMITED.open(HeldKind.ANSWERS, "")
