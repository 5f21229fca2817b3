"""Pass the shares of lost hosts on to this host."""

import logging

from turmericproxy.core import DomainName, HostName, Refusal
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.rates import leases
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.host_lease_manager import HostLeaseManager
from turmericproxy.rates.leases import HostRow, Standing, Watch
from turmericproxy.rates.ledger import regrant
from turmericproxy.rates.ledger_manager import LedgerManager
from turmericproxy.rates.table import Versioned, get_host_version
from turmericproxy.tables import AnswerLost, Committed, HostList, HostState

POLLS_APART = 3.0
URGENT_POLLS_APART = 0.05
UNHEARD_SHARE = 0.25


class RegrantManager:
    """Mark hosts that the platform lists as gone, wait, and take their shares over, empty."""

    def __init__(
        self,
        context: RateContext,
        host_lease_manager: HostLeaseManager,
        ledger_manager: LedgerManager,
    ) -> None:
        self._platform = context.platform
        self._table = context.table
        self._links = context.links
        self._local_buckets = context.local_buckets
        self._member = context.member
        self._me = context.process
        self._regrant_after = context.settings.regrant_after
        self._read_clock = context.read_clock
        self._host_lease_manager = host_lease_manager
        self._ledger_manager = ledger_manager
        self._polled_at = 0.0
        self._watched: set[HostName] = set()
        self._absent_since: dict[HostName, float] = {}

    def run_once(self) -> None:
        """Look for lost hosts and go on with those found earlier."""
        if not self._local_buckets.is_open() or not self._is_due():
            return
        hosts = self._platform.list_hosts()
        if isinstance(hosts, Refusal) or not _lists(hosts, self._member.host):
            return
        self._polled_at = self._read_clock()
        reachable = {peer.host for peer in self._links.list_reachable()}
        for host in set(self._host_lease_manager.list_unheard(self._regrant_after)) & reachable:
            # It runs and has chosen another lessor.
            self._host_lease_manager.forget_unheard(host)
        lost = _find_lost(hosts, self._member.domain) - reachable
        withdrawn = self._find_withdrawn(hosts) - reachable
        present = frozenset(reachable | _find_live(hosts))
        for host in sorted((lost | withdrawn | self._watched) - {self._member.host}):
            self._handle_host(host, host in lost | withdrawn, host in withdrawn, present)

    def _is_due(self) -> bool:
        """Return whether to read the list of hosts: soon for a guarded host that is silent."""
        if self._watched:
            return True
        unheard = self._host_lease_manager.list_unheard(UNHEARD_SHARE * self._regrant_after)
        apart = URGENT_POLLS_APART if unheard else POLLS_APART
        return self._read_clock() >= self._polled_at + apart * self._regrant_after

    def _find_withdrawn(self, hosts: HostList) -> set[HostName]:
        """Return the hosts with a row that the platform has not listed for the regrant time."""
        listed = {entry.host for entry in hosts.hosts}
        first = min((e.host for e in hosts.hosts if e.state is HostState.LIVE), default=None)
        if first != self._member.host:
            return set()
        rows = self._table.list_hosts()
        if isinstance(rows, Refusal):
            return set()
        now = self._read_clock()
        absent = {
            r.row.host
            for r in rows
            if r.row.host not in listed and r.row.standing is not Standing.RETIRED
        }
        self._absent_since = {host: self._absent_since.get(host, now) for host in absent}
        return {h for h, since in self._absent_since.items() if now >= since + self._regrant_after}

    def _handle_host(
        self, host: HostName, is_lost: bool, is_withdrawn: bool, present: frozenset[HostName]
    ) -> None:
        read = self._table.read_host(host)
        if read is None or isinstance(read, Refusal):
            return
        watch = self._host_lease_manager.get_watch(host)
        if read.row.standing is Standing.LOST and read.row.marked_by == self._member.host:
            self._continue(read, watch)
        elif watch and read.version != watch.version and read.row.standing is Standing.OPEN:
            # The host is back, and what this host sent can no longer take effect.
            self._forget(host)
        elif (watch or is_lost) and leases.may_mark(read.row, self._me, is_withdrawn, present):
            self._mark(read)
        elif watch and read.row.standing is Standing.RETIRED:
            self._forget(host)

    def _mark(self, read: Versioned[HostRow]) -> None:
        host = read.row.host
        assert read.version is not None
        self._watched.add(host)
        # No promise after this line, not even if the answer to the write is lost.
        self._host_lease_manager.set_watch(host, Watch(read.version, self._read_clock()))
        marked = leases.mark_lost(read.row, self._member.host)
        outcome = self._table.commit_host(marked, read)
        if isinstance(outcome, Committed):
            version = get_host_version(outcome, host)
            self._host_lease_manager.set_watch(host, Watch(version, self._read_clock()))
            log_decision(Part.RATES, "lost host marked", host_lost=host)
        elif not isinstance(outcome, AnswerLost):
            log_event(Part.RATES, "marking a lost host failed", level=logging.WARNING, peer=host)

    def _continue(self, read: Versioned[HostRow], watch: Watch | None) -> None:
        host = read.row.host
        assert read.version is not None
        if watch is None or watch.version != read.version:
            self._watched.add(host)
            self._host_lease_manager.set_watch(host, Watch(read.version, self._read_clock()))
            return
        now = self._read_clock()
        if not leases.may_regrant(
            read.row, read.version, watch, self._member.host, now, self._regrant_after
        ):
            return
        if self._regrant_shares(read):
            self._table.commit_host(leases.retire(read.row), read)

    def _regrant_shares(self, lost: Versioned[HostRow]) -> bool:
        """Return whether the lost host holds no share any more."""
        rows = self._table.list_accounts()
        if isinstance(rows, Refusal):
            return False
        held = [row for row in rows if row.row.find_share(lost.row.host)]
        for row in held:
            new = regrant(row.row, lost.row.host, self._member)
            is_done = self._ledger_manager.write(new, row, lost)
            log_decision(
                Part.RATES,
                "share of a lost host granted again",
                account=row.row.account,
                host_lost=lost.row.host,
                done=is_done,
            )
        return not held

    def _forget(self, host: HostName) -> None:
        self._watched.discard(host)
        self._host_lease_manager.forget_unheard(host)
        self._host_lease_manager.set_watch(host, None)


def _lists(hosts: HostList, host: HostName) -> bool:
    return any(e.host == host and e.state is not HostState.GONE for e in hosts.hosts)


def _find_live(hosts: HostList) -> set[HostName]:
    return {e.host for e in hosts.hosts if e.state is HostState.LIVE}


def _find_lost(hosts: HostList, domain: DomainName) -> set[HostName]:
    return {e.host for e in hosts.hosts if e.domain == domain and e.state is HostState.GONE}
