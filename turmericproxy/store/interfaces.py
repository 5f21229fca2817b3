"""Say what the host needs of a table store."""

from dataclasses import dataclass
from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Row, Transaction


@dataclass(frozen=True, slots=True)
class TableState:
    """Hold all rows of a table as of one version; ``store_clock`` is the store's, in seconds."""

    rows: tuple[Row, ...]
    version: int
    store_clock: float


@dataclass(frozen=True, slots=True)
class ChangedRow:
    """Hold a row that was written, or that a key was deleted."""

    row: Row
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed in a table up to a version, in order."""

    rows: tuple[ChangedRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Say that the store no longer knows what changed since a version."""


class TableStore(Protocol):
    """Read, follow and change tables; the values of rows are bytes."""

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table."""

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return what changed since a version, waiting some seconds for the first change."""

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction."""
