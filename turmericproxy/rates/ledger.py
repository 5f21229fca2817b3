"""Split a client account's rate and burst between hosts, as kept in the platform's table.

A share binds as soon as the row is written: its holder may spend it, and nobody else. Only the
holder lowers its own share, after it has stopped to spend the difference. What nobody holds may
be added to a share. The share of a lost host passes to its successor, see ``leases``.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, replace

from turmericproxy.core import AccountName, DomainName, HostName
from turmericproxy.core.bucket import MICRO

HOLDERS_PER_DOMAIN = 3
FLIGHT_SHARE = 0.1
UNEVEN_FACTOR = 1.25


@dataclass(frozen=True)
class Limit:
    """Hold a rate in micro-tokens a second and a burst in micro-tokens.

    ``flight`` is for how many microseconds tokens may be under way between two hosts.
    """

    rate: int
    burst: int
    flight: int = 0


@dataclass(frozen=True)
class Share:
    """Hold the part of one host. ``unclaimed`` micro-tokens may be claimed once as its level."""

    host: HostName
    domain: DomainName
    rate: int
    burst: int
    unclaimed: int = 0


@dataclass(frozen=True)
class LedgerRow:
    """Hold the limit of a client account, the revision that set it, and how it is split."""

    account: AccountName
    limit: Limit
    revision: int
    shares: tuple[Share, ...]

    def find_share(self, host: HostName) -> Share | None:
        """Return the share of a host."""
        return next((share for share in self.shares if share.host == host), None)


@dataclass(frozen=True)
class Member:
    """Name a host that may hold a share."""

    host: HostName
    domain: DomainName


def create_limit(rate: float, burst: int, timeout: float) -> Limit:
    """Return what buckets may hold so that tokens under way stay within the burst too.

    Tokens that were deducted at one host may be admitted at another a moment later, when the
    bucket has refilled by ``rate`` times that moment. ``rate`` is in tokens a second, ``burst`` in
    tokens, ``timeout`` in seconds.

    >>> create_limit(100.0, 1000, 0.1)
    Limit(rate=100000000, burst=990000000, flight=100000)
    """
    flight = int(MICRO * min(timeout, burst * FLIGHT_SHARE / rate))
    rate_micro = int(rate * MICRO)
    under_way = -(-rate_micro * flight // MICRO)
    return Limit(rate_micro, burst * MICRO - under_way, flight)


def choose_holders(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the first few hosts of each failure domain in the order of their names."""
    by_domain: dict[DomainName, list[Member]] = {}
    for member in sorted(set(members), key=lambda member: member.host):
        by_domain.setdefault(member.domain, []).append(member)
    return tuple(
        member for domain in sorted(by_domain) for member in by_domain[domain][:HOLDERS_PER_DOMAIN]
    )


