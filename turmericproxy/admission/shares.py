"""Compute max-min fair shares of client accounts, by weight, from the fleet's recent demand."""

import copy
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericproxy.core import AccountName

# Time constant of the decay of demand: bursts last for some seconds, and quotas allow peaks of one.
DEMAND_SECONDS = 1.5
# Demand must be known for this long before a request is refused on grounds of its account.
MIN_HISTORY_SECONDS = 1.0
# A gap between two samples from which the demand in between is not attributed to any time.
MAX_GAP_SECONDS = 5.0
# Lower bound of the share of an account's requests that a host admits, when its peers' demand is
# derived from what they admit.
MIN_ADMITTED_SHARE = 0.1

# Accounts count as within their fair share up to this factor, since demand is estimated.
FAIR_TOLERANCE = 1.02


@dataclass(frozen=True, slots=True)
class Demand:
    """Recent demand of an account over the fleet and what was admitted of it, per second."""

    offered: float
    admitted: float
    weight: float


@dataclass
class DecayedSum:
    """Sum of amounts that decays exponentially; divided by its time constant, a rate."""

    total: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount; the total doesn't fall below 0."""
        self.total = max(0.0, self.read(now) + amount)
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the sum at a time."""
        return self.total * math.exp(-max(0.0, now - self.updated_at) / DEMAND_SECONDS)


def compute_level(demands: Mapping[AccountName, Demand]) -> float:
    """Return the max-min fair level: an account's fair share is the level times its weight.

    What was admitted of all accounts together is the capacity to be shared. Accounts that ask for
    less than their share leave the rest to the others.
    """
    capacity = sum(demand.admitted for demand in demands.values())
    weight = sum(demand.weight for demand in demands.values())
    level = math.inf
    for demand in sorted(demands.values(), key=lambda d: d.offered / d.weight):
        level = capacity / weight
        if demand.offered / demand.weight > level:
            return level
        capacity -= demand.offered
        weight -= demand.weight
        if weight <= 0.0:
            break
    return math.inf


def compute_account_share(fair: float, more_urgent: float, same_priority: float) -> float:
    """Return the share of an account's requests of one priority that its fair share has room for.

    Its more urgent requests are served first.

    >>> compute_account_share(10.0, 4.0, 12.0)
    0.5
    """
    if more_urgent + same_priority <= FAIR_TOLERANCE * fair:
        return 1.0
    return min(1.0, max(0.0, fair - more_urgent) / max(same_priority, 1e-9))


@dataclass
class AccountDemand:
    """Demand of one account: the fleet's admitted total, and this host's requests by priority."""

    fleet: DecayedSum = field(default_factory=DecayedSum)
    fleet_total: float | None = None
    own_offered: dict[int, DecayedSum] = field(default_factory=dict)
    own_refused: DecayedSum = field(default_factory=DecayedSum)


class DemandMeter:
    """Measure the demand of client accounts from this host's requests and all hosts' totals."""

    def __init__(self) -> None:
        self._accounts: dict[AccountName, AccountDemand] = {}
        self._sampled_at: float | None = None
        self._known_since = math.inf

    def create_trial(self, name: AccountName | None) -> "DemandMeter":
        """Return a copy that can record requests of one account without an effect on this one."""
        trial = copy.copy(self)
        trial._accounts = dict(self._accounts)
        if name is not None and name in self._accounts:
            trial._accounts[name] = copy.deepcopy(self._accounts[name])
        return trial

    def record_offered(self, name: AccountName, priority: int, cost: float, now: float) -> None:
        """Record a request at this host, whether or not it is admitted."""
        account = self._find(name)
        offered = account.own_offered.get(priority)
        if offered is None:
            offered = account.own_offered[priority] = DecayedSum()
        offered.add(cost, now)

    def record_refused(self, name: AccountName, cost: float, now: float) -> None:
        """Record that a request at this host is not admitted."""
        self._find(name).own_refused.add(cost, now)

    def record_totals(self, totals: Mapping[AccountName, float], now: float) -> None:
        """Record what all hosts have admitted so far, by account; refunds are subtracted."""
        is_gap = self._sampled_at is None or now - self._sampled_at > MAX_GAP_SECONDS
        if is_gap:
            self._known_since = now
        self._sampled_at = now
        for name, total in totals.items():
            account = self._find(name)
            if not is_gap:
                change = total - (account.fleet_total or 0.0)
                if change:
                    account.fleet.add(change, now)
            account.fleet_total = total

    def estimate_demands(
        self, weights: Mapping[AccountName, float], now: float
    ) -> dict[AccountName, Demand]:
        """Return the demand of the accounts with a weight; empty until enough of it is known."""
        if now - self._known_since < MIN_HISTORY_SECONDS:
            return {}
        demands = {}
        for name, weight in weights.items():
            account = self._accounts.get(name)
            if account is None or weight <= 0.0:
                continue
            admitted = account.fleet.read(now) / DEMAND_SECONDS
            if admitted <= 0.0 and not account.own_offered:
                continue
            offered = admitted / self._measure_admitted_share(account, now)
            demands[name] = Demand(offered, admitted, weight)
        return demands

    def split_offered(self, name: AccountName, priority: int, now: float) -> tuple[float, float]:
        """Return the shares of an account's demand that are more urgent than, and of, a priority.

        The shares at this host stand for those at all hosts.
        """
        account = self._accounts.get(name)
        sums = {p: s.read(now) for p, s in account.own_offered.items()} if account else {}
        total = sum(sums.values())
        if total <= 0.0:
            return 0.0, 1.0
        more_urgent = sum(amount for p, amount in sums.items() if p < priority)
        return more_urgent / total, sums.get(priority, 0.0) / total

    def retain(self, names: Mapping[AccountName, float]) -> None:
        """Forget accounts that are no longer configured."""
        self._accounts = {n: a for n, a in self._accounts.items() if n in names}

    def _find(self, name: AccountName) -> AccountDemand:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = AccountDemand()
        return account

    def _measure_admitted_share(self, account: AccountDemand, now: float) -> float:
        offered = sum(s.read(now) for s in account.own_offered.values())
        if offered <= 0.0:
            return 1.0
        return max(MIN_ADMITTED_SHARE, 1.0 - account.own_refused.read(now) / offered)
