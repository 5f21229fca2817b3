"""Split the rate and burst of a client account between hosts.

The split is stored as one row of the platform's table. A share takes effect when the row is
written: its holder may spend it, and no other host. A share is lowered only by its holder, which
stops spending the difference first. A host may add the unallocated part of the limit to its own
share. The share of a lost host is transferred to its successor, see ``leases``.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, replace

from turmericproxy.core import AccountName, DomainName, HostName
from turmericproxy.core.bucket import MICRO

HOLDERS_PER_DOMAIN = 3
# The largest fraction of the burst that is reserved for tokens in flight between hosts.
MAX_FLIGHT_FRACTION = 0.1
# A share above this multiple of an equal share makes the split unbalanced.
IMBALANCE_FACTOR = 1.25


@dataclass(frozen=True)
class Limit:
    """Describe a rate in micro-tokens a second and a burst in micro-tokens.

    ``flight`` is the longest time in microseconds between the deduction of tokens at one host
    and their admission at another.
    """

    rate: int
    burst: int
    flight: int = 0


@dataclass(frozen=True)
class Share:
    """Describe the part of a limit that one host holds, in the units of ``Limit``.

    ``unclaimed`` micro-tokens may be claimed once, as the initial level of the host's bucket.
    """

    host: HostName
    domain: DomainName
    rate: int
    burst: int
    unclaimed: int = 0


@dataclass(frozen=True)
class LedgerRow:
    """Describe the limit of a client account, the revision that set it, and its split."""

    account: AccountName
    limit: Limit
    revision: int
    shares: tuple[Share, ...]

    def find_share(self, host: HostName) -> Share | None:
        """Return the share of a host."""
        return next((share for share in self.shares if share.host == host), None)


@dataclass(frozen=True)
class Member:
    """Identify a host that may hold a share, and its failure domain."""

    host: HostName
    domain: DomainName


def create_limit(rate: float, burst: int, timeout: float) -> Limit:
    """Return the limit for all buckets together, reduced by the tokens that may be in flight.

    Tokens that are deducted at one host are admitted at another after a delay of up to
    ``timeout``, in which the bucket refills by ``rate`` times the delay. The depth of the buckets
    is lower than the burst by that amount. ``rate`` is in tokens a second, ``burst`` in tokens and
    ``timeout`` in seconds.

    >>> create_limit(100.0, 1000, 0.1)
    Limit(rate=100000000, burst=990000000, flight=100000)
    """
    flight = int(MICRO * min(timeout, burst * MAX_FLIGHT_FRACTION / rate))
    rate_micro = int(rate * MICRO)
    in_flight = -(-rate_micro * flight // MICRO)
    return Limit(rate_micro, burst * MICRO - in_flight, flight)


def choose_holders(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return up to ``HOLDERS_PER_DOMAIN`` hosts of each failure domain, ordered by name."""
    by_domain: dict[DomainName, list[Member]] = {}
    for member in sorted(set(members), key=lambda member: member.host):
        by_domain.setdefault(member.domain, []).append(member)
    return tuple(
        member for domain in sorted(by_domain) for member in by_domain[domain][:HOLDERS_PER_DOMAIN]
    )


def create_split(
    account: AccountName, limit: Limit, revision: int, holders: tuple[Member, ...]
) -> LedgerRow:
    """Return the initial split of a client account, in which each share is unclaimed.

    >>> members = (Member(HostName("a"), DomainName("x")), Member(HostName("b"), DomainName("y")))
    >>> row = create_split(AccountName("n"), Limit(5, 9), 1, members)
    >>> [(share.host, share.rate, share.burst) for share in row.shares]
    [('a', 3, 5), ('b', 2, 4)]
    """
    rates = divide(limit.rate, len(holders))
    bursts = divide(limit.burst, len(holders))
    shares = tuple(
        Share(holder.host, holder.domain, rate, burst, unclaimed=burst)
        for holder, rate, burst in zip(holders, rates, bursts, strict=True)
    )
    return LedgerRow(account, limit, revision, shares)


def claim(row: LedgerRow, host: HostName) -> LedgerRow:
    """Return the row in which the share of a host is claimed."""
    return _replace_share(row, host, lambda share: replace(share, unclaimed=0))


def regrant(row: LedgerRow, lost: HostName, successor: Member) -> LedgerRow:
    """Return the row in which the share of a lost host is added to that of its successor.

    Tokens that the lost host had not claimed are dropped.
    """
    old = row.find_share(lost)
    if old is None:
        return row
    others = replace(row, shares=tuple(share for share in row.shares if share.host != lost))
    return _grow_share(others, successor, old.rate, old.burst)


def change_limit(row: LedgerRow, limit: Limit, revision: int) -> LedgerRow:
    """Return the row with a newer limit; the holders then adjust their own shares.

    An older revision changes nothing.
    """
    if revision <= row.revision:
        return row
    return replace(row, limit=limit, revision=revision)


