"""Limit each client account to its rate and burst across all hosts.

Each host keeps a token bucket per account for the whole fleet. It charges its own spending at once
and that of peers when their batches arrive. While hosts are unreachable, each side of the partition
holds and refills only its share of the bucket.
"""

import copy
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from turmericproxy.core import AccountName, HostName, Incarnation, Refusal, ResultCode, refuse
from turmericproxy.core.bucket import (
    MICRO,
    Bucket,
    charge,
    charge_up_to_depth,
    measure_wait,
    refill,
    resize,
    spend,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.traffic.site import Account, Site

# Shares of the configured tolerance by which buckets are enlarged. The rest covers what hosts admit
# before they receive each other's spending, and before a network partition is detected.
OVERSHOOT_SHARE = 0.3
SLACK_SHARE = 0.25
MAX_RETRY_AFTER_SECONDS = 5.0


@dataclass
class _PeerSpending:
    """Hold the spending that a peer has reported.

    A total is ``None`` if the peer has been unreachable since it reported it. With ``is_complete``,
    the peer had spent nothing on the accounts without a total.
    """

    incarnation: Incarnation
    totals: dict[AccountName, int | None] = field(default_factory=dict)
    is_complete: bool = False

    def record(self, name: AccountName, total: int) -> int:
        """Record a total; return by how much it has risen, 0 if the one before isn't known."""
        previous = self.totals.get(name, 0 if self.is_complete else None)
        self.totals[name] = total
        return 0 if previous is None else total - previous


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Define by how much an account may exceed its rate and burst in a window.

    ``window`` is in seconds, ``overshoot`` is a share of the tokens that the account may send in
    the window, and ``slack`` is in tokens.
    """

    window: float
    overshoot: float
    slack: float

    def compute_extra_burst(self, rate: float, burst: float) -> float:
        """Return the tokens by which the burst is enlarged."""
        allowed = rate * self.window + burst
        return OVERSHOOT_SHARE * self.overshoot * allowed + SLACK_SHARE * self.slack


NO_TOLERANCE = QuotaTolerance(0.0, 0.0, 0.0)


class QuotaController:
    """Admit requests by fleet-wide buckets.

    ``read_clock`` returns seconds, including the time for which the machine was suspended. A host
    that starts while others run inherits the levels of their buckets. One that starts alone begins
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
        self._peers: dict[HostName, _PeerSpending] = {}
        self._inherited: dict[AccountName, int] = {}
        self._spent_by_peers: dict[AccountName, int] = {}
        self._share = 1.0

    def apply_site(self, site: Site) -> None:
        """Apply the accounts of a configuration; changed limits never raise a bucket's level."""
        now = self._read_microseconds()
        limited = {a.name: a for a in site.accounts if a.rate > 0}
        self._accounts = limited
        for name in set(self._buckets) - set(limited):
            del self._buckets[name]
        for name, account in limited.items():
            rate, depth = self._compute_limits(account)
            bucket = self._buckets.get(name)
            if bucket is None:
                level = depth if self._starts_full else min(depth, self._inherited.get(name, 0))
                self._buckets[name] = Bucket(rate, depth, level, now)
            elif (bucket.rate, bucket.depth) != (rate, depth):
                self._buckets[name] = resize(bucket, rate, depth, now)

    def set_share(self, share: float) -> None:
        """Set the share of each bucket to hold and refill, below 1 while hosts are unreachable."""
        if share == self._share:
            return
        log_event(Part.RATES, "share of the rates changed", share=round(share, 3))
        ratio = min(1.0, share / self._share)
        self._share = share
        now = self._read_microseconds()
        for name, bucket in self._buckets.items():
            rate, depth = self._compute_limits(self._accounts[name])
            filled = refill(bucket, now)
            # The other side of the partition keeps the rest of the level.
            level = int(filled.level * ratio) if filled.level > 0 else filled.level
            self._buckets[name] = resize(replace(filled, level=level), rate, depth, now)

    def admit(self, account: Account, cost: int) -> Refusal | None:
        """Charge the cost of a request in tokens, or refuse it with the seconds until a retry."""
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return None
        now = self._read_microseconds()
        # A request larger than the burst needs a full bucket; the rest of its cost becomes debt.
        upfront = min(cost * MICRO, bucket.depth)
        taken = spend(bucket, upfront, now)
        if taken is None:
            wait = measure_wait(bucket, upfront, now)
            reason = f"account {account.name} is over its rate"
            after = MAX_RETRY_AFTER_SECONDS if wait is None else min(MAX_RETRY_AFTER_SECONDS, wait)
            return refuse(ResultCode.RATE_EXCEEDED, reason, retry_after=after)
        self._buckets[account.name] = charge(taken[0], cost * MICRO - upfront, now)
        self._add_spent(account.name, cost)
        return None

    def create_trial(self) -> "QuotaController":
        """Return a copy that can try a request: what it charges has no effect on this one."""
        trial = copy.copy(self)
        trial._buckets, trial._spent = dict(self._buckets), dict(self._spent)
        trial._changed = set(self._changed)
        return trial

    def describe(self, account: Account) -> dict[str, float] | None:
        """Return what an account may send now, in its unit, ``None`` if it has no limit."""
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return None
        level = refill(bucket, self._read_microseconds()).level
        return {
            "level": round(level / MICRO, 1),
            "burst": round(bucket.depth / MICRO, 1),
            "rate": round(bucket.rate / MICRO, 1),
            "share": round(self._share, 3),
        }

    def refund(self, account: Account, cost: int) -> None:
        """Refund the cost of a request that has not run."""
        bucket = self._buckets.get(account.name)
        if bucket is not None:
            self._buckets[account.name] = charge_up_to_depth(
                bucket, -cost * MICRO, self._read_microseconds()
            )
            self._add_spent(account.name, -cost)

    def record_peer_spending(
        self,
        host: HostName,
        incarnation: Incarnation,
        spent: Mapping[AccountName, int],
        *,
        is_complete: bool = False,
    ) -> None:
        """Charge what a peer has spent since its last report; ``spent`` holds totals by account.

        With ``is_complete``, the report holds all accounts on which the peer has spent anything.
        """
        known = self._peers.get(host)
        if known is None or known.incarnation != incarnation:
            known = self._peers[host] = _PeerSpending(incarnation)
        now = self._read_microseconds()
        for name, total in spent.items():
            change = known.record(name, total)
            if change:
                self._spent_by_peers[name] = self._spent_by_peers.get(name, 0) + change
            bucket = self._buckets.get(name)
            if bucket is not None and change:
                self._buckets[name] = charge_up_to_depth(bucket, change * MICRO, now)
        known.is_complete = known.is_complete or is_complete

    def forget_peer(self, host: HostName) -> None:
        """Drop the totals reported by a peer that has become unreachable."""
        known = self._peers.get(host)
        if known:
            # Tokens that a peer spends while unreachable come out of its own share of the bucket.
            known.totals = dict.fromkeys(known.totals)

    def inherit_levels(self, levels: Mapping[AccountName, int]) -> None:
        """Take over the levels of a peer's buckets, in micro-tokens, once after the start."""
        if self._starts_full or self._inherited:
            return
        self._inherited = dict(levels)
        now = self._read_microseconds()
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                gain = min(level, bucket.depth) - refill(bucket, now).level
                self._buckets[name] = charge(bucket, -gain, now)

    def take_changed_totals(self) -> dict[AccountName, int]:
        """Return the totals of accounts whose spending has changed since the last call."""
        changed, self._changed = self._changed, set()
        return {name: self._spent[name] for name in changed}

    def list_spent(self) -> dict[AccountName, int]:
        """Return the tokens spent on this host since its start, by account."""
        return dict(self._spent)

    def list_fleet_spent(self) -> dict[AccountName, int]:
        """Return the tokens spent by account, on this host and as far as known on its peers.

        Spending of peers counts from the first report in which its increase is known.
        """
        spent = self.list_spent()
        for name, total in self._spent_by_peers.items():
            spent[name] = spent.get(name, 0) + total
        return spent

    def list_levels(self) -> dict[AccountName, int]:
        """Return the levels of all buckets in micro-tokens, for a newly started host."""
        now = self._read_microseconds()
        return {name: refill(bucket, now).level for name, bucket in self._buckets.items()}

    def _compute_limits(self, account: Account) -> tuple[int, int]:
        depth = account.burst + self._tolerance.compute_extra_burst(account.rate, account.burst)
        return int(account.rate * self._share * MICRO), int(depth * self._share * MICRO)

    def _add_spent(self, name: AccountName, cost: int) -> None:
        self._spent[name] = self._spent.get(name, 0) + cost
        self._changed.add(name)

    def _read_microseconds(self) -> int:
        return int(self._read_clock() * MICRO)
