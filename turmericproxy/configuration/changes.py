"""Check changes and commit them so that "accepted" means committed."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.references import check_references, find_users
from turmericproxy.configuration.resources import (
    FieldFault,
    Kind,
    Resource,
    describe_resource,
    parse_resource,
)
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.store import read_change
from turmericproxy.core.clock import read_boottime
from turmericproxy.core.ids import Revision
from turmericproxy.core.results import Refusal, ResultCode, RunState, refuse
from turmericproxy.tables import Committed, Conflict, Transaction
from turmericproxy.tables.client import PlatformClient

MUST_NOT_EXIST = Revision(0)
SETTLE_PAUSE_SECONDS = 0.1


@dataclass(frozen=True)
class Accepted:
    """Say at which revision a change was committed."""

    revision: Revision
    change_id: ChangeId


@dataclass(frozen=True)
class InvalidResource(Refusal):
    """Refuse a change with every fault that was found in it."""

    faults: tuple[FieldFault, ...] = ()


@dataclass(frozen=True)
class UnknownChange(Refusal):
    """Say that a change may have been committed; its id serves to ask again."""

    change_id: ChangeId = ChangeId("")


class CommitOutcome(Enum):
    """Tell what became of a transaction."""

    COMMITTED = "committed"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


def refuse_faults(faults: tuple[FieldFault, ...]) -> InvalidResource:
    """Return the refusal that lists these faults."""
    reason = "; ".join(map(str, faults))
    return InvalidResource(ResultCode.RESOURCE_INVALID, reason, faults=faults)


def check_change(
    snapshot: Snapshot,
    kind: Kind,
    name: str,
    spec: Mapping[str, Any] | None,
    if_match: Revision | None,
) -> Resource | Refusal | None:
    """Return the resource to write, ``None`` for a deletion, or why the change is refused."""
    entry = snapshot.get_table(kind).get(name)
    version = entry.version if entry else MUST_NOT_EXIST
    if if_match is not None and if_match != version:
        return refuse(
            ResultCode.RESOURCE_CONFLICT,
            f"{kind.value} {name!r} is at version {version}, not {if_match}",
        )
    if spec is None:
        return _check_deletion(snapshot, kind, name)
    resource = parse_resource(kind, name, spec)
    if isinstance(resource, tuple):
        return refuse_faults(resource)
    faults = check_references(resource, snapshot)
    return refuse_faults(faults) if faults else resource


def _check_deletion(snapshot: Snapshot, kind: Kind, name: str) -> Refusal | None:
    if name not in snapshot.get_table(kind):
        return refuse(ResultCode.RESOURCE_NOT_FOUND, f"{kind.value} {name!r} does not exist")
    users = find_users(snapshot, kind, name)
    if users:
        return refuse(ResultCode.RESOURCE_IN_USE, f"{kind.value} {name!r} is used by {users[0]}")
    return None


def create_delta(
    snapshot: Snapshot, change_id: ChangeId, kind: Kind, name: str, resource: Resource | None
) -> Delta:
    """Return the delta that leads from the snapshot to its next revision."""
    spec = None if resource is None else describe_resource(resource)
    return Delta(Revision(snapshot.revision + 1), change_id, kind, name, spec)


def settle_change(
    platform: PlatformClient,
    transaction: Transaction,
    delta: Delta,
    deadline: float,
    sleep: Callable[[float], None] = time.sleep,
) -> CommitOutcome | Refusal:
    """Commit the transaction until it is proven what became of it.

    After a lost answer the change row of the revision tells whose change it is. While that row
    is missing the same transaction is sent again: its condition on the head lets it take effect
    once at most. A refusal is returned only while nothing can have been written.
    """
    is_doubtful = False
    while True:
        outcome = platform.commit(transaction)
        if isinstance(outcome, Committed):
            return CommitOutcome.COMMITTED
        if isinstance(outcome, Refusal) and not is_doubtful:
            return outcome
        if isinstance(outcome, Conflict) and not is_doubtful:
            return CommitOutcome.OVERTAKEN
        is_doubtful = True
        stored = read_change(platform, delta.revision)
        if isinstance(stored, Delta):
            is_own = stored.change_id == delta.change_id
            return CommitOutcome.COMMITTED if is_own else CommitOutcome.OVERTAKEN
        if read_boottime() >= deadline:
            return CommitOutcome.UNKNOWN
        sleep(SETTLE_PAUSE_SECONDS)


def refuse_unknown(delta: Delta) -> UnknownChange:
    """Return the refusal for a change whose commit can't be proven."""
    return UnknownChange(
        ResultCode.CHANGE_UNKNOWN,
        f"the change {delta.change_id} may have been committed; ask again with its id",
        RunState.UNKNOWN,
        retry_after=2.0,
        change_id=delta.change_id,
    )
