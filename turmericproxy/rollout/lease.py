"""Decide which host may order engines, by a lease row that only conditional writes change.

A store that was restored from an older copy may show the lease of an earlier holder or none, while
a later holder still orders. So fences follow from the era and the version of the store, which rise
whatever the row says.
"""

from dataclasses import dataclass

# Long enough for several orders and their answers.
LEASE_SECONDS = 2.0
# More versions than a store that returns from a copy some seconds old can lose.
MAX_LOST_VERSIONS = 1_000_000


@dataclass(frozen=True, slots=True)
class OrderLease:
    """Represent the lease on ordering engines; ``until`` is by the store's clock, in seconds.

    ``holder`` identifies a machine, not a process, so a restarted host remains the holder. ``era``
    is the era of the store in which the lease was written.
    """

    holder: str
    fence: int
    until: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseView:
    """Hold what a host knows when it asks for the lease; times are in seconds.

    ``version`` is the store's newest one. ``current`` is the lease there, if any. If it isn't of
    the store's present ``era``, other holders may have followed; ``unclear_seconds`` is for how
    long the host has seen that. With ``is_own_held``, this host has the lease of an earlier era and
    may still give orders. ``read_seconds`` is the time since the call that returned ``store_clock``
    was sent, so the store's clock now shows at most their sum.
    """

    current: OrderLease | None
    store_clock: float
    version: int
    era: int = 0
    unclear_seconds: float = 0.0
    is_own_held: bool = False
    read_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Claim:
    """Represent the decision to write a lease now."""

    lease: OrderLease


@dataclass(frozen=True, slots=True)
class Wait:
    """Represent the decision to wait while orders of another holder may be in transit."""

    seconds: float


def decide_claim(view: LeaseView, holder: str, guard_seconds: float) -> Claim | Wait:
    """Return the lease to write, or how long to wait.

    A new holder waits for ``guard_seconds`` after the previous holder's lease has expired. If the
    store doesn't show the last lease, it waits for as long as one may still be held unseen.

    >>> decide_claim(LeaseView(OrderLease("b", 4, 9.0), 10.0, 7), "a", 3.0)
    Wait(seconds=2.0)
    >>> decide_claim(LeaseView(None, 10.0, 7, unclear_seconds=9.0), "a", 3.0)
    Claim(lease=OrderLease(holder='a', fence=7, until=12.0, era=0))
    """
    # The lease counts from when it is written: a slow read must not use it up.
    current, until = view.current, view.store_clock + view.read_seconds + LEASE_SECONDS
    if current is None or current.era != view.era:
        wait = 0.0 if view.is_own_held else LEASE_SECONDS + guard_seconds - view.unclear_seconds
    elif current.holder == holder:
        return Claim(OrderLease(holder, current.fence, until, view.era))
    else:
        wait = current.until + guard_seconds - view.store_clock
    if wait > 0:
        return Wait(wait)
    fence = view.era * MAX_LOST_VERSIONS + view.version
    return Claim(OrderLease(holder, fence, until, view.era))
