"""Keep the splits of the client accounts in line with the configuration."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration import Kind
from turmericproxy.core import AccountName, HostName, Refusal
from turmericproxy.logs import Part, log_decision
from turmericproxy.rates import ledger
from turmericproxy.rates.context import RateContext
from turmericproxy.rates.host_lease_manager import HostLeaseManager
from turmericproxy.rates.leases import HostRow
from turmericproxy.rates.ledger import LedgerRow, Limit, Member, Share
from turmericproxy.rates.table import (
    ROW_CONDITION,
    Outcome,
    Versioned,
    get_account_version,
)
from turmericproxy.tables import AnswerLost, Committed, Conflict, HostState

ROW_KIND = "rates.row"
CHANGED_KIND = "rates.changed"
LOOKS_APART = 3.0


@dataclass(frozen=True)
class Done:
    """Remember at which revision and version a split needed no change, and when."""

    revision: int
    version: int | None
    at: float


class LedgerManager:
    """Create, read and adjust the rows of the client accounts, and size the buckets by them.

    ``look_soon`` asks for a step without waiting for the next one that is due.
    """

    def __init__(self, context: RateContext, host_lease_manager: HostLeaseManager) -> None:
        self._platform = context.platform
        self._table = context.table
        self._links = context.links
        self._local_buckets = context.local_buckets
        self._host_lease_manager = host_lease_manager
        self._member = context.member
        self._read_snapshot = context.read_snapshot
        self._read_clock = context.read_clock
        self._debit_timeout = context.settings.debit_timeout
        self._settle_after = context.lease
        self._look_again_after = LOOKS_APART * context.settings.regrant_after
        self._lock = threading.Lock()
        self._rows: dict[AccountName, Versioned[LedgerRow]] = {}
        self._unsettled: dict[AccountName, int | None] = {}
        self._stale: set[AccountName] = set()
        self._done: dict[AccountName, Done] = {}
        self._last_seen: dict[HostName, float] = {}
        self._is_overtaken = False
        self._started_at = self._read_clock()
        self.look_soon: Callable[[], None] = lambda: None
        context.links.register(ROW_KIND, self._handle_row)
        context.links.register(CHANGED_KIND, self._handle_changed)

    def find_row(self, account: AccountName) -> LedgerRow | None:
        """Return the split of a client account as last seen, asking peers if it is unknown."""
        with self._lock:
            known = self._rows.get(account)
        return known.row if known else None

    def fetch_from_peers(self, account: AccountName) -> LedgerRow | None:
        """Return the split that the first reachable host knows, and remember it."""
        for peer in self._links.list_reachable():
            reply = self._links.call(peer.host, ROW_KIND, {"account": account})
            if isinstance(reply, dict):
                return self._remember(Versioned(ledger.decode_row(reply["row"]), reply["version"]))
        return None

    def _remember(self, read: Versioned[LedgerRow]) -> LedgerRow:
        account = read.row.account
        with self._lock:
            known = self._rows.get(account)
            if known is None or (known.version or 0) < (read.version or 0):
                self._rows[account] = read
            self._stale.add(account)
        return read.row

    def mark_stale(self, account: AccountName) -> None:
        """Read the split again at the next step."""
        with self._lock:
            self._stale.add(account)

    def reload(self) -> bool:
        """Read all splits anew and size the buckets by them; return whether that succeeded."""
        rows = self._table.list_accounts()
        if isinstance(rows, Refusal):
            return False
        for row in rows:
            self._adopt(row)
        return True

    def run_once(self) -> bool:
        """Bring the split of each client account closer to what the configuration asks for.

        Return whether another host was faster with a change, so that a further step is due soon.
        """
        own = self._host_lease_manager.read_own()
        if own is None or not self._local_buckets.is_open():
            return False
        self._is_overtaken = False
        now = self._read_clock()
        for peer in self._links.list_reachable():
            self._last_seen[peer.host] = now
        snapshot = self._read_snapshot()
        for name, entry in snapshot.get_table(Kind.ACCOUNT).items():
            if self._is_done(AccountName(name), entry.version, now):
                continue
            account = snapshot.find_account(name)
            assert account is not None
            limit = ledger.create_limit(account.rate, account.burst, self._debit_timeout)
            self._keep_account(AccountName(name), limit, entry.version, own)
        return self._is_overtaken

    def _keep_account(
        self, account: AccountName, limit: Limit, revision: int, own: Versioned[HostRow]
    ) -> None:
        known = self._refresh(account)
        if known is None:
            self._create(account, limit, revision)
            return
        if isinstance(known, Refusal):
            return
        share = known.row.find_share(self._member.host)
        if share and share.unclaimed:
            self._claim(known, share, own)
            return
        changed = ledger.change_limit(known.row, limit, revision)
        new = ledger.adjust(changed, self._member, self._find_silent(known.row))
        if new == known.row:
            if not ledger.is_unbalanced(new):
                self._done[account] = Done(revision, known.version, self._read_clock())
            return
        if self.write(new, known):
            log_decision(
                Part.RATES, "split changed", account=account, share=new.find_share(own.row.host)
            )

    def _is_done(self, account: AccountName, revision: int, now: float) -> bool:
        """Return whether nothing has changed since the last look, which was not long ago."""
        done = self._done.get(account)
        with self._lock:
            known = self._rows.get(account)
            is_stale = account in self._stale
        if done is None or known is None or is_stale:
            return False
        is_same = (done.revision, done.version) == (revision, known.version)
        return is_same and now < done.at + self._look_again_after

    def _refresh(self, account: AccountName) -> Versioned[LedgerRow] | None | Refusal:
        with self._lock:
            known = self._rows.get(account)
            is_stale = account in self._stale
        if known and not is_stale and not ledger.is_unbalanced(known.row):
            return known
        read = self._table.read_account(account)
        if isinstance(read, Refusal) or read is None:
            return read
        with self._lock:
            self._stale.discard(account)
        self._adopt(read)
        return read

    def _create(self, account: AccountName, limit: Limit, revision: int) -> None:
        hosts = self._platform.list_hosts()
        if isinstance(hosts, Refusal):
            return
        live = {Member(e.host, e.domain) for e in hosts.hosts if e.state is HostState.LIVE}
        # The platform's list is late: a peer that answers may not be in it yet.
        reachable = {Member(peer.host, peer.domain) for peer in self._links.list_reachable()}
        holders = ledger.choose_holders(live | reachable | {self._member})
        row = ledger.create_split(account, limit, revision, holders)
        if self.write(row, None):
            log_decision(Part.RATES, "split created", account=account, holders=len(holders))

    def _claim(self, known: Versioned[LedgerRow], share: Share, own: Versioned[HostRow]) -> None:
        """Fill a bucket that nobody has spent from; only a commit known as ours fills it."""
        new = ledger.claim(known.row, self._member.host)
        outcome = self._table.commit_account(new, known, own)
        self._is_overtaken |= isinstance(outcome, Conflict)
        with self._lock:
            self._stale.add(new.account)
        if isinstance(outcome, Committed):
            version = get_account_version(outcome, new.account)
            self._adopt(Versioned(new, version), share.unclaimed)

    def write(
        self, new: LedgerRow, old: Versioned[LedgerRow] | None, *guards: Versioned[HostRow]
    ) -> bool:
        """Write a row under the condition that this host's row and ``guards`` are unchanged."""
        own = self._host_lease_manager.read_own()
        if own is None:
            return False
        with self._lock:
            self._stale.add(new.account)
            before = self._unsettled.get(new.account)
            self._unsettled[new.account] = old.version if old else None
            self._lower_bucket(new)
        outcome = self._table.commit_account(new, old, own, *guards)
        self._is_overtaken |= isinstance(outcome, Conflict)
        self._settle(new.account, outcome, before)
        if not isinstance(outcome, Committed):
            return False
        self._adopt(Versioned(new, get_account_version(outcome, new.account)))
        self._links.broadcast(CHANGED_KIND, {"account": new.account})
        return True

    def _settle(self, account: AccountName, outcome: Outcome, before: int | None) -> None:
        """Note whether an earlier write may yet change the row."""
        if isinstance(outcome, AnswerLost):
            return
        is_passed = isinstance(outcome, Committed) or (
            isinstance(outcome, Conflict) and ROW_CONDITION in outcome.failed
        )
        with self._lock:
            if is_passed or before is None:
                self._unsettled.pop(account, None)
            else:
                self._unsettled[account] = before

    def _adopt(self, read: Versioned[LedgerRow], claimed: int = 0) -> None:
        """Size the bucket by a row, unless a newer row has been seen.

        ``claimed`` are micro-tokens that a new bucket starts with.
        """
        account = read.row.account
        assert read.version is not None
        with self._lock:
            known = self._rows.get(account)
            if known and known.version is not None and read.version < known.version:
                return
            self._rows[account] = read
            is_unsettled = self._unsettled.get(account, 0) == read.version
            self._size_bucket(read.row, is_unsettled, claimed)

    def _size_bucket(self, row: LedgerRow, only_lower: bool, claimed: int) -> None:
        share = row.find_share(self._member.host)
        bucket = self._local_buckets.find(row.account)
        if share is None:
            if bucket:
                self._local_buckets.configure(row.account, 0, 0)
            return
        if share.unclaimed and bucket is None:
            return
        rate, depth = share.rate, share.burst
        if only_lower:
            # A write that lowers the share may yet take effect.
            rate = min(rate, bucket.rate) if bucket else 0
            depth = min(depth, bucket.depth) if bucket else 0
        level = claimed + self._host_lease_manager.levels.pop(row.account, 0)
        self._local_buckets.configure(row.account, rate, depth, level)

    def _lower_bucket(self, new: LedgerRow) -> None:
        bucket = self._local_buckets.find(new.account)
        share = new.find_share(self._member.host)
        if bucket and share:
            rate, depth = min(bucket.rate, share.rate), min(bucket.depth, share.burst)
            self._local_buckets.configure(new.account, rate, depth)

    def _find_silent(self, row: LedgerRow) -> frozenset[HostName]:
        oldest = self._read_clock() - self._settle_after
        return frozenset(
            share.host
            for share in row.shares
            if share.host != self._member.host
            and self._last_seen.get(share.host, self._started_at) < oldest
        )

    def _handle_row(self, _sender: HostName, body: Any) -> Any:
        with self._lock:
            known = self._rows.get(AccountName(body["account"]))
        if known is None:
            return None
        return {"row": ledger.encode_row(known.row), "version": known.version}

    def _handle_changed(self, _sender: HostName, body: Any) -> None:
        account = AccountName(body["account"])
        is_new = self.find_row(account) is None
        self.mark_stale(account)
        if is_new:
            # A part of the new split may wait here to be claimed; until then nothing can be spent.
            self.look_soon()
