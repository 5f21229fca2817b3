"""Deduct tokens from the buckets of other hosts for a request at this host."""

from collections.abc import Iterable
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from typing import Any

from turmericproxy.core import AccountName, DomainName, HostName
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.ledger import LedgerRow, Share
from turmericproxy.rates.local_buckets import Deduction

DEBIT_KIND = "rates.debit"
GIVE_BACK_KIND = "rates.give_back"
FILL_GROUPS = 4


@dataclass(frozen=True)
class GrantPart:
    """Identify a deduction of ``amount`` micro-tokens at one host."""

    host: HostName
    deduction_id: str
    amount: int


@dataclass(frozen=True)
class Estimate:
    """Describe a bucket of another host as of ``at``, in seconds of CLOCK_BOOTTIME.

    ``level`` and ``depth`` are in micro-tokens, ``rate`` is in micro-tokens a second. The bucket
    can't be fuller than the estimate, except by tokens that are given back.
    """

    level: int
    rate: int
    depth: int
    at: float


@dataclass(frozen=True)
class DebitRequest:
    """Describe a request to a host to deduct micro-tokens."""

    host: HostName
    amount: int


def estimate_level(estimate: Estimate, now: float) -> int:
    """Return the highest level in micro-tokens that a bucket can have now.

    >>> estimate_level(Estimate(level=1, rate=2, depth=4, at=10.0), 11.0)
    3
    """
    refilled = int(estimate.rate * max(0.0, now - estimate.at))
    return min(estimate.depth, estimate.level + refilled)


def plan_debits(
    levels: dict[HostName, int], order: Iterable[HostName], need: int
) -> tuple[DebitRequest, ...]:
    """Return requests in the given order that cover ``need`` as far as the levels allow.

    >>> plan_debits({HostName("a"): 3, HostName("b"): 9}, [HostName("a"), HostName("b")], 5)
    (DebitRequest(host='a', amount=3), DebitRequest(host='b', amount=2))
    """
    requests = []
    for host in order:
        amount = min(need, levels[host])
        if amount > 0:
            requests.append(DebitRequest(host, amount))
            need -= amount
    return tuple(requests)


def order_holders(
    shares: Iterable[Share], domain: DomainName, levels: dict[HostName, int]
) -> tuple[HostName, ...]:
    """Return the holders with the fullest buckets first, by quarters of their depth.

    Full buckets come first since their refill is lost. Within a quarter, holders of this host's
    failure domain come first.
    """

    def rank(share: Share) -> tuple[int, bool, int, HostName]:
        fill_group = levels[share.host] * FILL_GROUPS // share.burst if share.burst else 0
        return -fill_group, share.domain != domain, -levels[share.host], share.host

    return tuple(share.host for share in sorted(shares, key=rank))


