"""Decide who may give orders to engines, by one row that only conditional writes change."""

from dataclasses import dataclass

# Seconds for which a lease is taken or extended: several orders with their answers.
LEASE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OrderLease:
    """Hold the lease on giving orders; ``until`` is a time of the store's clock, in seconds.

    ``holder`` names a machine and not a process: a restarted host is the same holder.
    """

    holder: str
    fence: int
    until: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold the lease that may be written now."""

    lease: OrderLease


@dataclass(frozen=True, slots=True)
class Wait:
    """Say for how many seconds another holder's orders may still be on their way."""

    seconds: float


def decide_claim(
    current: OrderLease | None, holder: str, store_clock: float, guard: float
) -> Claim | Wait:
    """Return the lease to write, or how long to wait; ``guard`` is in seconds.

    A new holder waits until the old one's lease has been over for the guard time.

    >>> decide_claim(None, "a", 10.0, 3.0)
    Claim(lease=OrderLease(holder='a', fence=1, until=12.0))
    >>> decide_claim(OrderLease("b", 4, 9.0), "a", 10.0, 3.0)
    Wait(seconds=2.0)
    """
    until = store_clock + LEASE_SECONDS
    if current is None:
        return Claim(OrderLease(holder, 1, until))
    if current.holder == holder:
        return Claim(OrderLease(holder, current.fence, until))
    free_at = current.until + guard
    if store_clock < free_at:
        return Wait(free_at - store_clock)
    return Claim(OrderLease(holder, current.fence + 1, until))
