"""Represent changes as deltas, and apply them to snapshots in revision order."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NewType

from turmericproxy.configuration.resources import Kind, Resource, parse_resource
from turmericproxy.configuration.snapshot import Snapshot, replace_resource
from turmericproxy.core.ids import Revision

ChangeId = NewType("ChangeId", str)

MAX_PENDING_DELTAS = 256


@dataclass(frozen=True)
class Delta:
    """Represent the change that created a revision; ``spec`` is ``None`` for a deletion."""

    revision: Revision
    change_id: ChangeId
    kind: Kind
    name: str
    spec: Mapping[str, Any] | None


@dataclass(frozen=True)
class MergeResult:
    """Provide the merged snapshot, the deltas pending after a gap, and the installed deltas."""

    snapshot: Snapshot
    pending: Mapping[Revision, Delta]
    installed: tuple[Delta, ...]


def apply_delta(snapshot: Snapshot, delta: Delta) -> Snapshot | None:
    """Return the next snapshot, or ``None`` if the delta is out of order or invalid."""
    if delta.revision != snapshot.revision + 1:
        return None
    resource: Resource | None = None
    if delta.spec is not None:
        parsed = parse_resource(delta.kind, delta.name, delta.spec)
        if isinstance(parsed, tuple):
            return None
        resource = parsed
    return replace_resource(snapshot, delta.kind, delta.name, resource, delta.revision)


def merge_deltas(
    snapshot: Snapshot, pending: Mapping[Revision, Delta], received: Iterable[Delta]
) -> MergeResult:
    """Install the deltas that follow the snapshot without a gap, and keep later ones pending.

    Deltas may arrive in any order and more than once; those that the snapshot already includes
    are dropped.
    """
    pool = {**pending, **{delta.revision: delta for delta in received}}
    installed: list[Delta] = []
    while delta := pool.get(Revision(snapshot.revision + 1)):
        next_snapshot = apply_delta(snapshot, delta)
        if next_snapshot is None:
            break
        snapshot = next_snapshot
        installed.append(delta)
    later_revisions = sorted(revision for revision in pool if revision > snapshot.revision)
    still_pending = {revision: pool[revision] for revision in later_revisions[:MAX_PENDING_DELTAS]}
    return MergeResult(snapshot, still_pending, tuple(installed))


def encode_delta(delta: Delta) -> list[Any]:
    """Return the delta as plain values for a message between hosts."""
    return [delta.revision, delta.change_id, delta.kind.value, delta.name, delta.spec]


def decode_delta(fields: Any) -> Delta | None:
    """Return the delta in a message, or ``None`` if it is malformed."""
    try:
        revision, change_id, kind, name, spec = fields
        return Delta(Revision(int(revision)), ChangeId(change_id), Kind(kind), name, spec)
    except (TypeError, ValueError):
        return None
