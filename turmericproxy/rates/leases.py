"""Decide until when a host may spend its shares, and when they may be granted to another host.

Each host has one row in the platform's table. It names the host's present incarnation and its
lessor, another host of the same failure domain. ``G`` is the regrant time:

- A host spends only while its lease is running. A read of its own row extends the lease to
  ``G / 2`` after the read was sent, provided that the row is open under the host's incarnation.
- The lessor extends a running lease too, by a promise not to take the shares for that time. So a
  host keeps its shares while the platform is unavailable. After a lease has ended, only a read from
  the platform starts a new one.
- Only the lessor may take the shares. It first marks the row as lost, then waits ``G``, during
  which it promises nothing, and then transfers the shares to itself, provided that the row has not
  changed. A host that finds its row marked reopens it by a conditional write, reads the ledger
  again and only then spends.
- A new incarnation writes itself into the row and waits until the lease of the earlier one has
  ended.

Every write of a host to the ledger requires that the host's own row has an unchanged version, so
that a delayed write of an earlier incarnation fails.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from enum import Enum

from turmericproxy.core import DomainName, HostName, Incarnation
from turmericproxy.rates.ledger import Member

# The length of a lease as a fraction of the regrant time.
LEASE_FRACTION = 0.5


class Standing(Enum):
    """Describe the state of a host's row; only an open row lets the host spend its shares."""

    OPEN = "open"
    LOST = "lost"
    CLOSED = "closed"
    RETIRED = "retired"


@dataclass(frozen=True)
class Lessor:
    """Identify the only process that may take the shares of a host."""

    host: HostName
    incarnation: Incarnation


@dataclass(frozen=True)
class HostRow:
    """Describe one host as stored in the platform's table.

    ``lease`` is the length of its leases in seconds, since settings may differ between hosts.
    ``marked_by`` is the host that marked the row as lost. ``levels`` are the micro-tokens in the
    buckets of a host that has closed, by client account.
    """

    host: HostName
    domain: DomainName
    incarnation: Incarnation
    standing: Standing
    lease: float
    lessor: Lessor | None = None
    marked_by: HostName | None = None
    levels: Mapping[str, int] | None = None


@dataclass(frozen=True)
class Lease:
    """Describe until when a host may spend its shares, in seconds of CLOCK_BOOTTIME."""

    until: float = 0.0


@dataclass(frozen=True)
class Watch:
    """Record when this host first saw a row marked as lost, and the version of that row."""

    version: int
    since: float


def is_held(lease: Lease, now: float) -> bool:
    """Return whether a lease is running."""
    return now < lease.until


def renew_by_platform(
    lease: Lease, row: HostRow, incarnation: Incarnation, sent_at: float, regrant_after: float
) -> Lease:
    """Extend a lease after a read of the host's own row, which was sent at ``sent_at``.

    The lease ends if the row is not open under the host's incarnation.
    """
    if row.standing is not Standing.OPEN or row.incarnation != incarnation:
        return Lease()
    return Lease(max(lease.until, sent_at + regrant_after * LEASE_FRACTION))


def renew_by_lessor(lease: Lease, sent_at: float, now: float, regrant_after: float) -> Lease:
    """Extend a running lease by a promise that was requested at ``sent_at``."""
    if not is_held(lease, now):
        return lease
    return Lease(max(lease.until, sent_at + regrant_after * LEASE_FRACTION))


def promise(watch: Watch | None) -> bool:
    """Return whether a lessor makes a promise: only while it has not marked the row."""
    return watch is None


def take_over(
    row: HostRow | None, member: Member, new: Incarnation, regrant_after: float
) -> HostRow:
    """Return the row that a new incarnation of a host writes at its start."""
    lease = regrant_after * LEASE_FRACTION
    lessor = row.lessor if row else None
    return HostRow(member.host, member.domain, new, Standing.OPEN, lease, lessor)


def compute_takeover_wait(row: HostRow | None) -> float:
    """Return the seconds for which the earlier incarnation may still spend."""
    if row is None or row.standing is Standing.CLOSED:
        return 0.0
    return row.lease


def may_mark(row: HostRow, marker: Lessor, is_withdrawn: bool, active: frozenset[HostName]) -> bool:
    """Return whether ``marker`` may mark another host's row as lost.

    The lessor may. Other hosts may if the host has closed, if the platform no longer lists it, or
    if the row is marked and the host that marked it is not among the ``active`` hosts.
    """
    if row.standing is Standing.RETIRED:
        return False
    if row.standing is Standing.LOST:
        return row.marked_by not in active
    return row.standing is Standing.CLOSED or is_withdrawn or row.lessor == marker


def mark_lost(row: HostRow, marker: HostName) -> HostRow:
    """Return the row marked as lost."""
    return replace(row, standing=Standing.LOST, marked_by=marker)


def reopen(row: HostRow, incarnation: Incarnation) -> HostRow:
    """Return the open row that a host writes when it finds its own row marked."""
    return replace(row, incarnation=incarnation, standing=Standing.OPEN, marked_by=None)


def retire(row: HostRow) -> HostRow:
    """Return the row of a lost host that no longer holds any share."""
    return replace(row, standing=Standing.RETIRED, lessor=None, levels=None)


def may_regrant(
    row: HostRow, version: int, watch: Watch, marker: HostName, now: float, regrant_after: float
) -> bool:
    """Return whether a row marked by ``marker`` has been unchanged for the regrant time.

    The regrant time of the lost host counts if it is the longer one.
    """
    if row.standing is not Standing.LOST or row.marked_by != marker or version != watch.version:
        return False
    return now >= watch.since + max(regrant_after, row.lease / LEASE_FRACTION)


def encode_host_row(row: HostRow) -> dict[str, object]:
    """Convert a row to a JSON value for the platform's table."""
    value = asdict(row)
    value["standing"] = row.standing.value
    return value


def decode_host_row(value: Mapping[str, object]) -> HostRow:
    """Convert a JSON value of the platform's table to a row."""
    fields = dict(value)
    lessor = fields.pop("lessor")
    standing = Standing(fields.pop("standing"))
    return HostRow(
        standing=standing,
        lessor=Lessor(**lessor) if lessor else None,  # type: ignore[arg-type]
        **fields,  # type: ignore[arg-type]
    )
