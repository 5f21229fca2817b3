"""Bound retries by a share of the first attempts."""

import threading


class RetryBudget:
    """Earn a share of a retry with each request and spend one with each retry.

    >>> budget = RetryBudget(share=0.5, reserve=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.record_request(); budget.record_request(); budget.take()
    True
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._left = reserve
        self._lock = threading.Lock()

    def set_reserve(self, reserve: float) -> None:
        """Change the reserve; what is left above it is lost."""
        with self._lock:
            self._reserve = reserve
            self._left = min(self._left, reserve)

    def record_request(self) -> None:
        """Earn the share of one first attempt, up to the reserve."""
        with self._lock:
            self._left = min(self._reserve, self._left + self._share)

    def take(self) -> bool:
        """Spend one retry if the budget has it."""
        with self._lock:
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True
