"""Define what is exchanged with the platform."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from turmericproxy.core import DomainName, HostName, create_id


@dataclass(frozen=True)
class Row:
    """Hold one row of a table; a version is never used twice for a key."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True)
class Condition:
    """Require a version of a row; ``None`` requires that there is no such row."""

    table: str
    key: str
    version: int | None


@dataclass(frozen=True)
class Write:
    """Put a value into a row, or delete the row."""

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
        """Return the transaction in the form of the protocol."""
        return {
            "id": self.id,
            "conditions": [
                {"table": c.table, "key": c.key, "version": c.version} for c in self.conditions
            ],
            "writes": [_describe_write(write) for write in self.writes],
        }


def _describe_write(write: Write) -> dict[str, Any]:
    described: dict[str, Any] = {"table": write.table, "key": write.key}
    if write.delete:
        return {**described, "delete": True}
    return {**described, "value": write.value}


@dataclass(frozen=True)
class Committed:
    """Hold the new versions by ``table/key``."""

    versions: dict[str, int]

    def get_version(self, table: str, key: str) -> int:
        """Return the version that a row was written with."""
        return self.versions[f"{table}/{key}"]


@dataclass(frozen=True)
class Conflict:
    """Name the conditions that failed by their index; nothing was written."""

    failed: tuple[int, ...]


@dataclass(frozen=True)
class AnswerLost:
    """Say that no answer came: the write may have taken effect, or may yet do so."""

    reason: str


class HostState(Enum):
    """Tell what the platform knows of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class HostEntry:
    """Describe a host as the platform listed it; ``gone_for`` is in seconds."""

    host: HostName
    domain: DomainName
    callers: str
    peers: str
    state: HostState
    gone_for: float


@dataclass(frozen=True)
class HostList:
    """Hold the hosts as they were ``as_of``, in seconds of the platform's wall clock."""

    hosts: tuple[HostEntry, ...]
    as_of: float
