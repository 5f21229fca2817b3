"""Provide the configuration to the other parts of a host, and commit changes to it."""

import random
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration.changes import (
    Accepted,
    CommitOutcome,
    check_change,
    create_delta,
    refuse_unknown,
    settle_change,
)
from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.follower import Follower, HostRevision, Subscriber
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.configuration.store import (
    TABLE,
    create_resource_key,
    create_transaction,
    read_change,
    read_head,
)
from turmericproxy.core.clock import read_boottime
from turmericproxy.core.ids import Revision, create_id
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.links import PeerLinks
from turmericproxy.settings.schema import ConfigurationSettings
from turmericproxy.tables.client import PlatformClient

CHANGE_TIMEOUT_SECONDS = 6.0
PLATFORM_RETRY_SECONDS = 1.0
MAX_RETRY_DELAY_SECONDS = 0.05
MAX_UNCERTAIN_CHANGES = 1000


@dataclass(frozen=True)
class ChangeStatus:
    """Report whether a change was accepted; ``is_accepted`` is ``None`` if that is unknown."""

    is_accepted: bool | None
    revision: Revision | None = None


class ConfigurationController:
    """Hold the newest snapshot, replicate changes between hosts and commit new ones.

    Subscribers are called with newer snapshots, one call at a time, and must return quickly.
    """

    def __init__(
        self, platform: PlatformClient, links: PeerLinks, settings: ConfigurationSettings
    ) -> None:
        self._platform = platform
        self._state = ConfigurationState()
        self._follower = Follower(platform, links, settings, self._state)
        self._uncertain_revisions: dict[ChangeId, Revision] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def start(self) -> None:
        """Start to follow the platform and the other hosts."""
        self._follower.start()

    def close(self) -> None:
        """Stop following the platform and the other hosts; retries of changes no longer wait."""
        self._closed.set()
        self._follower.close()

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._state.snapshot()

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with newer snapshots from now on."""
        self._follower.subscribe(callback)

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration is known; the platform's may still be empty."""
        return bool(self.snapshot().revision) or self.measure_age() < float("inf")

    def measure_age(self) -> float:
        """Return the seconds since the platform last confirmed the snapshot.

        A confirmation that another host reports counts too; infinite before the first one.
        """
        return self._follower.measure_age()

    def list_host_revisions(self) -> tuple[HostRevision, ...]:
        """Return the revision in force on each other host that is reachable."""
        return self._follower.list_host_revisions()

    def list_changes(self, after: Revision) -> tuple[Delta, ...] | None:
        """Return the changes after a revision, or ``None`` if some are no longer in the history."""
        return self._state.list_changes(after)

    def wait_for_newer(self, revision: Revision, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds for a higher revision; return whether it arrived."""
        return self._state.wait_for_newer(revision, timeout)

    def find_change(self, change_id: ChangeId) -> ChangeStatus:
        """Return the status of a change from this host's history, or else from the platform."""
        delta = self._state.find_change(change_id)
        if delta is not None:
            return ChangeStatus(True, delta.revision)
        revision = self._uncertain_revisions.get(change_id)
        if revision is None:
            return ChangeStatus(None)
        stored = self._state.find_revision(revision) or read_change(self._platform, revision)
        if not isinstance(stored, Delta):
            return ChangeStatus(None)
        is_accepted = stored.change_id == change_id
        return ChangeStatus(is_accepted, revision if is_accepted else None)

    def change(
        self,
        kind: Kind,
        name: str,
        spec: Mapping[str, Any] | None,
        if_match: Revision | None = None,
        timeout: float = CHANGE_TIMEOUT_SECONDS,
    ) -> Accepted | Refusal:
        """Set a resource, or delete it if ``spec`` is ``None``.

        ``if_match`` is the version that the resource must have, 0 if it must not exist; ``timeout``
        is in seconds. An attempt that lost a race to an unrelated change is repeated, and for a
        short time also one that found the platform unavailable.
        """
        change_id = ChangeId(create_id())
        started_at = read_boottime()
        deadline = started_at + timeout
        while True:
            result = self._attempt_change(change_id, kind, name, spec, if_match, deadline)
            now = read_boottime()
            may_retry_platform = now < started_at + min(PLATFORM_RETRY_SECONDS, timeout)
            if result is not None and not (may_retry_platform and _is_platform_unavailable(result)):
                return result
            if now >= deadline:
                return refuse(
                    ResultCode.RESOURCE_CONFLICT,
                    "other changes were committed first",
                    retry_after=1,
                )
            self._closed.wait(random.uniform(0, MAX_RETRY_DELAY_SECONDS))

    def _attempt_change(
        self,
        change_id: ChangeId,
        kind: Kind,
        name: str,
        spec: Mapping[str, Any] | None,
        if_match: Revision | None,
        deadline: float,
    ) -> Accepted | Refusal | None:
        head = read_head(self._platform)
        if isinstance(head, Refusal):
            return head
        snapshot = self._follower.catch_up_to(head)
        if isinstance(snapshot, Refusal):
            return snapshot
        if snapshot.revision != head.revision:
            return None
        resource = check_change(snapshot, kind, name, spec, if_match)
        if isinstance(resource, Refusal):
            return resource
        row = self._platform.read_row(TABLE, create_resource_key(kind, name))
        if isinstance(row, Refusal):
            return row
        delta = create_delta(snapshot, change_id, kind, name, resource)
        transaction = create_transaction(delta, head, row.version if row else None)
        outcome = settle_change(self._platform, transaction, delta, deadline)
        return self._handle_outcome(delta, outcome)

    def _handle_outcome(
        self, delta: Delta, outcome: CommitOutcome | Refusal
    ) -> Accepted | Refusal | None:
        if isinstance(outcome, Refusal):
            return outcome
        if outcome is CommitOutcome.OVERTAKEN:
            return None
        if outcome is CommitOutcome.UNKNOWN:
            log_event(Part.CONFIGURATION, "change outcome unknown", change_id=delta.change_id)
            self._record_uncertain_change(delta)
            return refuse_unknown(delta)
        log_event(
            Part.CONFIGURATION,
            "change accepted",
            revision=delta.revision,
            change_id=delta.change_id,
            kind=delta.kind.value,
            resource=delta.name,
        )
        self._follower.install_deltas((delta,))
        return Accepted(delta.revision, delta.change_id)

    def _record_uncertain_change(self, delta: Delta) -> None:
        with self._lock:
            self._uncertain_revisions[delta.change_id] = delta.revision
            while len(self._uncertain_revisions) > MAX_UNCERTAIN_CHANGES:
                self._uncertain_revisions.pop(next(iter(self._uncertain_revisions)))


def _is_platform_unavailable(result: Accepted | Refusal) -> bool:
    return isinstance(result, Refusal) and result.code is ResultCode.PLATFORM_UNAVAILABLE
