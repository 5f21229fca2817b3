"""Apply changes to snapshots in the order of their revisions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NewType

from turmericproxy.configuration.resources import Kind, Resource, parse_resource
from turmericproxy.configuration.snapshot import Snapshot, replace_resource
from turmericproxy.core.ids import Revision

ChangeId = NewType("ChangeId", str)

WAITING_LIMIT = 256


@dataclass(frozen=True)
class Delta:
    """Describe the one change that led to a revision; ``spec`` is ``None`` for a deletion."""

    revision: Revision
    change_id: ChangeId
    kind: Kind
    name: str
    spec: Mapping[str, Any] | None


@dataclass(frozen=True)
class Merge:
    """Hold a snapshot, the deltas that wait for a missing one, and those that were installed."""

    snapshot: Snapshot
    waiting: Mapping[Revision, Delta]
    installed: tuple[Delta, ...]


def apply_delta(snapshot: Snapshot, delta: Delta) -> Snapshot | None:
    """Return the next snapshot, or ``None`` if the delta isn't the next or can't be understood."""
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
    snapshot: Snapshot, waiting: Mapping[Revision, Delta], arrived: Iterable[Delta]
) -> Merge:
    """Install what follows the snapshot without a gap, and keep the rest for later.

    Deltas may arrive in any order and more than once; those of the snapshot's revision and of
    lower ones are dropped.
    """
    pool = {**waiting, **{delta.revision: delta for delta in arrived}}
    installed: list[Delta] = []
    while delta := pool.get(Revision(snapshot.revision + 1)):
        following = apply_delta(snapshot, delta)
        if following is None:
            break
        snapshot = following
        installed.append(delta)
    later = sorted(revision for revision in pool if revision > snapshot.revision)
    kept = {revision: pool[revision] for revision in later[:WAITING_LIMIT]}
    return Merge(snapshot, kept, tuple(installed))


def encode_delta(delta: Delta) -> list[Any]:
    """Return the delta as plain values for a frame between hosts."""
    return [delta.revision, delta.change_id, delta.kind.value, delta.name, delta.spec]


def decode_delta(fields: Any) -> Delta | None:
    """Return the delta in a frame, or ``None`` if it can't be understood."""
    try:
        revision, change_id, kind, name, spec = fields
        return Delta(Revision(int(revision)), ChangeId(change_id), Kind(kind), name, spec)
    except (TypeError, ValueError):
        return None
