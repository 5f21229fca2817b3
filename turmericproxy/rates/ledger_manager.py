"""Update the splits of the client accounts to match the configuration."""

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
# A balanced split is checked again after this multiple of the regrant time.
RECHECK_FACTOR = 3.0


@dataclass(frozen=True)
class SplitCheck:
    """Record the revision, row version and time at which a split needed no change."""

    revision: int
    version: int | None
    at: float


class LedgerManager:
    """Create, read and update the rows of the client accounts, and configure the buckets by them.

    ``wake`` requests an immediate run instead of waiting for the next one.
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
        self._unreachable_after = context.lease_seconds
        self._recheck_after = RECHECK_FACTOR * context.settings.regrant_after
        self._lock = threading.Lock()
        self._rows: dict[AccountName, Versioned[LedgerRow]] = {}
        # The row versions that writes with lost answers require; those may still take effect.
        self._uncertain_versions: dict[AccountName, int | None] = {}
        self._stale: set[AccountName] = set()
        self._split_checks: dict[AccountName, SplitCheck] = {}
        self._last_seen: dict[HostName, float] = {}
        self._had_conflict = False
        self._started_at = self._read_clock()
        self.wake: Callable[[], None] = lambda: None
        context.links.register(ROW_KIND, self._handle_row)
        context.links.register(CHANGED_KIND, self._handle_changed)

    def find_row(self, account: AccountName) -> LedgerRow | None:
        """Return the last known split of a client account."""
        with self._lock:
            known = self._rows.get(account)
        return known.row if known else None

    def fetch_from_peers(self, account: AccountName) -> LedgerRow | None:
        """Return and store the split from the first reachable host that knows it."""
        for peer in self._links.list_reachable():
            reply = self._links.call(peer.host, ROW_KIND, {"account": account})
            if isinstance(reply, dict):
                return self._store_row(Versioned(ledger.decode_row(reply["row"]), reply["version"]))
        return None

    def _store_row(self, read: Versioned[LedgerRow]) -> LedgerRow:
        account = read.row.account
        with self._lock:
            known = self._rows.get(account)
            if known is None or (known.version or 0) < (read.version or 0):
                self._rows[account] = read
            self._stale.add(account)
        return read.row

    def mark_stale(self, account: AccountName) -> None:
        """Read the split from the platform again in the next run."""
        with self._lock:
            self._stale.add(account)

    def reload(self) -> bool:
        """Read all splits again and configure the buckets; return whether that succeeded."""
        rows = self._table.list_accounts()
        if isinstance(rows, Refusal):
            return False
        for row in rows:
            self._apply_row(row)
        return True

    def run_once(self) -> bool:
        """Update the split of each client account towards its configured limit.

        Return whether a write conflicted with that of another host and should be retried soon.
        """
        own = self._host_lease_manager.get_own_row()
        if own is None or not self._local_buckets.is_open():
            return False
        self._had_conflict = False
        now = self._read_clock()
        for peer in self._links.list_reachable():
            self._last_seen[peer.host] = now
        snapshot = self._read_snapshot()
        for name, entry in snapshot.get_table(Kind.ACCOUNT).items():
            if self._is_up_to_date(AccountName(name), entry.version, now):
                continue
            account = snapshot.find_account(name)
            assert account is not None
            limit = ledger.create_limit(account.rate, account.burst, self._debit_timeout)
            self._update_split(AccountName(name), limit, entry.version, own)
        return self._had_conflict

    def _update_split(
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
        new = ledger.rebalance(changed, self._member, self._find_unreachable(known.row))
        if new == known.row:
            if not ledger.is_unbalanced(new):
                self._split_checks[account] = SplitCheck(
                    revision, known.version, self._read_clock()
                )
            return
        if self.write(new, known):
            log_decision(
                Part.RATES, "split changed", account=account, share=new.find_share(own.row.host)
            )

    def _is_up_to_date(self, account: AccountName, revision: int, now: float) -> bool:
        """Return whether a recent check applies to the present revision and row version."""
        check = self._split_checks.get(account)
        with self._lock:
            known = self._rows.get(account)
            is_stale = account in self._stale
        if check is None or known is None or is_stale:
            return False
        is_same = (check.revision, check.version) == (revision, known.version)
        return is_same and now < check.at + self._recheck_after

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
        self._apply_row(read)
        return read

    def _create(self, account: AccountName, limit: Limit, revision: int) -> None:
        hosts = self._platform.list_hosts()
        if isinstance(hosts, Refusal):
            return
        live = {Member(e.host, e.domain) for e in hosts.hosts if e.state is HostState.LIVE}
        # The platform's list is updated with a delay and may not include a reachable peer yet.
        reachable = {Member(peer.host, peer.domain) for peer in self._links.list_reachable()}
        holders = ledger.choose_holders(live | reachable | {self._member})
        row = ledger.create_split(account, limit, revision, holders)
        if self.write(row, None):
            log_decision(Part.RATES, "split created", account=account, holders=len(holders))

    def _claim(self, known: Versioned[LedgerRow], share: Share, own: Versioned[HostRow]) -> None:
        """Claim the initial level of a share; fill the bucket only after a confirmed commit."""
        new = ledger.claim(known.row, self._member.host)
        outcome = self._table.commit_account(new, known, own)
        self._had_conflict |= isinstance(outcome, Conflict)
        with self._lock:
            self._stale.add(new.account)
        if isinstance(outcome, Committed):
            version = get_account_version(outcome, new.account)
            self._apply_row(Versioned(new, version), share.unclaimed)

    def write(
        self, new: LedgerRow, old: Versioned[LedgerRow] | None, *guards: Versioned[HostRow]
    ) -> bool:
        """Write a row provided that this host's row and the ``guards`` are unchanged.

        Return whether the write is known to have taken effect.
        """
        own = self._host_lease_manager.get_own_row()
        if own is None:
            return False
        with self._lock:
            self._stale.add(new.account)
            before = self._uncertain_versions.get(new.account)
            self._uncertain_versions[new.account] = old.version if old else None
            self._lower_bucket(new)
        outcome = self._table.commit_account(new, old, own, *guards)
        self._had_conflict |= isinstance(outcome, Conflict)
        self._record_outcome(new.account, outcome, before)
        if not isinstance(outcome, Committed):
            return False
        self._apply_row(Versioned(new, get_account_version(outcome, new.account)))
        self._links.broadcast(CHANGED_KIND, {"account": new.account})
        return True

    def _record_outcome(self, account: AccountName, outcome: Outcome, before: int | None) -> None:
        """Record whether a write with an unknown outcome may still change the row."""
        if isinstance(outcome, AnswerLost):
            return
        is_decided = isinstance(outcome, Committed) or (
            isinstance(outcome, Conflict) and ROW_CONDITION in outcome.failed
        )
        with self._lock:
            if is_decided or before is None:
                self._uncertain_versions.pop(account, None)
            else:
                self._uncertain_versions[account] = before

    def _apply_row(self, read: Versioned[LedgerRow], claimed: int = 0) -> None:
        """Store a row and configure the bucket by it, unless a newer row is known.

        ``claimed`` is the initial level of a new bucket in micro-tokens.
        """
        account = read.row.account
        assert read.version is not None
        with self._lock:
            known = self._rows.get(account)
            if known and known.version is not None and read.version < known.version:
                return
            self._rows[account] = read
            is_uncertain = self._uncertain_versions.get(account, 0) == read.version
            self._configure_bucket(read.row, is_uncertain, claimed)

    def _configure_bucket(self, row: LedgerRow, can_only_lower: bool, claimed: int) -> None:
        share = row.find_share(self._member.host)
        bucket = self._local_buckets.find(row.account)
        if share is None:
            if bucket:
                self._local_buckets.configure(row.account, 0, 0)
            return
        if share.unclaimed and bucket is None:
            return
        rate, depth = share.rate, share.burst
        if can_only_lower:
            # A write that lowers the share may still take effect.
            rate = min(rate, bucket.rate) if bucket else 0
            depth = min(depth, bucket.depth) if bucket else 0
        level = claimed + self._host_lease_manager.previous_levels.pop(row.account, 0)
        self._local_buckets.configure(row.account, rate, depth, level)

    def _lower_bucket(self, new: LedgerRow) -> None:
        bucket = self._local_buckets.find(new.account)
        share = new.find_share(self._member.host)
        if bucket and share:
            rate, depth = min(bucket.rate, share.rate), min(bucket.depth, share.burst)
            self._local_buckets.configure(new.account, rate, depth)

    def _find_unreachable(self, row: LedgerRow) -> frozenset[HostName]:
        oldest = self._read_clock() - self._unreachable_after
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
        is_unknown = self.find_row(account) is None
        self.mark_stale(account)
        if is_unknown:
            # This host may have an unclaimed share, which can be spent only after it is claimed.
            self.wake()
