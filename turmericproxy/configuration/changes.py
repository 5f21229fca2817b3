"""Validate changes, and commit them so that an accepted change is always a committed one."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.references import check_references, find_referrers
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
RETRY_DELAY_SECONDS = 0.1


@dataclass(frozen=True)
class Accepted:
    """Report a committed change with its revision."""

    revision: Revision
    change_id: ChangeId


@dataclass(frozen=True)
class InvalidResource(Refusal):
    """Refuse a change with every fault found in its resource."""

    faults: tuple[FieldFault, ...] = ()


@dataclass(frozen=True)
class UnknownChange(Refusal):
    """Report a change that may have been committed; ``change_id`` allows a later query."""

    change_id: ChangeId = ChangeId("")


class CommitOutcome(Enum):
    """Classify the outcome of a commit; ``OVERTAKEN`` means that another change came first."""

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
    """Return the resource to write, ``None`` for a deletion, or the refusal of the change."""
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
    referrers = find_referrers(snapshot, kind, name)
    if referrers:
        return refuse(
            ResultCode.RESOURCE_IN_USE, f"{kind.value} {name!r} is used by {referrers[0]}"
        )
    return None


def create_delta(
    snapshot: Snapshot, change_id: ChangeId, kind: Kind, name: str, resource: Resource | None
) -> Delta:
    """Return the delta from the snapshot to the next revision."""
    spec = None if resource is None else describe_resource(resource)
    return Delta(Revision(snapshot.revision + 1), change_id, kind, name, spec)


def settle_change(
    platform: PlatformClient,
    transaction: Transaction,
    delta: Delta,
    deadline: float,
    sleep: Callable[[float], None] = time.sleep,
) -> CommitOutcome | Refusal:
    """Commit the transaction, and retry until its outcome is certain or the deadline has passed.

    ``deadline`` is a boot time in seconds. After a lost answer, the change row of the revision
    shows which change was committed. While that row is missing, the same transaction is sent
    again; its condition on the head row ensures that it takes effect at most once. A refusal is
    returned only if nothing can have been written.
    """
    is_uncertain = False
    while True:
        outcome = platform.commit(transaction)
        if isinstance(outcome, Committed):
            return CommitOutcome.COMMITTED
        if isinstance(outcome, Refusal) and not is_uncertain:
            return outcome
        if isinstance(outcome, Conflict) and not is_uncertain:
            return CommitOutcome.OVERTAKEN
        is_uncertain = True
        stored = read_change(platform, delta.revision)
        if isinstance(stored, Delta):
            is_own = stored.change_id == delta.change_id
            return CommitOutcome.COMMITTED if is_own else CommitOutcome.OVERTAKEN
        if read_boottime() >= deadline:
            return CommitOutcome.UNKNOWN
        sleep(RETRY_DELAY_SECONDS)


def refuse_unknown(delta: Delta) -> UnknownChange:
    """Return the refusal of a change whose commit could not be confirmed."""
    return UnknownChange(
        ResultCode.CHANGE_UNKNOWN,
        f"the change {delta.change_id} may have been committed; query it by its id",
        RunState.UNKNOWN,
        retry_after=2.0,
        change_id=delta.change_id,
    )