def create_split(
    account: AccountName, limit: Limit, revision: int, holders: tuple[Member, ...]
) -> LedgerRow:
    """Return the first split of a client account; each share may be claimed full once.

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
    """Return the row after a host has claimed the first level of its share."""
    return _replace_share(row, host, lambda share: replace(share, unclaimed=0))


def regrant(row: LedgerRow, lost: HostName, heir: Member) -> LedgerRow:
    """Return the row in which the share of a lost host has passed to another, empty."""
    old = row.find_share(lost)
    if old is None:
        return row
    others = replace(row, shares=tuple(share for share in row.shares if share.host != lost))
    return _add(others, heir, old.rate, old.burst)


def change_limit(row: LedgerRow, limit: Limit, revision: int) -> LedgerRow:
    """Return the row with a newer limit; the shares stay until their holders change them."""
    if revision <= row.revision:
        return row
    return replace(row, limit=limit, revision=revision)


def lower_share(row: LedgerRow, host: HostName, silent: frozenset[HostName]) -> LedgerRow:
    """Return the row in which a host's share is no more than its part of the limit.

    ``silent`` are hosts that do not answer: what they hold beyond their part is reserved to
    them, and the others' parts are smaller for it.
    """
    share = row.find_share(host)
    if share is None:
        return row
    part = compute_part(row, host, silent)
    if share.rate <= part.rate and share.burst <= part.burst:
        return row
    rate, burst = min(share.rate, part.rate), min(share.burst, part.burst)
    unclaimed = min(share.unclaimed, burst)
    return _replace_share(
        row, host, lambda old: Share(old.host, old.domain, rate, burst, unclaimed)
    )


def raise_share(row: LedgerRow, host: HostName, silent: frozenset[HostName]) -> LedgerRow:
    """Return the row in which a host has added what nobody holds, up to its part."""
    share = row.find_share(host)
    if share is None:
        return row
    part = compute_part(row, host, silent)
    free = measure_free(row)
    rate = max(0, min(part.rate - share.rate, free.rate))
    burst = max(0, min(part.burst - share.burst, free.burst))
    if not rate and not burst:
        return row
    return _add(row, Member(share.host, share.domain), rate, burst)


def is_unbalanced(row: LedgerRow) -> bool:
    """Return whether the shares exceed or fall short of the limit, or some are far apart."""
    rate = sum(share.rate for share in row.shares)
    burst = sum(share.burst for share in row.shares)
    if (rate, burst) != (row.limit.rate, row.limit.burst):
        return True
    count = len(row.shares)
    if any(not share.rate or not share.burst for share in row.shares):
        return True
    return any(
        share.rate > row.limit.rate / count * UNEVEN_FACTOR
        or share.burst > row.limit.burst / count * UNEVEN_FACTOR
        for share in row.shares
    )


def adjust(row: LedgerRow, member: Member, silent: frozenset[HostName]) -> LedgerRow:
    """Return the row after the changes that one host may make for itself.

    ``silent`` are the holders that have not been heard of for a while.
    """
    joined = join(row, member, silent)
    if not is_unbalanced(joined):
        return joined
    return raise_share(lower_share(joined, member.host, silent), member.host, silent)


def join(row: LedgerRow, member: Member, silent: frozenset[HostName]) -> LedgerRow:
    """Return the row with an empty share for a host whose failure domain has few holders."""
    active = [s for s in row.shares if s.domain == member.domain and s.host not in silent]
    if row.find_share(member.host) or len(active) >= HOLDERS_PER_DOMAIN:
        return row
    return replace(row, shares=(*row.shares, Share(member.host, member.domain, 0, 0)))


def measure_free(row: LedgerRow) -> Limit:
    """Return the part of the limit that nobody holds."""
    rate = row.limit.rate - sum(share.rate for share in row.shares)
    burst = row.limit.burst - sum(share.burst for share in row.shares)
    return Limit(max(0, rate), max(0, burst))


def compute_part(row: LedgerRow, host: HostName, silent: frozenset[HostName]) -> Limit:
    """Return the part of the limit that a host should hold."""
    active = [share for share in row.shares if share.host not in silent or share.host == host]
    held = [share for share in row.shares if share not in active]
    rate = max(0, row.limit.rate - sum(share.rate for share in held))
    burst = max(0, row.limit.burst - sum(share.burst for share in held))
    position = [share.host for share in active].index(host)
    return Limit(divide(rate, len(active))[position], divide(burst, len(active))[position])


def divide(total: int, parts: int) -> tuple[int, ...]:
    """Return ``parts`` nearly equal whole numbers with that sum.

    >>> divide(8, 3)
    (3, 3, 2)
    """
    quotient, rest = divmod(total, parts)
    return tuple(quotient + (1 if position < rest else 0) for position in range(parts))


def _replace_share(row: LedgerRow, host: HostName, change: Callable[[Share], Share]) -> LedgerRow:
    shares = tuple(change(share) if share.host == host else share for share in row.shares)
    return replace(row, shares=shares)


def _add(row: LedgerRow, holder: Member, rate: int, burst: int) -> LedgerRow:
    share = row.find_share(holder.host)
    if share is None:
        return replace(row, shares=(*row.shares, Share(holder.host, holder.domain, rate, burst)))
    return _replace_share(
        row,
        holder.host,
        lambda old: replace(old, rate=old.rate + rate, burst=old.burst + burst),
    )


def encode_row(row: LedgerRow) -> dict[str, object]:
    """Return the row as a value for the platform's table."""
    return asdict(row)


def decode_row(value: Mapping[str, object]) -> LedgerRow:
    """Return the row that a value of the platform's table holds."""
    fields = dict(value)
    limit = Limit(**fields.pop("limit"))  # type: ignore[arg-type]
    shares = tuple(Share(**share) for share in fields.pop("shares"))  # type: ignore[attr-defined]
    return LedgerRow(limit=limit, shares=shares, **fields)  # type: ignore[arg-type]
