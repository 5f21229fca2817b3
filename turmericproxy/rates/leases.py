"""Decide until when a host may spend its shares, and when another may take them over.

Each host has one row in the platform's table. It names the host's present incarnation and one
other host of its failure domain, the lessor. The rules, in which ``G`` is the regrant time:

- A host spends only while its lease runs. A read of its own row that shows it open under its own
  incarnation extends the lease to ``G / 2`` after the read was sent.
- A lease that still runs is also extended by the lessor's promise not to take the shares over
  for that long. So a host keeps its shares while the platform is away. A lease that has ended is
  extended only through the platform.
- Nobody else may take the shares over. The lessor first marks the row as lost, then waits ``G``
  during which it promises nothing, and then passes the shares on, provided that the row has not
  changed. A host that finds its row marked opens it again by a conditional write, reads the ledger
  anew and only then spends.
- A new incarnation writes itself into the row and waits until the lease of the old one has ended.

All writes of a host to the ledger carry the version of its own row as a condition, so that what
an earlier incarnation sent can't take effect later.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, replace
from enum import Enum

from turmericproxy.core import DomainName, HostName, Incarnation
from turmericproxy.rates.ledger import Member

LEASE_SHARE = 0.5


class Standing(Enum):
    """Tell whether a host holds its shares."""

    OPEN = "open"
    LOST = "lost"
    CLOSED = "closed"
    RETIRED = "retired"


@dataclass(frozen=True)
class Lessor:
    """Name the one process that may take the shares of a host over."""

    host: HostName
    incarnation: Incarnation


@dataclass(frozen=True)
class HostRow:
    """Hold what the table says of one host.

    ``lease`` is the length of its leases in seconds, as settings may differ between hosts.
    ``levels`` are the micro-tokens that a host which closed has left in its buckets. ``marked_by``
    is the host that has marked the row as lost.
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
    """Hold the second of CLOCK_BOOTTIME until which a host may spend its shares."""

    until: float = 0.0


@dataclass(frozen=True)
class Watch:
    """Remember since when this host has seen a row marked, at which version of the row."""

    version: int
    since: float


def is_held(lease: Lease, now: float) -> bool:
    """Return whether a lease still runs."""
    return now < lease.until


def renew_by_platform(
    lease: Lease, row: HostRow, incarnation: Incarnation, asked_at: float, regrant_after: float
) -> Lease:
    """Extend a lease by what a read of the own row, sent at ``asked_at``, has shown."""
    if row.standing is not Standing.OPEN or row.incarnation != incarnation:
        return Lease()
    return Lease(max(lease.until, asked_at + regrant_after * LEASE_SHARE))


def renew_by_lessor(lease: Lease, asked_at: float, now: float, regrant_after: float) -> Lease:
    """Extend a lease by a promise that was asked for at ``asked_at``, unless it has ended."""
    if not is_held(lease, now):
        return lease
    return Lease(max(lease.until, asked_at + regrant_after * LEASE_SHARE))


def promise(watch: Watch | None) -> bool:
    """Return whether a lessor promises to leave the shares: not once it has marked the row."""
    return watch is None


def take_over(
    row: HostRow | None, member: Member, new: Incarnation, regrant_after: float
) -> HostRow:
    """Return the row that a new incarnation writes for itself."""
    lease = regrant_after * LEASE_SHARE
    lessor = row.lessor if row else None
    return HostRow(member.host, member.domain, new, Standing.OPEN, lease, lessor)


def measure_takeover_wait(row: HostRow | None) -> float:
    """Return for how many seconds the earlier incarnation may still spend."""
    if row is None or row.standing is Standing.CLOSED:
        return 0.0
    return row.lease


def may_mark(
    row: HostRow, marker: Lessor, is_withdrawn: bool, present: frozenset[HostName]
) -> bool:
    """Return whether a host may mark another's row as lost.

    The lessor may. Others may if the host has closed, if the platform no longer lists it at all,
    or if it is marked and the marker is not among the hosts ``present``.
    """
    if row.standing is Standing.RETIRED:
        return False
    if row.standing is Standing.LOST:
        return row.marked_by not in present
    return row.standing is Standing.CLOSED or is_withdrawn or row.lessor == marker


def mark_lost(row: HostRow, marker: HostName) -> HostRow:
    """Return the row marked as lost."""
    return replace(row, standing=Standing.LOST, marked_by=marker)


def reopen(row: HostRow, incarnation: Incarnation) -> HostRow:
    """Return the row as its own host writes it when it finds itself marked."""
    return replace(row, incarnation=incarnation, standing=Standing.OPEN, marked_by=None)


def retire(row: HostRow) -> HostRow:
    """Return the row of a lost host whose shares have all passed on."""
    return replace(row, standing=Standing.RETIRED, lessor=None, levels=None)


def may_regrant(
    row: HostRow, version: int, watch: Watch, marker: HostName, now: float, regrant_after: float
) -> bool:
    """Return whether the shares of a marked host may pass on: after ``G`` without a change."""
    if row.standing is not Standing.LOST or row.marked_by != marker or version != watch.version:
        return False
    return now >= watch.since + max(regrant_after, row.lease / LEASE_SHARE)


def encode_host_row(row: HostRow) -> dict[str, object]:
    """Return the row as a value for the platform's table."""
    value = asdict(row)
    value["standing"] = row.standing.value
    return value


def decode_host_row(value: Mapping[str, object]) -> HostRow:
    """Return the row that a value of the platform's table holds."""
    fields = dict(value)
    lessor = fields.pop("lessor")
    standing = Standing(fields.pop("standing"))
    return HostRow(
        standing=standing,
        lessor=Lessor(**lessor) if lessor else None,  # type: ignore[arg-type]
        **fields,  # type: ignore[arg-type]
    )
