"""Decide which host may order engines, by a lease row that only conditional writes change."""

from dataclasses import dataclass

# Long enough for several orders and their answers.
LEASE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OrderLease:
    """Represent the lease on ordering engines; ``until`` is by the store's clock, in seconds.

    ``holder`` identifies a machine, not a process, so a restarted host remains the holder.
    """

    holder: str
    fence: int
    until: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Represent the decision to write a lease now."""

    lease: OrderLease


@dataclass(frozen=True, slots=True)
class Wait:
    """Represent the decision to wait while orders of another holder may be in transit."""

    seconds: float


def decide_claim(
    current: OrderLease | None, holder: str, store_clock: float, guard_seconds: float
) -> Claim | Wait:
    """Return the lease to write, or how long to wait; times are in seconds.

    A new holder waits for ``guard_seconds`` after the previous holder's lease has expired.

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
    free_at = current.until + guard_seconds
    if store_clock < free_at:
        return Wait(free_at - store_clock)
    return Claim(OrderLease(holder, current.fence + 1, until))
