"""Keep the lease of this host, and promise other hosts to leave theirs alone."""

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
class GuardedHost:
    """Hold the newest incarnation that asked for a promise, and its version of the row."""

    incarnation: Incarnation
    version: int


class HostLeaseManager:
    """Write this host's row, renew its lease, and answer the hosts that it guards.

    ``reload`` reads the whole ledger anew and says whether that succeeded; no lease is taken up
    before it has.
    """

    def __init__(self, context: RateContext) -> None:
        self._table = context.table
        self._links: Links = context.links
        self._local_buckets = context.local_buckets
        self._member = context.member
        self._me = context.process
        self._regrant_after = context.settings.regrant_after
        self._read_clock = context.read_clock
        self._lock = threading.Lock()
        self._own: Versioned[HostRow] | None = None
        self._unsettled: int | None = None
        self._ready_at = 0.0
        self._wait = 0.0
        self._watches: dict[HostName, Watch] = {}
        self._guarded: dict[HostName, GuardedHost] = {}
        self._heard_at: dict[HostName, float] = {}
        self.levels: dict[str, int] = {}
        self.reload: Callable[[], bool] = lambda: True
        context.links.register(PROMISE_KIND, self._handle_promise)

    @property
    def renewal_interval(self) -> float:
        """Return the seconds between two renewals of the lease."""
        return self._regrant_after * leases.LEASE_SHARE / RENEWALS_PER_LEASE

    def read_own(self) -> Versioned[HostRow] | None:
        """Return this host's row once it has been taken over, for use as a condition."""
        with self._lock:
            return self._own

    def run_once(self) -> None:
        """Take the host's row over, or renew the lease."""
        if self._own is None:
            self._take_over()
            return
        now = self._read_clock()
        if now < self._ready_at:
            return
        if not self._renew_by_lessor(self._own):
            self._renew_by_platform()
        self._choose_lessor()

    def _take_over(self) -> None:
        old = self._table.read_host(self._member.host)
        if isinstance(old, Refusal):
            return
        if old and old.row.incarnation == self._me.incarnation:
            # The answer to the write was lost, but the write took effect.
            self._begin(old)
            return
        row = old.row if old else None
        new = leases.take_over(row, self._member, self._me.incarnation, self._regrant_after)
        self.levels = dict(row.levels or {}) if row else {}
        self._wait = leases.measure_takeover_wait(row)
        outcome = self._table.commit_host(new, old)
        if isinstance(outcome, Committed):
            self._begin(Versioned(new, get_host_version(outcome, new.host)))

    def _begin(self, own: Versioned[HostRow]) -> None:
        with self._lock:
            self._own = own
        if own.row.lessor:
            # From now on the lessor promises nothing to the earlier incarnation.
            self._ask_promise(own.row.lessor, own.version)
        self._ready_at = self._read_clock() + self._wait
        log_event(Part.RATES, "host row taken over", wait=self._wait, levels=len(self.levels))

    def _renew_by_lessor(self, own: Versioned[HostRow]) -> bool:
        lease = self._local_buckets.read_lease()
        asked_at = self._read_clock()
        if self._unsettled is not None or not leases.is_held(lease, asked_at):
            return False
        lessor = own.row.lessor
        if lessor is None or not self._ask_promise(lessor, own.version):
            return False
        self._local_buckets.renew_lease(
            lambda old, now: leases.renew_by_lessor(old, asked_at, now, self._regrant_after)
        )
        return True

    def _ask_promise(self, lessor: Lessor, version: int | None) -> bool:
        body = {"host": self._me.host, "incarnation": self._me.incarnation, "version": version}
        reply = self._links.call(lessor.host, PROMISE_KIND, body, self.renewal_interval)
        if not isinstance(reply, dict):
            return False
        return bool(reply["promised"]) and reply["incarnation"] == lessor.incarnation

    def _renew_by_platform(self) -> None:
        asked_at = self._read_clock()
        read = self._table.read_host(self._member.host)
        own = self._own
        if isinstance(read, Refusal):
            self._renew_alone(asked_at)
            return
        if read is None or own is None or read.row.incarnation != self._me.incarnation:
            self._local_buckets.set_lease(Lease())
            log_event(Part.RATES, "another incarnation holds the host row")
            return
        if read.version == self._unsettled or read.row.standing is not Standing.OPEN:
            self._reopen(read)
            return
        self._unsettled = None
        with self._lock:
            self._own = read
        if not self._local_buckets.is_open() and not self.reload():
            return
        # What is left belongs to shares that have passed on, and must not come back with others.
        self.levels = {}
        self._local_buckets.renew_lease(
            lambda old, now: leases.renew_by_platform(
                old, read.row, self._me.incarnation, asked_at, self._regrant_after
            )
        )

    def _renew_alone(self, asked_at: float) -> None:
        """Extend a running lease while nobody else may take the shares over."""
        own = self._own
        if own and own.row.lessor is None and self._unsettled is None:
            self._local_buckets.renew_lease(
                lambda old, now: leases.renew_by_lessor(old, asked_at, now, self._regrant_after)
            )

    def _reopen(self, read: Versioned[HostRow]) -> None:
        """Write the row again: it was marked, or an earlier write may yet take effect."""
        if read.row.standing is not Standing.OPEN:
            self._local_buckets.set_lease(Lease())
            log_event(Part.RATES, "host row was marked as lost", marked_by=read.row.marked_by)
        self._write_own(leases.reopen(read.row, self._me.incarnation), read)

    def _write_own(self, new: HostRow, old: Versioned[HostRow]) -> None:
        self._unsettled = old.version
        outcome = self._table.commit_host(new, old)
        if isinstance(outcome, AnswerLost):
            return
        self._unsettled = None
        if isinstance(outcome, Committed):
            with self._lock:
                self._own = Versioned(new, get_host_version(outcome, new.host))

    def _choose_lessor(self) -> None:
        own = self._own
        if own is None or self._unsettled is not None:
            return
        peers = [p for p in self._links.list_reachable() if p.domain == self._member.domain]
        present = {Lessor(peer.host, peer.incarnation) for peer in peers}
        if not present or own.row.lessor in present:
            return
        chosen = min(
            present, key=lambda lessor: compute_rendezvous_weight(self._member.host, lessor.host)
        )
        new = replace(own.row, lessor=chosen)
        if self._local_buckets.is_open():
            self._write_own(new, own)

    def _handle_promise(self, _sender: HostName, body: Any) -> dict[str, Any]:
        host, incarnation = HostName(body["host"]), Incarnation(body["incarnation"])
        with self._lock:
            known = self._guarded.get(host)
            if known is None or body["version"] > known.version:
                known = self._guarded[host] = GuardedHost(incarnation, body["version"])
            self._heard_at[host] = self._read_clock()
            is_current = known.incarnation == incarnation
            promised = is_current and leases.promise(self._watches.get(host))
        return {"promised": promised, "incarnation": self._me.incarnation}

    def list_unheard(self, seconds: float) -> tuple[HostName, ...]:
        """Return the guarded hosts that have not asked for a promise for some seconds."""
        oldest = self._read_clock() - seconds
        with self._lock:
            return tuple(host for host, at in self._heard_at.items() if at < oldest)

    def forget_unheard(self, host: HostName) -> None:
        """Expect no more from a host that has another lessor or has passed its shares on."""
        with self._lock:
            self._heard_at.pop(host, None)

    def set_watch(self, host: HostName, watch: Watch | None) -> None:
        """Stop promising anything to a host that is to be marked, or start again."""
        with self._lock:
            if watch is None:
                self._watches.pop(host, None)
            else:
                self._watches[host] = watch

    def get_watch(self, host: HostName) -> Watch | None:
        """Return since when a host has been seen marked."""
        with self._lock:
            return self._watches.get(host)

    def close(self) -> None:
        """End all spending and leave the levels of the buckets to the next incarnation."""
        levels = self._local_buckets.close()
        own = self._own
        if own is None or self._unsettled is not None:
            return
        left = {str(account): level for account, level in levels.items()}
        closed = replace(own.row, standing=Standing.CLOSED, levels=left)
        self._table.commit_host(closed, own)
