"""Renew the lease of this host, and act as the lessor of other hosts."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from turmericproxy.core import HostName, Incarnation, Refusal
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.logs import Part, log_event
from turmericproxy.rates import leases
from turmericproxy.rates.context import Links, RateContext
from turmericproxy.rates.leases import HostRow, Lease, Lessor, Standing, Watch
from turmericproxy.rates.table import Versioned, get_host_version
from turmericproxy.tables import AnswerLost, Committed

PROMISE_KIND = "rates.promise"
RENEWALS_PER_LEASE = 5


@dataclass(frozen=True)
class Lessee:
    """Describe the newest incarnation of a host that requested a promise.

    ``version`` is the version of the host's row that the request named.
    """

    incarnation: Incarnation
    version: int


class HostLeaseManager:
    """Write this host's row, renew its lease, and answer promise requests of other hosts.

    ``previous_levels`` are the micro-tokens that the earlier incarnation left, by client account.
    ``reload`` reads the whole ledger again and returns whether that succeeded; a lease starts only
    after a successful reload.
    """

    def __init__(self, context: RateContext) -> None:
        self._table = context.table
        self._links: Links = context.links
        self._local_buckets = context.local_buckets
        self._member = context.member
        self._identity = context.identity
        self._regrant_after = context.settings.regrant_after
        self._read_clock = context.read_clock
        self._lock = threading.Lock()
        self._own_row: Versioned[HostRow] | None = None
        # The row version that a write with a lost answer requires; it may still take effect.
        self._uncertain_version: int | None = None
        self._ready_at = 0.0
        self._takeover_wait = 0.0
        self._watches: dict[HostName, Watch] = {}
        self._lessees: dict[HostName, Lessee] = {}
        self._last_requests: dict[HostName, float] = {}
        self.previous_levels: dict[str, int] = {}
        self.reload: Callable[[], bool] = lambda: True
        context.links.register(PROMISE_KIND, self._handle_promise)

    @property
    def renewal_interval(self) -> float:
        """Return the seconds between two renewals of the lease."""
        return self._regrant_after * leases.LEASE_FRACTION / RENEWALS_PER_LEASE

    def get_own_row(self) -> Versioned[HostRow] | None:
        """Return this host's row for use as a condition, or none before the takeover."""
        with self._lock:
            return self._own_row

    def run_once(self) -> None:
        """Take over this host's row, or renew its lease."""
        if self._own_row is None:
            self._take_over()
            return
        now = self._read_clock()
        if now < self._ready_at:
            return
        if not self._renew_by_lessor(self._own_row):
            self._renew_by_platform()
        self._choose_lessor()

    def _take_over(self) -> None:
        old = self._table.read_host(self._member.host)
        if isinstance(old, Refusal):
            return
        if old and old.row.incarnation == self._identity.incarnation:
            # An earlier write took effect although its answer was lost.
            self._begin(old)
            return
        row = old.row if old else None
        new = leases.take_over(row, self._member, self._identity.incarnation, self._regrant_after)
        self.previous_levels = dict(row.levels or {}) if row else {}
        self._takeover_wait = leases.compute_takeover_wait(row)
        outcome = self._table.commit_host(new, old)
        if isinstance(outcome, Committed):
            self._begin(Versioned(new, get_host_version(outcome, new.host)))

    def _begin(self, own: Versioned[HostRow]) -> None:
        with self._lock:
            self._own_row = own
        if own.row.lessor:
            # After this request the lessor makes no promise to the earlier incarnation.
            self._ask_promise(own.row.lessor, own.version)
        self._ready_at = self._read_clock() + self._takeover_wait
        log_event(
            Part.RATES,
            "host row taken over",
            wait=self._takeover_wait,
            levels=len(self.previous_levels),
        )

    def _renew_by_lessor(self, own: Versioned[HostRow]) -> bool:
        lease = self._local_buckets.read_lease()
        sent_at = self._read_clock()
        if self._uncertain_version is not None or not leases.is_held(lease, sent_at):
            return False
        lessor = own.row.lessor
        if lessor is None or not self._ask_promise(lessor, own.version):
            return False
        self._local_buckets.renew_lease(
            lambda old, now: leases.renew_by_lessor(old, sent_at, now, self._regrant_after)
        )
        return True

    def _ask_promise(self, lessor: Lessor, version: int | None) -> bool:
        body = {
            "host": self._identity.host,
            "incarnation": self._identity.incarnation,
            "version": version,
        }
        reply = self._links.call(lessor.host, PROMISE_KIND, body, self.renewal_interval)
        if not isinstance(reply, dict):
            return False
        return bool(reply["promised"]) and reply["incarnation"] == lessor.incarnation

    def _renew_by_platform(self) -> None:
        sent_at = self._read_clock()
        read = self._table.read_host(self._member.host)
        own = self._own_row
        if isinstance(read, Refusal):
            self._renew_without_lessor(sent_at)
            return
        if read is None or own is None or read.row.incarnation != self._identity.incarnation:
            self._local_buckets.set_lease(Lease())
            log_event(Part.RATES, "another incarnation holds the host row")
            return
        if read.version == self._uncertain_version or read.row.standing is not Standing.OPEN:
            self._reopen(read)
            return
        self._uncertain_version = None
        with self._lock:
            self._own_row = read
        if not self._local_buckets.is_open() and not self.reload():
            return
        # Levels that are not used by now belong to shares that were granted to other hosts, and
        # must not be added to later shares of the same accounts.
        self.previous_levels = {}
        self._local_buckets.renew_lease(
            lambda old, now: leases.renew_by_platform(
                old, read.row, self._identity.incarnation, sent_at, self._regrant_after
            )
        )

    def _renew_without_lessor(self, sent_at: float) -> None:
        """Extend a running lease without the platform if no other host may take the shares."""
        own = self._own_row
        if own and own.row.lessor is None and self._uncertain_version is None:
            self._local_buckets.renew_lease(
                lambda old, now: leases.renew_by_lessor(old, sent_at, now, self._regrant_after)
            )

    def _reopen(self, read: Versioned[HostRow]) -> None:
        """Write the open row again after a mark, or after a write with an unknown outcome."""
        if read.row.standing is not Standing.OPEN:
            self._local_buckets.set_lease(Lease())
            log_event(Part.RATES, "host row was marked as lost", marked_by=read.row.marked_by)
        self._write_own_row(leases.reopen(read.row, self._identity.incarnation), read)

    def _write_own_row(self, new: HostRow, old: Versioned[HostRow]) -> None:
        self._uncertain_version = old.version
        outcome = self._table.commit_host(new, old)
        if isinstance(outcome, AnswerLost):
            return
        self._uncertain_version = None
        if isinstance(outcome, Committed):
            with self._lock:
                self._own_row = Versioned(new, get_host_version(outcome, new.host))

    def _choose_lessor(self) -> None:
        own = self._own_row
        if own is None or self._uncertain_version is not None:
            return
        peers = [p for p in self._links.list_reachable() if p.domain == self._member.domain]
        candidates = {Lessor(peer.host, peer.incarnation) for peer in peers}
        if not candidates or own.row.lessor in candidates:
            return
        chosen = min(
            candidates, key=lambda lessor: compute_rendezvous_weight(self._member.host, lessor.host)
        )
        new = replace(own.row, lessor=chosen)
        if self._local_buckets.is_open():
            self._write_own_row(new, own)

    def _handle_promise(self, _sender: HostName, body: Any) -> dict[str, Any]:
        host, incarnation = HostName(body["host"]), Incarnation(body["incarnation"])
        with self._lock:
            known = self._lessees.get(host)
            if known is None or body["version"] > known.version:
                known = self._lessees[host] = Lessee(incarnation, body["version"])
            self._last_requests[host] = self._read_clock()
            is_current = known.incarnation == incarnation
            promised = is_current and leases.promise(self._watches.get(host))
        return {"promised": promised, "incarnation": self._identity.incarnation}

    def list_overdue(self, seconds: float) -> tuple[HostName, ...]:
        """Return the hosts that have requested no promise for ``seconds``."""
        oldest = self._read_clock() - seconds
        with self._lock:
            return tuple(host for host, at in self._last_requests.items() if at < oldest)

    def clear_last_request(self, host: HostName) -> None:
        """Expect no further requests of a host that has another lessor or no shares."""
        with self._lock:
            self._last_requests.pop(host, None)

    def set_watch(self, host: HostName, watch: Watch | None) -> None:
        """Make no promises to a host that is being marked, or allow them again by ``None``."""
        with self._lock:
            if watch is None:
                self._watches.pop(host, None)
            else:
                self._watches[host] = watch

    def get_watch(self, host: HostName) -> Watch | None:
        """Return the watch on a marked host."""
        with self._lock:
            return self._watches.get(host)

    def close(self) -> None:
        """Stop all deductions and store the levels of the buckets for the next incarnation."""
        levels = self._local_buckets.close()
        own = self._own_row
        if own is None or self._uncertain_version is not None:
            return
        left = {str(account): level for account, level in levels.items()}
        closed = replace(own.row, standing=Standing.CLOSED, levels=left)
        self._table.commit_host(closed, own)
