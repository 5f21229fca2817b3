"""Store the configuration in the platform's table service."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from turmericproxy.configuration.deltas import ChangeId, Delta, apply_delta
from turmericproxy.configuration.resources import Kind, Resource, parse_resource
from turmericproxy.configuration.snapshot import Snapshot, VersionedResource
from turmericproxy.core.ids import Revision
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.tables import Condition, Row, Transaction, Write
from turmericproxy.tables.client import PlatformClient

TABLE = "configuration"
HEAD_KEY = "head"
RESOURCE_PREFIX = "resources/"
CHANGE_PREFIX = "changes/"
RETAINED_CHANGES = 1000
PAGE_ROWS = 500
LOAD_ATTEMPTS = 3


@dataclass(frozen=True)
class Head:
    """Represent the newest revision, and the version of the row that stores it."""

    revision: Revision
    row_version: int | None


def create_change_key(revision: int) -> str:
    """Return the key of a change row; keys sort in revision order."""
    return f"{CHANGE_PREFIX}{revision:012d}"


def create_resource_key(kind: Kind, name: str) -> str:
    """Return the key of a resource row."""
    return f"{RESOURCE_PREFIX}{kind.value}/{name}"


def read_head(platform: PlatformClient) -> Head | Refusal:
    """Read the newest revision, 0 before the first change."""
    row = platform.read_row(TABLE, HEAD_KEY)
    if isinstance(row, Refusal):
        return row
    if row is None:
        return Head(Revision(0), None)
    return Head(Revision(int(row.value["revision"])), row.version)


def read_change(platform: PlatformClient, revision: Revision) -> Delta | Refusal | None:
    """Read the change that created a revision."""
    row = platform.read_row(TABLE, create_change_key(revision))
    return _decode_change(row) if isinstance(row, Row) else row


def _decode_change(row: Row) -> Delta:
    value = row.value
    revision = Revision(int(row.key.removeprefix(CHANGE_PREFIX)))
    kind = Kind(value["kind"])
    return Delta(revision, ChangeId(value["change_id"]), kind, value["name"], value["spec"])


def list_changes(platform: PlatformClient, after: Revision) -> tuple[Delta, ...] | Refusal:
    """Read one page of the changes after a revision."""
    rows = platform.list_rows(
        TABLE, prefix=CHANGE_PREFIX, after=create_change_key(after), limit=PAGE_ROWS
    )
    return rows if isinstance(rows, Refusal) else tuple(_decode_change(row) for row in rows)


def create_transaction(delta: Delta, head: Head, resource_row_version: int | None) -> Transaction:
    """Return the transaction that commits a change.

    It is conditional on the head row and the resource row, and deletes the change row that exceeds
    ``RETAINED_CHANGES``, so that the size of the table stays bounded.
    """
    resource_key = create_resource_key(delta.kind, delta.name)
    conditions = (
        Condition(TABLE, HEAD_KEY, head.row_version),
        Condition(TABLE, resource_key, resource_row_version),
    )
    value = {"revision": delta.revision, "spec": delta.spec}
    change = {
        "change_id": delta.change_id,
        "kind": delta.kind.value,
        "name": delta.name,
        "spec": delta.spec,
    }
    writes = [
        Write(TABLE, HEAD_KEY, {"revision": delta.revision}),
        Write(TABLE, resource_key, value, delete=delta.spec is None),
        Write(TABLE, create_change_key(delta.revision), change),
    ]
    oldest = delta.revision - RETAINED_CHANGES
    if oldest > 0:
        writes.append(Write(TABLE, create_change_key(oldest), delete=True))
    return Transaction(conditions, tuple(writes), id=delta.change_id)


def load_snapshot(platform: PlatformClient) -> Snapshot | Refusal:
    """Read the full configuration.

    Other changes may be committed while its pages are read, so the changes since the head was read
    are applied to the rows again. Each change sets or deletes one resource, so the result is
    exactly the newest revision.
    """
    for _ in range(LOAD_ATTEMPTS):
        head = read_head(platform)
        if isinstance(head, Refusal):
            return head
        tables = _list_resources(platform)
        if isinstance(tables, Refusal):
            return tables
        snapshot = apply_later_changes(platform, Snapshot(head.revision, tables))
        if snapshot is not None:
            return snapshot
    return refuse(ResultCode.PLATFORM_UNAVAILABLE, "the configuration changed while it was read")


def apply_later_changes(platform: PlatformClient, snapshot: Snapshot) -> Snapshot | Refusal | None:
    """Apply the platform's later changes; return ``None`` if some are no longer retained."""
    while True:
        changes = list_changes(platform, snapshot.revision)
        if isinstance(changes, Refusal):
            return changes
        for delta in changes:
            next_snapshot = apply_delta(snapshot, delta)
            if next_snapshot is None:
                return None
            snapshot = next_snapshot
        if len(changes) < PAGE_ROWS:
            return snapshot


def _list_resources(
    platform: PlatformClient,
) -> Mapping[Kind, Mapping[str, VersionedResource]] | Refusal:
    tables: dict[Kind, dict[str, VersionedResource]] = {}
    after = ""
    while True:
        rows = platform.list_rows(TABLE, prefix=RESOURCE_PREFIX, after=after, limit=PAGE_ROWS)
        if isinstance(rows, Refusal):
            return rows
        for row in rows:
            kind_name, _, name = row.key.removeprefix(RESOURCE_PREFIX).partition("/")
            entry = _decode_resource(Kind(kind_name), name, row.value)
            if entry is not None:
                tables.setdefault(Kind(kind_name), {})[name] = entry
        if len(rows) < PAGE_ROWS:
            return {kind: MappingProxyType(table) for kind, table in tables.items()}
        after = rows[-1].key


def _decode_resource(kind: Kind, name: str, value: Mapping[str, Any]) -> VersionedResource | None:
    resource = parse_resource(kind, name, value["spec"])
    if not isinstance(resource, Resource):
        return None
    return VersionedResource(resource, Revision(int(value["revision"])))