def lower_share(row: LedgerRow, host: HostName, unreachable: frozenset[HostName]) -> LedgerRow:
    """Return the row in which a host's share is at most its target share.

    ``unreachable`` hosts keep their shares, which reduces the target shares of the others.
    """
    share = row.find_share(host)
    if share is None:
        return row
    target = compute_target_share(row, host, unreachable)
    if share.rate <= target.rate and share.burst <= target.burst:
        return row
    rate, burst = min(share.rate, target.rate), min(share.burst, target.burst)
    unclaimed = min(share.unclaimed, burst)
    return _replace_share(
        row, host, lambda old: Share(old.host, old.domain, rate, burst, unclaimed)
    )


def raise_share(row: LedgerRow, host: HostName, unreachable: frozenset[HostName]) -> LedgerRow:
    """Return the row in which a host adds the unallocated limit, up to its target share."""
    share = row.find_share(host)
    if share is None:
        return row
    target = compute_target_share(row, host, unreachable)
    unallocated = compute_unallocated(row)
    rate = max(0, min(target.rate - share.rate, unallocated.rate))
    burst = max(0, min(target.burst - share.burst, unallocated.burst))
    if not rate and not burst:
        return row
    return _grow_share(row, Member(share.host, share.domain), rate, burst)


def is_unbalanced(row: LedgerRow) -> bool:
    """Return whether the shares don't sum up to the limit, or one is empty or too large."""
    rate = sum(share.rate for share in row.shares)
    burst = sum(share.burst for share in row.shares)
    if (rate, burst) != (row.limit.rate, row.limit.burst):
        return True
    count = len(row.shares)
    if any(not share.rate or not share.burst for share in row.shares):
        return True
    return any(
        share.rate > row.limit.rate / count * IMBALANCE_FACTOR
        or share.burst > row.limit.burst / count * IMBALANCE_FACTOR
        for share in row.shares
    )


def rebalance(row: LedgerRow, member: Member, unreachable: frozenset[HostName]) -> LedgerRow:
    """Return the row after the changes that a host may make to its own share.

    ``unreachable`` are the other holders that have not answered for a while.
    """
    with_member = add_member(row, member, unreachable)
    if not is_unbalanced(with_member):
        return with_member
    return raise_share(lower_share(with_member, member.host, unreachable), member.host, unreachable)


def add_member(row: LedgerRow, member: Member, unreachable: frozenset[HostName]) -> LedgerRow:
    """Return the row with an empty share for a host, unless its failure domain has enough."""
    active = [s for s in row.shares if s.domain == member.domain and s.host not in unreachable]
    if row.find_share(member.host) or len(active) >= HOLDERS_PER_DOMAIN:
        return row
    return replace(row, shares=(*row.shares, Share(member.host, member.domain, 0, 0)))


def compute_unallocated(row: LedgerRow) -> Limit:
    """Return the part of the limit that no host holds."""
    rate = row.limit.rate - sum(share.rate for share in row.shares)
    burst = row.limit.burst - sum(share.burst for share in row.shares)
    return Limit(max(0, rate), max(0, burst))


def compute_target_share(row: LedgerRow, host: HostName, unreachable: frozenset[HostName]) -> Limit:
    """Return an equal part of the limit that the unreachable hosts leave to the others."""
    active = [share for share in row.shares if share.host not in unreachable or share.host == host]
    reserved = [share for share in row.shares if share not in active]
    rate = max(0, row.limit.rate - sum(share.rate for share in reserved))
    burst = max(0, row.limit.burst - sum(share.burst for share in reserved))
    position = [share.host for share in active].index(host)
    return Limit(divide(rate, len(active))[position], divide(burst, len(active))[position])


def divide(total: int, parts: int) -> tuple[int, ...]:
    """Return ``parts`` nearly equal integers that sum up to ``total``.

    >>> divide(8, 3)
    (3, 3, 2)
    """
    quotient, rest = divmod(total, parts)
    return tuple(quotient + (1 if position < rest else 0) for position in range(parts))


def _replace_share(row: LedgerRow, host: HostName, change: Callable[[Share], Share]) -> LedgerRow:
    shares = tuple(change(share) if share.host == host else share for share in row.shares)
    return replace(row, shares=shares)


def _grow_share(row: LedgerRow, holder: Member, rate: int, burst: int) -> LedgerRow:
    share = row.find_share(holder.host)
    if share is None:
        return replace(row, shares=(*row.shares, Share(holder.host, holder.domain, rate, burst)))
    return _replace_share(
        row,
        holder.host,
        lambda old: replace(old, rate=old.rate + rate, burst=old.burst + burst),
    )


def encode_row(row: LedgerRow) -> dict[str, object]:
    """Convert a row to a JSON value for the platform's table."""
    return asdict(row)


def decode_row(value: Mapping[str, object]) -> LedgerRow:
    """Convert a JSON value of the platform's table to a row."""
    fields = dict(value)
    limit = Limit(**fields.pop("limit"))  # type: ignore[arg-type]
    shares = tuple(Share(**share) for share in fields.pop("shares"))  # type: ignore[attr-defined]
    return LedgerRow(limit=limit, shares=shares, **fields)  # type: ignore[arg-type]
