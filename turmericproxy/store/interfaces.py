"""Define the interface of a table store, and the values that it returns."""

from dataclasses import dataclass
from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Row, Transaction


@dataclass(frozen=True, slots=True)
class TableState:
    """Hold all rows of a table at one version; ``store_clock`` is the store's clock in seconds.

    ``era`` counts the times that the store was restored from an older copy. Versions of different
    eras can't be compared.
    """

    rows: tuple[Row, ...]
    version: int
    store_clock: float
    era: int = 0


@dataclass(frozen=True, slots=True)
class ChangedRow:
    """Hold a row that was written, or the key of one that was deleted."""

    row: Row
    is_deleted: bool


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the changes of a table up to a version of an era, in order."""

    rows: tuple[ChangedRow, ...]
    version: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Report that the store doesn't have the changes since a version, in its present era."""

    era: int = 0


class TableStore(Protocol):
    """Read, follow and change tables; the values of rows are bytes."""

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table."""

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return the changes since a version, waiting up to ``seconds`` for the first one."""

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction."""