class DebitClient:
    """Send debits to other hosts, and answer theirs from the buckets of this host."""

    def __init__(self, context: RateContext, executor: Executor) -> None:
        self._links = context.links
        self._local_buckets = context.local_buckets
        self._member = context.member
        self._read_clock = context.read_clock
        self._executor = executor
        self._estimates: dict[tuple[AccountName, HostName], Estimate] = {}
        context.links.register(DEBIT_KIND, self._handle_debit)
        context.links.register(GIVE_BACK_KIND, self._handle_give_back)

    def estimate_levels(self, account: AccountName, shares: Iterable[Share]) -> dict[HostName, int]:
        """Return the highest level in micro-tokens that the bucket of each share can have now."""
        now = self._read_clock()
        levels = {}
        for share in shares:
            known = self._estimates.get((account, share.host))
            is_current = known is not None and known.depth == share.burst
            levels[share.host] = estimate_level(known, now) if known and is_current else share.burst
        return levels

    def collect(
        self, account: AccountName, shares: tuple[Share, ...], need: int, flight: float
    ) -> tuple[GrantPart, ...]:
        """Return deductions at other hosts, of ``need`` micro-tokens together or fewer.

        Replies that arrive later than ``flight`` seconds after the first debit are discarded.
        """
        started = self._read_clock()
        parts: tuple[GrantPart, ...] = ()
        tried: set[HostName] = set()
        while need > 0:
            left = [share for share in shares if share.host not in tried]
            levels = self.estimate_levels(account, left)
            requests = plan_debits(levels, order_holders(left, self._member.domain, levels), need)
            remaining = started + flight - self._read_clock()
            if not requests or remaining <= 0:
                break
            granted = self._send_debits(account, requests, remaining)
            tried |= {request.host for request in requests}
            parts += granted
            need -= sum(part.amount for part in granted)
        return parts

    def refresh_estimates(
        self, account: AccountName, shares: Iterable[Share], max_age: float, timeout: float
    ) -> bool:
        """Update estimates older than ``max_age`` seconds; return whether there were any."""
        oldest = self._read_clock() - max_age
        known = {share.host: self._estimates.get((account, share.host)) for share in shares}
        stale = [host for host, found in known.items() if found is None or found.at < oldest]
        if stale:
            self._send_debits(account, tuple(DebitRequest(host, 0) for host in stale), timeout)
        return bool(stale)

    def is_outdated(self, row: LedgerRow) -> bool:
        """Return whether a holder reported another depth than its share in the row."""
        known = [(self._estimates.get((row.account, s.host)), s.burst) for s in row.shares]
        return any(found and found.depth != burst for found, burst in known)

    def give_back(self, account: AccountName, parts: Iterable[GrantPart], unused: int) -> None:
        """Return ``unused`` micro-tokens to their buckets, those of other hosts first."""
        ordered = sorted(parts, key=lambda part: part.host == self._member.host)
        for part in ordered:
            amount = min(unused, part.amount)
            unused -= amount
            if amount <= 0:
                return
            if part.host == self._member.host:
                self._local_buckets.give_back(part.deduction_id, amount)
            else:
                self._give_back_to(account, part.host, part.deduction_id, amount)

    def _give_back_to(
        self, account: AccountName, host: HostName, deduction_id: str, amount: int
    ) -> None:
        self._links.send(host, GIVE_BACK_KIND, {"id": deduction_id, "unused": amount})
        known = self._estimates.get((account, host))
        if known:
            level = min(known.depth, known.level + amount)
            self._estimates[(account, host)] = replace(known, level=level)

    def close(self) -> None:
        """Stop the worker threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _send_debits(
        self, account: AccountName, requests: tuple[DebitRequest, ...], timeout: float
    ) -> tuple[GrantPart, ...]:
        first, *others = requests
        futures = [self._executor.submit(self._send_debit, account, r, timeout) for r in others]
        parts = [self._send_debit(account, first, timeout)]
        parts += [future.result() for future in futures]
        return tuple(part for part in parts if part)

    def _send_debit(
        self, account: AccountName, request: DebitRequest, timeout: float
    ) -> GrantPart | None:
        body = {"account": account, "amount": request.amount}
        sent_at = self._read_clock()
        reply = self._links.call(request.host, DEBIT_KIND, body, timeout)
        if not isinstance(reply, dict):
            return None
        estimate = Estimate(reply["level"], reply["rate"], reply["depth"], sent_at)
        self._estimates[(account, request.host)] = estimate
        if self._read_clock() - sent_at > timeout:
            self._give_back_to(account, request.host, reply["id"], reply["amount"])
            return None
        if not reply["amount"]:
            return None
        return GrantPart(request.host, reply["id"], reply["amount"])

    def _handle_debit(self, _sender: HostName, body: Any) -> dict[str, Any]:
        deduction = self._local_buckets.deduct(AccountName(body["account"]), int(body["amount"]), 1)
        return _encode_deduction(deduction)

    def _handle_give_back(self, _sender: HostName, body: Any) -> None:
        self._local_buckets.give_back(str(body["id"]), int(body["unused"]))


def _encode_deduction(deduction: Deduction) -> dict[str, Any]:
    return {
        "id": deduction.id,
        "amount": deduction.amount,
        "level": deduction.level,
        "rate": deduction.rate,
        "depth": deduction.depth,
    }
