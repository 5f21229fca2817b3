"""Encode and decode the messages that replicate the configuration between hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from turmericproxy.configuration.deltas import Delta, decode_delta, encode_delta
from turmericproxy.configuration.resources import Kind, describe_resource, parse_resource
from turmericproxy.configuration.snapshot import Snapshot, VersionedResource
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.core.ids import Revision

DELTA_KIND = "configuration.delta"
FETCH_KIND = "configuration.fetch"
REVISION_DIGEST = "revision"
AGE_DIGEST = "configuration_age"


@dataclass(frozen=True)
class FetchResult:
    """Provide another host's answer to a fetch: the missing deltas, or else its full snapshot."""

    deltas: tuple[Delta, ...]
    snapshot: Snapshot | None


def read_revision(digest: Mapping[str, Any]) -> Revision:
    """Return the revision in the digest of another host's heartbeat, 0 if it has none."""
    return Revision(int(digest.get(REVISION_DIGEST, 0)))


def encode_deltas(deltas: Iterable[Delta]) -> list[Any]:
    """Return the deltas as plain values."""
    return [encode_delta(delta) for delta in deltas]


def decode_deltas(body: Any) -> tuple[Delta, ...]:
    """Return the valid deltas of a message, and skip malformed ones."""
    fields = body if isinstance(body, list | tuple) else ()
    return tuple(delta for delta in map(decode_delta, fields) if delta is not None)


def encode_snapshot(snapshot: Snapshot) -> list[Any]:
    """Return the snapshot as plain values."""
    resources = [
        [kind.value, name, entry.version, describe_resource(entry.resource)]
        for kind, table in snapshot.tables.items()
        for name, entry in table.items()
    ]
    return [snapshot.revision, resources]


def decode_snapshot(body: Any) -> Snapshot | None:
    """Return the snapshot of a message, or ``None`` if any part of it is malformed."""
    tables: dict[Kind, dict[str, VersionedResource]] = {}
    try:
        revision, resources = body
        for kind_name, name, version, spec in resources:
            kind = Kind(kind_name)
            resource = parse_resource(kind, name, spec)
            if isinstance(resource, tuple):
                return None
            tables.setdefault(kind, {})[name] = VersionedResource(resource, Revision(version))
    except (TypeError, ValueError):
        return None
    frozen = {kind: MappingProxyType(table) for kind, table in tables.items()}
    return Snapshot(Revision(int(revision)), frozen)


def answer_fetch(state: ConfigurationState, body: Any) -> dict[str, Any]:
    """Return the changes after the requested revision, or the full snapshot if some are missing."""
    after = Revision(int(body["after"]))
    deltas = state.list_changes(after)
    if deltas is None:
        return {"snapshot": encode_snapshot(state.snapshot())}
    return {"deltas": encode_deltas(deltas)}


def decode_fetch_result(body: Any) -> FetchResult:
    """Return the result of a fetch, empty if the answer is malformed."""
    if not isinstance(body, Mapping):
        return FetchResult((), None)
    encoded = body.get("snapshot")
    return FetchResult(
        decode_deltas(body.get("deltas")), None if encoded is None else decode_snapshot(encoded)
    )
