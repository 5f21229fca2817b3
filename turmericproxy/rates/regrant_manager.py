"""Regrant the shares of lost hosts to this host."""

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

# The time between two reads of the platform's host list, as a multiple of the regrant time. The
# second value applies while a promise request of another host is overdue.
POLL_INTERVAL_FACTOR = 3.0
URGENT_POLL_INTERVAL_FACTOR = 0.05
# A promise request is overdue after this multiple of the regrant time.
OVERDUE_FACTOR = 0.25


class RegrantManager:
    """Mark lost hosts, wait for the regrant time, and add their shares to those of this host.

    The tokens in the buckets of a lost host are not transferred.
    """

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
        self._identity = context.identity
        self._regrant_after = context.settings.regrant_after
        self._read_clock = context.read_clock
        self._host_lease_manager = host_lease_manager
        self._ledger_manager = ledger_manager
        self._polled_at = 0.0
        self._watched_hosts: set[HostName] = set()
        self._absent_since: dict[HostName, float] = {}

    def run_once(self) -> None:
        """Find lost hosts, and continue with those that were found earlier."""
        if not self._local_buckets.is_open() or not self._is_due():
            return
        hosts = self._platform.list_hosts()
        if isinstance(hosts, Refusal) or not _is_listed(hosts, self._member.host):
            return
        self._polled_at = self._read_clock()
        reachable = {peer.host for peer in self._links.list_reachable()}
        for host in set(self._host_lease_manager.list_overdue(self._regrant_after)) & reachable:
            # The host is running and has chosen another lessor.
            self._host_lease_manager.clear_last_request(host)
        lost = _find_lost(hosts, self._member.domain) - reachable
        withdrawn = self._find_withdrawn(hosts) - reachable
        active = frozenset(reachable | _find_live(hosts))
        for host in sorted((lost | withdrawn | self._watched_hosts) - {self._member.host}):
            self._process_host(host, host in lost | withdrawn, host in withdrawn, active)

    def _is_due(self) -> bool:
        """Return whether to read the list of hosts, earlier if a promise request is overdue."""
        if self._watched_hosts:
            return True
        overdue = self._host_lease_manager.list_overdue(OVERDUE_FACTOR * self._regrant_after)
        factor = URGENT_POLL_INTERVAL_FACTOR if overdue else POLL_INTERVAL_FACTOR
        return self._read_clock() >= self._polled_at + factor * self._regrant_after

    def _find_withdrawn(self, hosts: HostList) -> set[HostName]:
        """Return the hosts with a row that were not on the platform's list for the regrant time.

        Only the first live host by name finds any.
        """
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

    def _process_host(
        self, host: HostName, is_lost: bool, is_withdrawn: bool, active: frozenset[HostName]
    ) -> None:
        read = self._table.read_host(host)
        if read is None or isinstance(read, Refusal):
            return
        watch = self._host_lease_manager.get_watch(host)
        if read.row.standing is Standing.LOST and read.row.marked_by == self._member.host:
            self._continue_regrant(read, watch)
        elif watch and read.version != watch.version and read.row.standing is Standing.OPEN:
            # The host has reopened its row, so a mark sent earlier can no longer take effect.
            self._stop_watching(host)
        elif (watch or is_lost) and leases.may_mark(read.row, self._identity, is_withdrawn, active):
            self._mark(read)
        elif watch and read.row.standing is Standing.RETIRED:
            self._stop_watching(host)

    def _mark(self, read: Versioned[HostRow]) -> None:
        host = read.row.host
        assert read.version is not None
        self._watched_hosts.add(host)
        # No promise may follow, even if the answer to the write is lost.
        self._host_lease_manager.set_watch(host, Watch(read.version, self._read_clock()))
        marked = leases.mark_lost(read.row, self._member.host)
        outcome = self._table.commit_host(marked, read)
        if isinstance(outcome, Committed):
            version = get_host_version(outcome, host)
            self._host_lease_manager.set_watch(host, Watch(version, self._read_clock()))
            log_decision(Part.RATES, "lost host marked", host_lost=host)
        elif not isinstance(outcome, AnswerLost):
            log_event(Part.RATES, "marking a lost host failed", level=logging.WARNING, peer=host)

    def _continue_regrant(self, read: Versioned[HostRow], watch: Watch | None) -> None:
        host = read.row.host
        assert read.version is not None
        if watch is None or watch.version != read.version:
            self._watched_hosts.add(host)
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
        """Regrant the shares of a lost host; return whether it held none any more."""
        rows = self._table.list_accounts()
        if isinstance(rows, Refusal):
            return False
        held = [row for row in rows if row.row.find_share(lost.row.host)]
        for row in held:
            new = regrant(row.row, lost.row.host, self._member)
            is_written = self._ledger_manager.write(new, row, lost)
            log_decision(
                Part.RATES,
                "share of a lost host granted again",
                account=row.row.account,
                host_lost=lost.row.host,
                done=is_written,
            )
        return not held

    def _stop_watching(self, host: HostName) -> None:
        self._watched_hosts.discard(host)
        self._host_lease_manager.clear_last_request(host)
        self._host_lease_manager.set_watch(host, None)


def _is_listed(hosts: HostList, host: HostName) -> bool:
    return any(e.host == host and e.state is not HostState.GONE for e in hosts.hosts)


def _find_live(hosts: HostList) -> set[HostName]:
    return {e.host for e in hosts.hosts if e.state is HostState.LIVE}


def _find_lost(hosts: HostList, domain: DomainName) -> set[HostName]:
    return {e.host for e in hosts.hosts if e.domain == domain and e.state is HostState.GONE}
