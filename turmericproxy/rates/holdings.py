"""Hold the buckets of this host and spend from them while its lease runs."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import AccountName, create_id, read_boottime
from turmericproxy.core import bucket as buckets
from turmericproxy.core.bucket import MICRO, Bucket, SpendRecord
from turmericproxy.rates.leases import Lease, is_held

SPENDS_REMEMBERED_SECONDS = 900.0


@dataclass(frozen=True)
class Taken:
    """Tell how many micro-tokens a host has deducted, under which id, and what is left.

    ``rate`` and ``depth`` are those of the bucket, zero while the host may not spend.
    """

    id: str
    amount: int
    level: int
    rate: int
    depth: int


@dataclass(frozen=True)
class _Outstanding:
    account: AccountName
    spent: SpendRecord
    at: float


NOTHING_TAKEN = Taken("", 0, 0, 0, 0)


class Holdings:
    """Keep one bucket for each client account of which this host has a share."""

    def __init__(self, pause_limit: float, read_clock: Callable[[], float] = read_boottime) -> None:
        self._pause_limit = pause_limit
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._lease = Lease()
        self._is_closed = False
        self._last_tick = read_clock()
        self._buckets: dict[AccountName, Bucket] = {}
        self._outstanding: dict[str, _Outstanding] = {}

    def read_lease(self) -> Lease:
        """Return the lease that spending depends on."""
        with self._lock:
            return self._lease

    def set_lease(self, lease: Lease) -> None:
        """Replace the lease that spending depends on."""
        with self._lock:
            self._lease = lease

    def renew_lease(self, renew: Callable[[Lease, float], Lease]) -> None:
        """Replace the lease by a function of it and the present second, unless closed."""
        with self._lock:
            if not self._is_closed:
                self._lease = renew(self._lease, self._read_clock())

    def record_tick(self) -> bool:
        """Record that the process runs; end the lease and return false if it was paused."""
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

    def take(self, account: AccountName, amount: int, least: int) -> Taken:
        """Deduct up to ``amount`` micro-tokens, or nothing if ``least`` are not there."""
        with self._lock:
            now = self._read_clock()
            bucket = self._buckets.get(account)
            if bucket is None or not self._is_open(now):
                return NOTHING_TAKEN
            filled = buckets.refill(bucket, _to_micro(now))
            self._buckets[account] = filled
            available = min(amount, filled.level)
            if available < least or available == 0:
                return Taken("", 0, filled.level, filled.rate, filled.depth)
            left, spent = buckets.spend_up_to(filled, available, filled.updated)
            self._buckets[account] = left
            taken = Taken(create_id(), spent.amount, left.level, left.rate, left.depth)
            self._outstanding[taken.id] = _Outstanding(account, spent, now)
            return taken

    def measure(self, account: AccountName) -> Taken:
        """Return level, rate and depth of a bucket without deducting anything."""
        return self.take(account, 0, 0)

    def give_back(self, taken_id: str, unused: int) -> None:
        """Put back a part of what was deducted; the same id counts only once."""
        with self._lock:
            entry = self._outstanding.pop(taken_id, None)
            if entry is None or entry.account not in self._buckets:
                return
            now = _to_micro(self._read_clock())
            bucket = self._buckets[entry.account]
            self._buckets[entry.account] = buckets.give_back(bucket, entry.spent, unused, now)

    def install(self, account: AccountName, rate: int, depth: int, level: int = 0) -> None:
        """Give the bucket of a client account a size; ``level`` counts for a new bucket only."""
        with self._lock:
            now = _to_micro(self._read_clock())
            old = self._buckets.get(account)
            if old is None:
                self._buckets[account] = Bucket(rate, depth, min(level, depth), now)
            elif (old.rate, old.depth) != (rate, depth):
                self._buckets[account] = buckets.resize(old, rate, depth, now)

    def find(self, account: AccountName) -> Bucket | None:
        """Return a bucket as it was last changed."""
        with self._lock:
            return self._buckets.get(account)

    def list_all(self) -> dict[AccountName, Bucket]:
        """Return all buckets, refilled up to now."""
        with self._lock:
            now = _to_micro(self._read_clock())
            return {name: buckets.refill(b, now) for name, b in self._buckets.items()}

    def close(self) -> dict[AccountName, int]:
        """End all spending and return what is left, in micro-tokens."""
        with self._lock:
            self._lease = Lease()
            self._is_closed = True
            now = _to_micro(self._read_clock())
            levels = {name: buckets.refill(b, now).level for name, b in self._buckets.items()}
            self._buckets = {}
            self._outstanding = {}
            return levels

    def forget_old_spends(self) -> None:
        """Forget deductions so old that nothing of them will be given back."""
        with self._lock:
            oldest = self._read_clock() - SPENDS_REMEMBERED_SECONDS
            self._outstanding = {k: e for k, e in self._outstanding.items() if e.at >= oldest}


def _to_micro(seconds: float) -> int:
    return int(seconds * MICRO)
