"""Limit retries to a fraction of the first attempts."""

import threading


class RetryBudget:
    """Thread-safe budget that each request raises by ``share`` and each retry lowers by one.

    It starts full, with ``reserve`` retries, and never holds more than that.

    >>> budget = RetryBudget(share=0.5, reserve=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.record_request(); budget.record_request(); budget.take()
    True
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve
        self._lock = threading.Lock()

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve and reduce the balance to it; a larger reserve adds nothing."""
        with self._lock:
            self._reserve = reserve
            self._balance = min(self._balance, reserve)

    def record_request(self) -> None:
        """Add the share of one first attempt, up to the reserve."""
        with self._lock:
            self._balance = min(self._reserve, self._balance + self._share)

    def has_retry(self) -> bool:
        """Return whether the balance covers a retry."""
        with self._lock:
            return self._balance >= 1.0

    def take(self) -> bool:
        """Deduct one retry and return ``True``, or return ``False`` if the balance is too low."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
