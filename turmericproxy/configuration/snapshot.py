"""Represent a revision of the configuration as an immutable value."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeVar, cast

from turmericproxy.configuration.resources import (
    Account,
    Engine,
    Key,
    Kind,
    Model,
    Resource,
    Route,
    Upstream,
)
from turmericproxy.core.ids import Revision

R = TypeVar("R", bound=Resource)


@dataclass(frozen=True)
class VersionedResource:
    """Represent a resource with the revision that last changed it."""

    resource: Resource
    version: Revision


Table = Mapping[str, VersionedResource]
_EMPTY_TABLE: Table = MappingProxyType({})


@dataclass(frozen=True)
class Snapshot:
    """Hold every resource as of one revision."""

    revision: Revision = Revision(0)
    tables: Mapping[Kind, Table] = field(default_factory=dict)

    def get_table(self, kind: Kind) -> Table:
        """Return the resources of a kind by name."""
        return self.tables.get(kind, _EMPTY_TABLE)

    def _find_resource(self, kind: Kind, name: str, expected: type[R]) -> R | None:
        entry = self.get_table(kind).get(name)
        return cast(R, entry.resource) if entry else None

    def find_account(self, name: str) -> Account | None:
        """Return the client account of that name."""
        return self._find_resource(Kind.ACCOUNT, name, Account)

    def find_model(self, name: str) -> Model | None:
        """Return the model of that name."""
        return self._find_resource(Kind.MODEL, name, Model)

    def find_engine(self, name: str) -> Engine | None:
        """Return the engine of that name."""
        return self._find_resource(Kind.ENGINE, name, Engine)

    def find_upstream(self, name: str) -> Upstream | None:
        """Return the plain service of that name."""
        return self._find_resource(Kind.UPSTREAM, name, Upstream)

    def find_route(self, name: str) -> Route | None:
        """Return the plain route of that name."""
        return self._find_resource(Kind.ROUTE, name, Route)

    def list_engines(self) -> tuple[Engine, ...]:
        """Return all engines in the order of their names."""
        table = self.get_table(Kind.ENGINE)
        return tuple(cast(Engine, table[name].resource) for name in sorted(table))

    def list_accounts(self) -> tuple[Account, ...]:
        """Return all client accounts in the order of their names."""
        table = self.get_table(Kind.ACCOUNT)
        return tuple(cast(Account, table[name].resource) for name in sorted(table))

    def list_keys(self) -> tuple[Key, ...]:
        """Return all keys in the order of their ids."""
        table = self.get_table(Kind.KEY)
        return tuple(cast(Key, table[name].resource) for name in sorted(table))


def replace_resource(
    snapshot: Snapshot, kind: Kind, name: str, resource: Resource | None, revision: Revision
) -> Snapshot:
    """Return a new snapshot of ``revision`` with one resource set, or deleted if ``None``."""
    table = dict(snapshot.get_table(kind))
    if resource is None:
        table.pop(name, None)
    else:
        table[name] = VersionedResource(resource, revision)
    tables = {k: t for k, t in snapshot.tables.items() if k is not kind}
    if table:
        tables[kind] = MappingProxyType(table)
    return Snapshot(revision, tables)
