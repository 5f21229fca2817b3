"""Encode the messages by which hosts spread the configuration among each other."""

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
class Fetched:
    """Hold what another host answered: the missing deltas, or else its whole snapshot."""

    deltas: tuple[Delta, ...]
    snapshot: Snapshot | None


def read_revision(digest: Mapping[str, Any]) -> Revision:
    """Return the revision in another host's heartbeat; 0 if it holds none."""
    return Revision(int(digest.get(REVISION_DIGEST, 0)))


def encode_deltas(deltas: Iterable[Delta]) -> list[Any]:
    """Return the deltas as plain values."""
    return [encode_delta(delta) for delta in deltas]


def decode_deltas(body: Any) -> tuple[Delta, ...]:
    """Return the deltas of a frame that can be understood."""
    fields = body if isinstance(body, list | tuple) else ()
    return tuple(delta for delta in map(decode_delta, fields) if delta is not None)


def encode_snapshot(snapshot: Snapshot) -> list[Any]:
    """Return the whole snapshot as plain values."""
    resources = [
        [kind.value, name, entry.version, describe_resource(entry.resource)]
        for kind, table in snapshot.tables.items()
        for name, entry in table.items()
    ]
    return [snapshot.revision, resources]


def decode_snapshot(body: Any) -> Snapshot | None:
    """Return the snapshot of a frame, or ``None`` if any part of it can't be understood."""
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
    """Answer a host that asks for all after a revision."""
    after = Revision(int(body["after"]))
    deltas = state.list_changes(after)
    if deltas is None:
        return {"snapshot": encode_snapshot(state.snapshot())}
    return {"deltas": encode_deltas(deltas)}


def decode_fetched(body: Any) -> Fetched:
    """Return what a fetch brought; nothing if the answer can't be understood."""
    if not isinstance(body, Mapping):
        return Fetched((), None)
    whole = body.get("snapshot")
    return Fetched(
        decode_deltas(body.get("deltas")), None if whole is None else decode_snapshot(whole)
    )
