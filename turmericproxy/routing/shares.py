"""Compute request priorities from the recent usage of client accounts."""

from dataclasses import dataclass

from turmericproxy.core import AccountName

HALF_LIFE_SECONDS = 4.0
TOLERATED_RATE_RATIO = 1.5
LONG_COMPUTE_SECONDS = 0.12
LONG_COMPUTE_PRIORITY = 0
DEFAULT_PRIORITY = 1
LOWEST_PRIORITY = 9


@dataclass(frozen=True)
class RecentUsage:
    """Count the tokens of a client account with exponential decay, as of a boot time in seconds."""

    tokens: float = 0.0
    updated_at: float = 0.0

    def estimate_rate(self, now: float) -> float:
        """Return the recent usage in tokens per second.

        At a constant rate the decayed count settles at the rate times half-life / ln 2, and
        1 / ln 2 is 1.4427.
        """
        return self._decay(now) / (HALF_LIFE_SECONDS * 1.4427)

    def add(self, tokens: int, now: float) -> "RecentUsage":
        """Return the usage with these tokens added."""
        return RecentUsage(self._decay(now) + tokens, now)

    def _decay(self, now: float) -> float:
        return float(self.tokens * 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS))


def compute_priority(
    usage: RecentUsage, rate: float, hosts: int, compute_seconds: float, now: float
) -> int:
    """Return the priority of a request, 0 being the highest; ``rate`` is the fleet-wide limit.

    The load balancer spreads an account's requests evenly, so the usage on this host times the
    number of hosts estimates the total. Within the rate, a request with a long computation goes
    first: it has the least time left to queue, and it delays others by comparatively little.
    """
    ratio = usage.estimate_rate(now) * hosts / rate
    if ratio > TOLERATED_RATE_RATIO:
        return min(LOWEST_PRIORITY, DEFAULT_PRIORITY + int(ratio))
    return LONG_COMPUTE_PRIORITY if compute_seconds > LONG_COMPUTE_SECONDS else DEFAULT_PRIORITY


class AccountPriorities:
    """Track the recent usage of each client account on this host."""

    def __init__(self) -> None:
        self._usage: dict[AccountName, RecentUsage] = {}

    def record_tokens(self, account: AccountName, tokens: int, now: float) -> None:
        """Count the tokens of a dispatched request."""
        self._usage[account] = self._usage.get(account, RecentUsage()).add(tokens, now)

    def compute(
        self, account: AccountName, rate: float, hosts: int, compute_seconds: float, now: float
    ) -> int:
        """Return the priority of the account's next request, as ``compute_priority`` does."""
        usage = self._usage.get(account, RecentUsage())
        return compute_priority(usage, rate, hosts, compute_seconds, now)
