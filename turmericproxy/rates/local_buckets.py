"""Store the buckets of this host and deduct from them while its lease is running."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import AccountName, create_id, read_boottime
from turmericproxy.core import bucket as buckets
from turmericproxy.core.bucket import MICRO, Bucket, SpendRecord
from turmericproxy.rates.leases import Lease, is_held

REFUND_WINDOW_SECONDS = 900.0


@dataclass(frozen=True)
class Deduction:
    """Describe a deduction of ``amount`` micro-tokens and the state of the bucket after it.

    All fields are empty or zero if the host has no such bucket or may not spend.
    """

    id: str
    amount: int
    level: int
    rate: int
    depth: int


@dataclass(frozen=True)
class _OutstandingDeduction:
    account: AccountName
    spent: SpendRecord
    at: float


NO_DEDUCTION = Deduction("", 0, 0, 0, 0)


class LocalBuckets:
    """Store a bucket for each client account of which this host holds a share."""

    def __init__(self, pause_limit: float, read_clock: Callable[[], float] = read_boottime) -> None:
        self._pause_limit = pause_limit
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._lease = Lease()
        self._is_closed = False
        self._last_tick = read_clock()
        self._buckets: dict[AccountName, Bucket] = {}
        self._outstanding: dict[str, _OutstandingDeduction] = {}

    def read_lease(self) -> Lease:
        """Return the lease of this host."""
        with self._lock:
            return self._lease

    def set_lease(self, lease: Lease) -> None:
        """Replace the lease of this host."""
        with self._lock:
            self._lease = lease

    def renew_lease(self, renew: Callable[[Lease, float], Lease]) -> None:
        """Replace the lease by ``renew(lease, now)``, unless the buckets are closed."""
        with self._lock:
            if not self._is_closed:
                self._lease = renew(self._lease, self._read_clock())

    def record_tick(self) -> bool:
        """Record that the process is running; end the lease and return false if it was paused."""
        with self._lock:
            now = self._read_clock()
            is_paused = now - self._last_tick > self._pause_limit
            self._last_tick = now
            if is_paused:
                self._lease = Lease()
            return not is_paused

    def is_open(self) -> bool:
        """Return whether this host may spend now."""
        with self._lock:
            return self._is_open(self._read_clock())

    def _is_open(self, now: float) -> bool:
        return is_held(self._lease, now) and now - self._last_tick <= self._pause_limit

    def deduct(self, account: AccountName, amount: int, minimum: int) -> Deduction:
        """Deduct up to ``amount`` micro-tokens, or none if fewer than ``minimum`` are available."""
        with self._lock:
            now = self._read_clock()
            bucket = self._buckets.get(account)
            if bucket is None or not self._is_open(now):
                return NO_DEDUCTION
            filled = buckets.refill(bucket, _to_microseconds(now))
            self._buckets[account] = filled
            available = min(amount, filled.level)
            if available < minimum or available == 0:
                return Deduction("", 0, filled.level, filled.rate, filled.depth)
            left, spent = buckets.spend_up_to(filled, available, filled.updated)
            self._buckets[account] = left
            deduction = Deduction(create_id(), spent.amount, left.level, left.rate, left.depth)
            self._outstanding[deduction.id] = _OutstandingDeduction(account, spent, now)
            return deduction

    def read_state(self, account: AccountName) -> Deduction:
        """Return the level, rate and depth of a bucket without a deduction."""
        return self.deduct(account, 0, 0)

    def give_back(self, deduction_id: str, unused: int) -> None:
        """Return unused micro-tokens of a deduction to its bucket; ignore a repeated id."""
        with self._lock:
            entry = self._outstanding.pop(deduction_id, None)
            if entry is None or entry.account not in self._buckets:
                return
            now = _to_microseconds(self._read_clock())
            bucket = self._buckets[entry.account]
            self._buckets[entry.account] = buckets.give_back(bucket, entry.spent, unused, now)

    def configure(self, account: AccountName, rate: int, depth: int, level: int = 0) -> None:
        """Set the rate and depth of a bucket, in micro-tokens (a second).

        ``level`` applies only to a new bucket.
        """
        with self._lock:
            now = _to_microseconds(self._read_clock())
            old = self._buckets.get(account)
            if old is None:
                self._buckets[account] = Bucket(rate, depth, min(level, depth), now)
            elif (old.rate, old.depth) != (rate, depth):
                self._buckets[account] = buckets.resize(old, rate, depth, now)

    def find(self, account: AccountName) -> Bucket | None:
        """Return a bucket as of its last change."""
        with self._lock:
            return self._buckets.get(account)

    def list_all(self) -> dict[AccountName, Bucket]:
        """Return all buckets, refilled until now."""
        with self._lock:
            now = _to_microseconds(self._read_clock())
            return {name: buckets.refill(b, now) for name, b in self._buckets.items()}

    def close(self) -> dict[AccountName, int]:
        """Stop all deductions and return the remaining micro-tokens of each bucket."""
        with self._lock:
            self._lease = Lease()
            self._is_closed = True
            now = _to_microseconds(self._read_clock())
            levels = {name: buckets.refill(b, now).level for name, b in self._buckets.items()}
            self._buckets = {}
            self._outstanding = {}
            return levels

    def discard_old_deductions(self) -> None:
        """Discard deductions that are too old to be given back."""
        with self._lock:
            oldest = self._read_clock() - REFUND_WINDOW_SECONDS
            self._outstanding = {k: e for k, e in self._outstanding.items() if e.at >= oldest}


def _to_microseconds(seconds: float) -> int:
    return int(seconds * MICRO)
