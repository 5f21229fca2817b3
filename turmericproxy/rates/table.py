"""Read and write the rows of the rate ledger in the platform's table."""

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from turmericproxy.core import AccountName, HostName, Refusal
from turmericproxy.rates.leases import HostRow, decode_host_row, encode_host_row
from turmericproxy.rates.ledger import LedgerRow, decode_row, encode_row
from turmericproxy.tables import (
    AnswerLost,
    Committed,
    Condition,
    Conflict,
    HostList,
    Row,
    Transaction,
    Write,
)

TABLE = "rates"
ACCOUNT_PREFIX = "account/"
HOST_PREFIX = "host/"
ROWS_PER_PAGE = 500
# The position of the condition on the written row in each transaction.
ROW_CONDITION = 0

T = TypeVar("T")


class Platform(Protocol):
    """Define the calls to the platform that this package needs."""

    def read_row(self, table: str, key: str) -> Row | None | Refusal:
        """Return a row, or none if there is none with that key."""

    def list_rows(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Refusal:
        """Return up to ``limit`` rows with a key prefix after the key ``after``, ordered by key."""

    def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction if its conditions hold."""

    def list_hosts(self) -> HostList | Refusal:
        """Return the hosts that the platform lists."""


@dataclass(frozen=True)
class Versioned(Generic[T]):
    """Pair a row with its version in the table, ``None`` if it is not stored yet."""

    row: T
    version: int | None


Outcome = Committed | Conflict | AnswerLost | Refusal


class RateTable:
    """Convert the rows of the rate ledger between the table and their types."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def read_host(self, host: HostName) -> Versioned[HostRow] | None | Refusal:
        """Return the row of a host, or none if it has none."""
        row = self._platform.read_row(TABLE, HOST_PREFIX + host)
        if row is None or isinstance(row, Refusal):
            return row
        return Versioned(decode_host_row(row.value), row.version)

    def read_account(self, account: AccountName) -> Versioned[LedgerRow] | None | Refusal:
        """Return the split of a client account, or none if it has none."""
        row = self._platform.read_row(TABLE, ACCOUNT_PREFIX + account)
        if row is None or isinstance(row, Refusal):
            return row
        return Versioned(decode_row(row.value), row.version)

    def list_accounts(self) -> tuple[Versioned[LedgerRow], ...] | Refusal:
        """Return the splits of all client accounts."""
        rows = self._list(ACCOUNT_PREFIX)
        if isinstance(rows, Refusal):
            return rows
        return tuple(Versioned(decode_row(row.value), row.version) for row in rows)

    def list_hosts(self) -> tuple[Versioned[HostRow], ...] | Refusal:
        """Return the rows of all hosts."""
        rows = self._list(HOST_PREFIX)
        if isinstance(rows, Refusal):
            return rows
        return tuple(Versioned(decode_host_row(row.value), row.version) for row in rows)

    def commit_host(
        self, new: HostRow, old: Versioned[HostRow] | None, *guards: Versioned[HostRow]
    ) -> Outcome:
        """Write the row of a host, provided that it and the ``guards`` are unchanged."""
        key = HOST_PREFIX + new.host
        conditions = (
            Condition(TABLE, key, old.version if old else None),
            *(_require_host(guard) for guard in guards),
        )
        return self._platform.commit(
            Transaction(conditions, (Write(TABLE, key, encode_host_row(new)),))
        )

    def commit_account(
        self, new: LedgerRow, old: Versioned[LedgerRow] | None, *guards: Versioned[HostRow]
    ) -> Outcome:
        """Write the split of an account, provided that it and the ``guards`` are unchanged."""
        key = ACCOUNT_PREFIX + new.account
        conditions = (
            Condition(TABLE, key, old.version if old else None),
            *(_require_host(guard) for guard in guards),
        )
        return self._platform.commit(Transaction(conditions, (Write(TABLE, key, encode_row(new)),)))

    def _list(self, prefix: str) -> tuple[Row, ...] | Refusal:
        found: list[Row] = []
        while True:
            after = found[-1].key if found else ""
            page = self._platform.list_rows(TABLE, prefix, after, ROWS_PER_PAGE)
            if isinstance(page, Refusal):
                return page
            found.extend(page)
            if len(page) < ROWS_PER_PAGE:
                return tuple(found)


def get_host_version(committed: Committed, host: HostName) -> int:
    """Return the version that a transaction gave to a host's row."""
    return committed.get_version(TABLE, HOST_PREFIX + host)


def get_account_version(committed: Committed, account: AccountName) -> int:
    """Return the version that a transaction gave to the row of a client account."""
    return committed.get_version(TABLE, ACCOUNT_PREFIX + account)


def _require_host(guard: Versioned[HostRow]) -> Condition:
    return Condition(TABLE, HOST_PREFIX + guard.row.host, guard.version)
