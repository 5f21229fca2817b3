"""Check the references between resources, and find the resources that refer to another."""

from collections.abc import Iterable
from functools import singledispatch

from turmericproxy.configuration.resources import (
    Engine,
    FieldFault,
    Key,
    Kind,
    Resource,
    Route,
)
from turmericproxy.configuration.snapshot import Snapshot


def _find_missing_references(
    snapshot: Snapshot, field: str, kind: Kind, names: Iterable[str]
) -> tuple[FieldFault, ...]:
    table = snapshot.get_table(kind)
    return tuple(
        FieldFault(field, f"{kind.value} {name!r} does not exist")
        for name in names
        if name not in table
    )


@singledispatch
def check_references(resource: Resource, snapshot: Snapshot) -> tuple[FieldFault, ...]:
    """Return a fault for each name in the resource that isn't in the snapshot."""
    return ()


@check_references.register
def _(resource: Key, snapshot: Snapshot) -> tuple[FieldFault, ...]:
    missing = _find_missing_references(snapshot, "account", Kind.ACCOUNT, [resource.account])
    is_taken = any(
        key.digest == resource.digest and key.name != resource.name for key in snapshot.list_keys()
    )
    return missing + ((FieldFault("digest", "is already used by another key"),) if is_taken else ())


@check_references.register
def _(resource: Engine, snapshot: Snapshot) -> tuple[FieldFault, ...]:
    return _find_missing_references(snapshot, "models", Kind.MODEL, resource.models)


@check_references.register
def _(resource: Route, snapshot: Snapshot) -> tuple[FieldFault, ...]:
    return _find_missing_references(
        snapshot, "upstreams", Kind.UPSTREAM, resource.upstreams
    ) + _find_missing_references(snapshot, "accounts", Kind.ACCOUNT, resource.accounts or ())


@singledispatch
def refers_to(resource: Resource, kind: Kind, name: str) -> bool:
    """Return whether the resource refers to the resource of that kind and name."""
    return False


@refers_to.register
def _(resource: Key, kind: Kind, name: str) -> bool:
    return kind is Kind.ACCOUNT and resource.account == name


@refers_to.register
def _(resource: Engine, kind: Kind, name: str) -> bool:
    return kind is Kind.MODEL and name in resource.models


@refers_to.register
def _(resource: Route, kind: Kind, name: str) -> bool:
    if kind is Kind.UPSTREAM:
        return name in resource.upstreams
    return kind is Kind.ACCOUNT and name in (resource.accounts or ())


def find_referrers(snapshot: Snapshot, kind: Kind, name: str) -> tuple[str, ...]:
    """Return ``KIND/NAME`` of every resource that refers to the given one."""
    return tuple(
        f"{referrer_kind.value}/{referrer}"
        for referrer_kind, table in snapshot.tables.items()
        for referrer, entry in sorted(table.items())
        if refers_to(entry.resource, kind, name)
    )
