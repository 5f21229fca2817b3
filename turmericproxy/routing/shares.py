"""Give each request the priority that its client account's recent use leaves it."""

from dataclasses import dataclass

from turmericproxy.core import AccountName

HALF_LIFE = 4.0
TOLERATED_RATIO = 1.5
LONG_COMPUTE_SECONDS = 0.12
LONG_PRIORITY = 0
USUAL_PRIORITY = 1
LOWEST_PRIORITY = 9


@dataclass(frozen=True)
class RecentUse:
    """Hold the decayed tokens of a client account as of a boot time in seconds."""

    tokens: float = 0.0
    counted_at: float = 0.0

    def measure_rate(self, now: float) -> float:
        """Return the tokens a second over the last seconds."""
        return self._decay(now) / (HALF_LIFE * 1.4427)

    def add(self, tokens: int, now: float) -> "RecentUse":
        """Return the use with these tokens added."""
        return RecentUse(self._decay(now) + tokens, now)

    def _decay(self, now: float) -> float:
        return float(self.tokens * 0.5 ** (max(0.0, now - self.counted_at) / HALF_LIFE))


def compute_priority(
    use: RecentUse, rate: float, hosts: int, compute_seconds: float, now: float
) -> int:
    """Return the priority, 0 the soonest, of a request of an account with that fleet-wide rate.

    The balancer spreads an account's requests, so a host's part times the number of hosts
    stands for the whole. Inside the rate, a request that takes long to compute goes first: it
    has the least time to wait for others, and others lose little by waiting for it.
    """
    ratio = use.measure_rate(now) * hosts / rate
    if ratio > TOLERATED_RATIO:
        return min(LOWEST_PRIORITY, USUAL_PRIORITY + int(ratio))
    return LONG_PRIORITY if compute_seconds > LONG_COMPUTE_SECONDS else USUAL_PRIORITY


class AccountShares:
    """Keep the recent use of each client account on this host."""

    def __init__(self) -> None:
        self._uses: dict[AccountName, RecentUse] = {}

    def add(self, account: AccountName, tokens: int, now: float) -> None:
        """Count the tokens of a dispatch."""
        self._uses[account] = self._uses.get(account, RecentUse()).add(tokens, now)

    def rank(
        self, account: AccountName, rate: float, hosts: int, compute_seconds: float, now: float
    ) -> int:
        """Return the priority of the account's next request."""
        use = self._uses.get(account, RecentUse())
        return compute_priority(use, rate, hosts, compute_seconds, now)
