"""Tables and objects of the platform stand-in, held in memory."""

import threading
from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class StoredRow:
    """Row of a table; its version is unique across all tables."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True)
class TransactionResult:
    """Versions that were written, or the indexes of the conditions that failed."""

    versions: dict[str, int] = field(default_factory=dict)
    failed: tuple[int, ...] = ()


@dataclass
class _Table:
    rows: dict[str, StoredRow] = field(default_factory=dict)
    keys: list[str] = field(default_factory=list)

    def put_row(self, row: StoredRow) -> None:
        if row.key not in self.rows:
            insort(self.keys, row.key)
        self.rows[row.key] = row

    def delete_row(self, key: str) -> None:
        if self.rows.pop(key, None):
            del self.keys[bisect_left(self.keys, key)]


class TableState:
    """Tables and objects; transactions are atomic.

    One counter numbers all writes, so that no version is used twice for a key, even after the
    row was deleted.
    """

    def __init__(self) -> None:
        self._tables: dict[str, _Table] = {}
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._lock = threading.Lock()

    def read_row(self, table: str, key: str) -> StoredRow | None:
        """Return the row, or ``None`` if there is none."""
        with self._lock:
            found = self._tables.get(table)
            return found.rows.get(key) if found else None

    def list_rows(self, table: str, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return up to ``limit`` rows with a key prefix in order of key, starting after a key."""
        with self._lock:
            found = self._tables.get(table, _Table())
            start = max(bisect_left(found.keys, prefix), bisect_right(found.keys, after))
            page = found.keys[start : start + limit]
            return [found.rows[key] for key in page if key.startswith(prefix)]

    def apply_transaction(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]
    ) -> TransactionResult:
        """Write all rows if every condition holds, else none."""
        with self._lock:
            failed = tuple(
                index
                for index, condition in enumerate(conditions)
                if self._get_version(condition) != condition.get("version")
            )
            if failed:
                return TransactionResult(failed=failed)
            return TransactionResult({_name_row(w): self._apply_write(w) for w in writes})

    def put_object(self, name: str, content: bytes) -> None:
        """Store an object under its name."""
        with self._lock:
            self._objects[name] = content

    def get_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""
        with self._lock:
            return self._objects.get(name)

    def delete_object(self, name: str) -> None:
        """Remove an object if it is there."""
        with self._lock:
            self._objects.pop(name, None)

    def _get_version(self, condition: dict[str, Any]) -> int | None:
        table = self._tables.get(condition["table"])
        row = table.rows.get(condition["key"]) if table else None
        return row.version if row else None

    def _apply_write(self, write: dict[str, Any]) -> int:
        self._version += 1
        table = self._tables.setdefault(write["table"], _Table())
        if write.get("delete"):
            table.delete_row(write["key"])
        else:
            table.put_row(StoredRow(write["key"], write["value"], self._version))
        return self._version


def _name_row(write: dict[str, Any]) -> str:
    return f"{write['table']}/{write['key']}"
