"""Convert resources, changes and refusals to the JSON answers of the operator API."""

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from turmericproxy.configuration.changes import Accepted, InvalidResource, UnknownChange
from turmericproxy.configuration.deltas import Delta
from turmericproxy.configuration.resources import Kind, describe_resource
from turmericproxy.configuration.snapshot import VersionedResource
from turmericproxy.web import HttpResponse, create_json_response
from turmericproxy.web.error_bodies import describe_details


def create_etag(version: int) -> str:
    """Return the entity tag of a resource's version."""
    return f'"{version}"'


def describe_entry(kind: Kind, entry: VersionedResource) -> dict[str, Any]:
    """Return a resource with its kind, name and the revision that last changed it."""
    fields = describe_resource(entry.resource)
    return {"kind": kind.value, "name": entry.resource.name, "revision": entry.version, **fields}


def describe_delta(delta: Delta) -> dict[str, Any]:
    """Return one change of the configuration; ``spec`` is null for a deletion."""
    return {
        "revision": delta.revision,
        "change_id": delta.change_id,
        "kind": delta.kind.value,
        "name": delta.name,
        "spec": delta.spec,
    }


def describe_value(value: object) -> Any:
    """Convert a component's state, dataclasses and enums included, to values for JSON.

    >>> describe_value({1: (Kind.KEY,)})
    {'1': ['key']}
    """
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value) and not isinstance(value, type):
        return {field.name: describe_value(getattr(value, field.name)) for field in fields(value)}
    if isinstance(value, Mapping):
        return {str(key): describe_value(entry) for key, entry in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [describe_value(entry) for entry in value]
    return value if isinstance(value, str | int | float | None) else str(value)


@describe_details.register
def _(refusal: InvalidResource) -> dict[str, Any]:
    return {"faults": [{"field": f.field, "reason": f.reason} for f in refusal.faults]}


@describe_details.register
def _(refusal: UnknownChange) -> dict[str, Any]:
    return {"change_id": refusal.change_id}


def create_accepted_response(accepted: Accepted, status: int = 200) -> HttpResponse:
    """Return the answer for a committed change, with its revision as the entity tag."""
    body = {"revision": accepted.revision, "change_id": accepted.change_id}
    return create_json_response(status, body, {"ETag": create_etag(accepted.revision)})
