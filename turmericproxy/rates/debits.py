"""Ask the hosts that hold buckets to deduct tokens for a request of this host."""

from collections.abc import Iterable
from concurrent.futures import Executor
from dataclasses import dataclass, replace
from typing import Any

from turmericproxy.core import AccountName, DomainName, HostName
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.ledger import LedgerRow, Share
from turmericproxy.rates.local_buckets import Taken

DEBIT_KIND = "rates.debit"
GIVE_BACK_KIND = "rates.give_back"
QUARTERS = 4


@dataclass(frozen=True)
class GrantPart:
    """Name the host that deducted micro-tokens and the id of its deduction."""

    host: HostName
    taken_id: str
    amount: int


@dataclass(frozen=True)
class Estimate:
    """Hold what a holder's bucket had when it last answered, at a second of CLOCK_BOOTTIME.

    Nothing but what is given back can make the bucket fuller than the estimate.
    """

    level: int
    rate: int
    depth: int
    at: float


@dataclass(frozen=True)
class Request:
    """Ask a host for an amount of micro-tokens."""

    host: HostName
    amount: int


def estimate_level(estimate: Estimate, now: float) -> int:
    """Return the most micro-tokens that a bucket can have by now.

    >>> estimate_level(Estimate(level=1, rate=2, depth=4, at=10.0), 11.0)
    3
    """
    refilled = int(estimate.rate * max(0.0, now - estimate.at))
    return min(estimate.depth, estimate.level + refilled)


def plan_debits(
    levels: dict[HostName, int], order: Iterable[HostName], need: int
) -> tuple[Request, ...]:
    """Return whom to ask for how much, in the given order, until the need is met.

    >>> plan_debits({HostName("a"): 3, HostName("b"): 9}, [HostName("a"), HostName("b")], 5)
    (Request(host='a', amount=3), Request(host='b', amount=2))
    """
    requests = []
    for host in order:
        amount = min(need, levels[host])
        if amount > 0:
            requests.append(Request(host, amount))
            need -= amount
    return tuple(requests)


def order_holders(
    shares: Iterable[Share], domain: DomainName, levels: dict[HostName, int]
) -> tuple[HostName, ...]:
    """Return the holders with the fullest buckets first, by quarters of their depth.

    A bucket that is full loses what refills it. Within a quarter the own failure domain comes
    first.
    """

    def rank(share: Share) -> tuple[int, bool, int, HostName]:
        quarter = levels[share.host] * QUARTERS // share.burst if share.burst else 0
        return -quarter, share.domain != domain, -levels[share.host], share.host

    return tuple(share.host for share in sorted(shares, key=rank))


class DebitClient:
    """Answer the debits of other hosts and send those of this one."""

    def __init__(self, context: RateContext, workers: Executor) -> None:
        self._links = context.links
        self._local_buckets = context.local_buckets
        self._member = context.member
        self._read_clock = context.read_clock
        self._workers = workers
        self._estimates: dict[tuple[AccountName, HostName], Estimate] = {}
        context.links.register(DEBIT_KIND, self._handle_debit)
        context.links.register(GIVE_BACK_KIND, self._handle_give_back)

    def estimate_levels(self, account: AccountName, shares: Iterable[Share]) -> dict[HostName, int]:
        """Return the most micro-tokens that each share's bucket can have by now."""
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
        """Return deductions at other hosts that together reach ``need`` or fall short of it.

        Answers that come later than ``flight`` seconds after the first debit count for nothing.
        """
        started = self._read_clock()
        parts: tuple[GrantPart, ...] = ()
        asked: set[HostName] = set()
        while need > 0:
            left = [share for share in shares if share.host not in asked]
            levels = self.estimate_levels(account, left)
            requests = plan_debits(levels, order_holders(left, self._member.domain, levels), need)
            remaining = started + flight - self._read_clock()
            if not requests or remaining <= 0:
                break
            found = self._ask(account, requests, remaining)
            asked |= {request.host for request in requests}
            parts += found
            need -= sum(part.amount for part in found)
        return parts

    def refresh(
        self, account: AccountName, shares: Iterable[Share], older: float, timeout: float
    ) -> bool:
        """Ask for the levels that are older than some seconds; return whether any was."""
        oldest = self._read_clock() - older
        known = {share.host: self._estimates.get((account, share.host)) for share in shares}
        stale = [host for host, found in known.items() if found is None or found.at < oldest]
        if stale:
            self._ask(account, tuple(Request(host, 0) for host in stale), timeout)
        return bool(stale)

    def is_outdated(self, row: LedgerRow) -> bool:
        """Return whether a holder has answered with another depth than the split gives it."""
        known = [(self._estimates.get((row.account, s.host)), s.burst) for s in row.shares]
        return any(found and found.depth != burst for found, burst in known)

    def give_back(self, account: AccountName, parts: Iterable[GrantPart], unused: int) -> None:
        """Give back ``unused`` micro-tokens, those of other hosts first."""
        ordered = sorted(parts, key=lambda part: part.host == self._member.host)
        for part in ordered:
            amount = min(unused, part.amount)
            unused -= amount
            if amount <= 0:
                return
            if part.host == self._member.host:
                self._local_buckets.give_back(part.taken_id, amount)
            else:
                self._return_to(account, part.host, part.taken_id, amount)

    def _return_to(self, account: AccountName, host: HostName, taken_id: str, amount: int) -> None:
        self._links.send(host, GIVE_BACK_KIND, {"id": taken_id, "unused": amount})
        known = self._estimates.get((account, host))
        if known:
            level = min(known.depth, known.level + amount)
            self._estimates[(account, host)] = replace(known, level=level)

    def close(self) -> None:
        """Stop the worker threads."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _ask(
        self, account: AccountName, requests: tuple[Request, ...], timeout: float
    ) -> tuple[GrantPart, ...]:
        first, *others = requests
        waiting = [self._workers.submit(self._ask_one, account, r, timeout) for r in others]
        found = [self._ask_one(account, first, timeout)]
        found += [future.result() for future in waiting]
        return tuple(part for part in found if part)

    def _ask_one(self, account: AccountName, request: Request, timeout: float) -> GrantPart | None:
        body = {"account": account, "amount": request.amount}
        asked_at = self._read_clock()
        reply = self._links.call(request.host, DEBIT_KIND, body, timeout)
        if not isinstance(reply, dict):
            return None
        estimate = Estimate(reply["level"], reply["rate"], reply["depth"], asked_at)
        self._estimates[(account, request.host)] = estimate
        if self._read_clock() - asked_at > timeout:
            self._return_to(account, request.host, reply["id"], reply["amount"])
            return None
        if not reply["amount"]:
            return None
        return GrantPart(request.host, reply["id"], reply["amount"])

    def _handle_debit(self, _sender: HostName, body: Any) -> dict[str, Any]:
        taken = self._local_buckets.take(AccountName(body["account"]), int(body["amount"]), 1)
        return _describe(taken)

    def _handle_give_back(self, _sender: HostName, body: Any) -> None:
        self._local_buckets.give_back(str(body["id"]), int(body["unused"]))


def _describe(taken: Taken) -> dict[str, Any]:
    return {
        "id": taken.id,
        "amount": taken.amount,
        "level": taken.level,
        "rate": taken.rate,
        "depth": taken.depth,
    }
