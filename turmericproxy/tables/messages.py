"""Define the data types of the platform's protocol."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from turmericproxy.core import DomainName, HostName, create_id


@dataclass(frozen=True)
class Row:
    """Represent a row of a table; versions of a key are never reused."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True)
class Condition:
    """Require that a row has this version, or with ``None`` that it doesn't exist."""

    table: str
    key: str
    version: int | None


@dataclass(frozen=True)
class Write:
    """Set the value of a row, or delete the row."""

    table: str
    key: str
    value: Any = None
    delete: bool = False


@dataclass(frozen=True)
class Transaction:
    """Apply all writes if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    id: str = field(default_factory=create_id)

    def to_json(self) -> dict[str, Any]:
        """Return the transaction as the JSON object that the platform expects."""
        return {
            "id": self.id,
            "conditions": [
                {"table": c.table, "key": c.key, "version": c.version} for c in self.conditions
            ],
            "writes": [_encode_write(write) for write in self.writes],
        }


def _encode_write(write: Write) -> dict[str, Any]:
    encoded: dict[str, Any] = {"table": write.table, "key": write.key}
    if write.delete:
        return {**encoded, "delete": True}
    return {**encoded, "value": write.value}


@dataclass(frozen=True)
class Committed:
    """Report a committed transaction with the new row versions by ``table/key``.

    ``era`` counts the times that the store was restored from an older copy, if it tells.
    """

    versions: dict[str, int]
    era: int = 0

    def get_version(self, table: str, key: str) -> int:
        """Return the new version of a written row."""
        return self.versions[f"{table}/{key}"]


@dataclass(frozen=True)
class Conflict:
    """Report the indexes of the conditions that failed; nothing was written."""

    failed: tuple[int, ...]


@dataclass(frozen=True)
class AnswerLost:
    """Report a missing answer; the write may have taken effect or may still do so."""

    reason: str


class HostState(Enum):
    """Classify a host's state as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class HostEntry:
    """Represent a host in the platform's list; ``gone_for`` is in seconds.

    ``callers`` and ``peers`` are the addresses of its listeners.
    """

    host: HostName
    domain: DomainName
    callers: str
    peers: str
    state: HostState
    gone_for: float


@dataclass(frozen=True)
class HostList:
    """List the hosts as of ``as_of``, in seconds of the platform's wall clock."""

    hosts: tuple[HostEntry, ...]
    as_of: float
