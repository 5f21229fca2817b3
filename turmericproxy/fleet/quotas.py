"""Keep each client account to its rate and burst over all hosts.

Every host keeps a bucket for the whole fleet: it takes off its own spending at once and that of
others when their batches come. While hosts are out of touch, each side holds and refills only its
part.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from turmericproxy.core import AccountName, HostName, Incarnation, Refusal, ResultCode, refuse
from turmericproxy.core.bucket import MICRO, Bucket, charge, measure_wait, refill, resize, spend
from turmericproxy.logs import Part, log_event
from turmericproxy.traffic.site import Account, Site

# Parts of the users' tolerance that admission uses; the rest covers what hosts admit before they
# hear of each other, and before a cut is noticed.
OVERSHOOT_USED = 0.3
SLACK_USED = 0.25
# Longest advice on when to come back, in seconds.
LONGEST_WAIT = 5.0


@dataclass
class _Spending:
    """Hold what a peer has told of its spending."""

    incarnation: Incarnation
    totals: dict[AccountName, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Hold by how much an account may exceed its rate and burst in a window.

    ``window`` is in seconds, ``overshoot`` a share of what the account may send in it, and
    ``slack`` is in tokens.
    """

    window: float
    overshoot: float
    slack: float

    def measure(self, rate: float, burst: float) -> float:
        """Return the tokens that admission may add to the burst."""
        allowed = rate * self.window + burst
        return OVERSHOOT_USED * self.overshoot * allowed + SLACK_USED * self.slack


NO_TOLERANCE = QuotaTolerance(0.0, 0.0, 0.0)


class QuotaController:
    """Admit requests by fleet-wide buckets; ``read_clock`` returns seconds, suspends included.

    A host that starts while others run takes over their levels; one that starts alone begins
    with empty buckets, unless the whole fleet starts for the first time.
    """

    def __init__(
        self,
        read_clock: Callable[[], float],
        *,
        is_first_start: bool,
        tolerance: QuotaTolerance = NO_TOLERANCE,
    ) -> None:
        self._read_clock = read_clock
        self._tolerance = tolerance
        self._starts_full = is_first_start
        self._buckets: dict[AccountName, Bucket] = {}
        self._accounts: dict[AccountName, Account] = {}
        self._spent: dict[AccountName, int] = {}
        self._changed: set[AccountName] = set()
        self._peers: dict[HostName, _Spending] = {}
        self._inherited: dict[AccountName, int] = {}
        self._share = 1.0

    def apply_site(self, site: Site) -> None:
        """Take in the accounts of a configuration; changed limits never raise a level."""
        now = self._read_micros()
        limited = {a.name: a for a in site.accounts if a.rate > 0}
        self._accounts = limited
        for name in set(self._buckets) - set(limited):
            del self._buckets[name]
        for name, account in limited.items():
            rate, depth = self._measure(account)
            bucket = self._buckets.get(name)
            if bucket is None:
                level = depth if self._starts_full else min(depth, self._inherited.get(name, 0))
                self._buckets[name] = Bucket(rate, depth, level, now)
            elif (bucket.rate, bucket.depth) != (rate, depth):
                self._buckets[name] = resize(bucket, rate, depth, now)

    def set_share(self, share: float) -> None:
        """Hold and refill a part of each bucket only, while other hosts are out of touch."""
        if share == self._share:
            return
        log_event(Part.RATES, "share of the rates changed", share=round(share, 3))
        kept = min(1.0, share / self._share)
        self._share = share
        now = self._read_micros()
        for name, bucket in self._buckets.items():
            rate, depth = self._measure(self._accounts[name])
            filled = refill(bucket, now)
            # The other side goes on with its part of what is left.
            level = int(filled.level * kept) if filled.level > 0 else filled.level
            self._buckets[name] = resize(replace(filled, level=level), rate, depth, now)

    def admit(self, account: Account, cost: int) -> Refusal | None:
        """Take the cost of a request in tokens, or say when to come back."""
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return None
        now = self._read_micros()
        # A request larger than the burst is let in by a full bucket and paid off afterwards.
        entrance = min(cost * MICRO, bucket.depth)
        taken = spend(bucket, entrance, now)
        if taken is None:
            wait = measure_wait(bucket, entrance, now)
            reason = f"account {account.name} is over its rate"
            after = LONGEST_WAIT if wait is None else min(LONGEST_WAIT, wait)
            return refuse(ResultCode.RATE_EXCEEDED, reason, retry_after=after)
        self._buckets[account.name] = charge(taken[0], cost * MICRO - entrance, now)
        self._count(account.name, cost)
        return None

    def refund(self, account: Account, cost: int) -> None:
        """Return the cost of a request that has not run."""
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            self._buckets[account.name] = _charge_within(bucket, -cost, self._read_micros())
            self._count(account.name, -cost)

    def record_peer_spending(
        self, host: HostName, incarnation: Incarnation, spent: Mapping[AccountName, int]
    ) -> None:
        """Take off what a peer has spent since it was last heard."""
        known = self._peers.get(host)
        if known is None or known.incarnation != incarnation:
            # What a peer spent while it could not be heard came out of its own part.
            self._peers[host] = _Spending(incarnation, dict(spent))
            return
        now = self._read_micros()
        for name, total in spent.items():
            change = total - known.totals.get(name, 0)
            known.totals[name] = total
            bucket = self._buckets.get(name)
            if bucket is not None and change:
                self._buckets[name] = _charge_within(bucket, change, now)

    def forget_peer(self, host: HostName) -> None:
        """Drop what a peer has told, once it can't be heard."""
        self._peers.pop(host, None)

    def inherit_levels(self, levels: Mapping[AccountName, int]) -> None:
        """Take over the levels of a peer, in micro-tokens, at this host's start."""
        if self._starts_full or self._inherited:
            return
        self._inherited = dict(levels)
        now = self._read_micros()
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                gain = min(level, bucket.depth) - refill(bucket, now).level
                self._buckets[name] = charge(bucket, -gain, now)

    def take_changed_totals(self) -> dict[AccountName, int]:
        """Return the totals that have changed since the last call."""
        changed, self._changed = self._changed, set()
        return {name: self._spent[name] for name in changed}

    def list_spent(self) -> dict[AccountName, int]:
        """Return all totals."""
        return dict(self._spent)

    def list_levels(self) -> dict[AccountName, int]:
        """Return the levels of all buckets in micro-tokens, for a host that starts."""
        now = self._read_micros()
        return {name: refill(bucket, now).level for name, bucket in self._buckets.items()}

    def _measure(self, account: Account) -> tuple[int, int]:
        depth = account.burst + self._tolerance.measure(account.rate, account.burst)
        return int(account.rate * self._share * MICRO), int(depth * self._share * MICRO)

    def _count(self, name: AccountName, cost: int) -> None:
        self._spent[name] = self._spent.get(name, 0) + cost
        self._changed.add(name)

    def _read_micros(self) -> int:
        return int(self._read_clock() * MICRO)


def _charge_within(bucket: Bucket, tokens: int, now: int) -> Bucket:
    """Charge tokens, or return them up to the rim if there are fewer than none."""
    charged = charge(bucket, tokens * MICRO, now)
    return replace(charged, level=min(charged.level, charged.depth))
