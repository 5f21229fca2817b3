"""Acquire and extend the lease on ordering engines in the table store."""

import json
import math
from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from turmericproxy.core import Refusal
from turmericproxy.core.documents import decode_json
from turmericproxy.logs import Part, log_event
from turmericproxy.rollout.lease import (
    LEASE_SECONDS,
    LeaseView,
    OrderLease,
    Wait,
    decide_claim,
)
from turmericproxy.store import TableState, TableStore
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Condition,
    Row,
    Transaction,
    Write,
)

LEASE_TABLE = "order_leases"
LEASE_KEY = "weights"
# No order is sent in this last part of a lease, so that it arrives before the lease expires.
EXPIRY_MARGIN_SECONDS = 0.4
# The lease is extended when less usable time than this remains.
EXTENSION_SECONDS = 0.8
# Time after the start of a host, in the first start of the whole fleet, within which a missing
# lease means that none was written: none can be acquired and lost with a restored store so soon.
FIRST_START_SECONDS = 1.0
# Duration of a read of the lease above which it is extended without another read: the read and the
# write together would take longer than the usable part of the lease.
SLOW_READ_SECONDS = 0.4
# Time for which one read is used in this way. The host's clock and the store's may drift by some
# milliseconds meanwhile, which the expiry margin covers.
MAX_READ_AGE_SECONDS = 10.0


class _KnownLease(NamedTuple):
    """Hold this host's lease and its row's version, and when and at what clock it was read."""

    lease: OrderLease
    row_version: int
    read_at: float
    store_clock: float
    read_seconds: float


class LeaseManager:
    """Acquire and extend the lease; ``read_clock`` counts suspended time too, in seconds.

    ``guard_seconds`` is the minimum time between the orders of two holders. ``is_first_start``
    means that the whole fleet starts for the first time, so a lease that is missing at the start
    was never written, nor later in the same era of the store. ``table`` and ``key`` name the
    lease's row.
    """

    def __init__(
        self,
        store: TableStore,
        holder: str,
        guard_seconds: float,
        read_clock: Callable[[], float],
        *,
        is_first_start: bool,
        table: str = LEASE_TABLE,
        key: str = LEASE_KEY,
        part: Part = Part.WEIGHTS,
    ) -> None:
        self._store = store
        self._table, self._key, self._part = table, key, part
        self._first_start_until = (
            read_clock() + FIRST_START_SECONDS if is_first_start else -math.inf
        )
        self._unwritten_era: int | None = None
        self._unclear: tuple[int, int] | None = None
        self._unclear_since = 0.0
        self._holder = holder
        self._guard_seconds = guard_seconds
        self._read_clock = read_clock
        self._held_until = 0.0
        self._known: _KnownLease | None = None
        self.fence = 0

    def is_held(self) -> bool:
        """Return whether an order may be sent now."""
        return self._read_clock() < self._held_until - EXPIRY_MARGIN_SECONDS

    def needs_extension(self) -> bool:
        """Return whether the lease has expired or expires soon."""
        return self._read_clock() > self._held_until - EXPIRY_MARGIN_SECONDS - EXTENSION_SECONDS

    async def acquire(self) -> float:
        """Acquire or extend the lease; return 0, or the seconds to wait before the next attempt."""
        if (known := self._take_known()) is not None:
            return await self._extend(known)
        read_at = self._read_clock()
        state = await self._store.read_table(self._table)
        if isinstance(state, Refusal):
            log_event(self._part, "lease can't be read", reason=state.reason)
            return EXTENSION_SECONDS / 2
        row = _find_row(state, self._key)
        # The same time is the start of the lease here and, at the latest, in the store, so that the
        # lease ends here no later than in the store.
        started = self._read_clock()
        view = replace(self._create_view(state, row), read_seconds=started - read_at)
        decision = decide_claim(view, self._holder, self._guard_seconds)
        if isinstance(decision, Wait):
            return decision.seconds
        lease = decision.lease
        known = _KnownLease(
            lease, row.version if row else 0, read_at, state.store_clock, started - read_at
        )
        return await self._write_lease(known, started)

    def _take_known(self) -> _KnownLease | None:
        """Return and forget this host's lease if it can be extended without a slow read."""
        known, self._known = self._known, None
        if known is None or known.read_seconds < SLOW_READ_SECONDS or not self.is_held():
            return None
        is_recent = self._read_clock() < known.read_at + MAX_READ_AGE_SECONDS
        return known if is_recent else None

    async def _extend(self, known: _KnownLease) -> float:
        """Extend a lease that is held; the write fails if its row or the store's era has changed.

        Where the store answers slowly, the lease would expire between a read and a write.
        """
        started = self._read_clock()
        until = known.store_clock + (started - known.read_at) + LEASE_SECONDS
        lease = replace(known.lease, until=until)
        return await self._write_lease(known._replace(lease=lease), started)

    async def observe(self) -> None:
        """Read the lease, so that a wait for an unknown holder begins now."""
        state = await self._store.read_table(self._table)
        if isinstance(state, TableState):
            self._create_view(state, _find_row(state, self._key))

    def _create_view(self, state: TableState, row: Row | None) -> LeaseView:
        current = _read_lease(row, self._part)
        is_known = current is not None and current.era == state.era
        return LeaseView(
            current=current,
            store_clock=state.store_clock,
            version=state.version,
            era=state.era,
            unclear_seconds=self._measure_unclear(state.era, row, is_known=is_known),
            is_own_held=self.is_held(),
        )

    def _measure_unclear(self, era: int, row: Row | None, *, is_known: bool) -> float:
        """Return for how many seconds the last lease of the store's era has been missing here.

        It is infinite if none was ever written. A host that reaches the store only later can't
        tell: others may have held leases that were lost with a restored store. A row of an earlier
        era may also be a late write, after the one of the present holder. So the time starts anew
        with each version of the row.
        """
        if is_known:
            self._unclear = None
            return 0.0
        if row is None and self._read_clock() <= self._first_start_until:
            self._unwritten_era = era
        if row is None and self._unwritten_era == era:
            return math.inf
        key = (era, row.version if row else 0)
        if key != self._unclear:
            self._unclear, self._unclear_since = key, self._read_clock()
        return self._read_clock() - self._unclear_since

    async def _write_lease(self, known: _KnownLease, started: float) -> float:
        """Write a lease in place of the known row; version 0 means that there is none."""
        lease = known.lease
        value = json.dumps([lease.holder, lease.fence, lease.until, lease.era]).encode()
        condition = Condition(self._table, self._key, known.row_version or None)
        result = await self._store.commit(
            Transaction((condition,), (Write(self._table, self._key, value),))
        )
        if isinstance(result, Committed) and result.era == lease.era:
            if lease.fence != self.fence:
                log_event(self._part, "lease acquired", fence=lease.fence, until=lease.until)
            self._held_until = started + LEASE_SECONDS
            self.fence = lease.fence
            version = result.get_version(self._table, self._key)
            self._known = known._replace(row_version=version)
            return 0.0
        if isinstance(result, AnswerLost | Refusal):
            log_event(self._part, "lease not acquired", reason=result.reason)
        return EXTENSION_SECONDS / 4


def _find_row(state: TableState, key: str) -> Row | None:
    return next((row for row in state.rows if row.key == key), None)


def _read_lease(row: Row | None, part: Part = Part.WEIGHTS) -> OrderLease | None:
    if row is None:
        return None
    try:
        holder, fence, until, era = decode_json(row.value)
        return OrderLease(str(holder), int(fence), float(until), int(era))
    except (ValueError, TypeError) as error:
        log_event(part, "invalid lease", reason=repr(error))
        return None
