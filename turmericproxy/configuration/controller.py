"""Offer the configuration to the other parts of a host, and change it."""

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
PATIENCE_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.05
DOUBTFUL_KEPT = 1000


@dataclass(frozen=True)
class ChangeRecord:
    """Say what is known of a change: accepted, not accepted or neither (``None``)."""

    is_accepted: bool | None
    revision: Revision | None = None


class ConfigurationController:
    """Keep the newest snapshot, spread changes between hosts and commit new ones.

    Subscribers are called with each newer snapshot, one call at a time, and must return soon.
    """

    def __init__(
        self, platform: PlatformClient, links: PeerLinks, settings: ConfigurationSettings
    ) -> None:
        self._platform = platform
        self._state = ConfigurationState()
        self._follower = Follower(platform, links, settings, self._state)
        self._doubtful: dict[ChangeId, Revision] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def start(self) -> None:
        """Follow the platform and the other hosts."""
        self._follower.start()

    def close(self) -> None:
        """Stop following, and end the retries of changes."""
        self._closed.set()
        self._follower.close()

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._state.snapshot()

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each newer snapshot from now on."""
        self._follower.subscribe(callback)

    def measure_age(self) -> float:
        """Return for how many seconds the platform has not confirmed the snapshot.

        Another host's contact with the platform counts; infinite before the first contact.
        """
        return self._follower.measure_age()

    def list_host_revisions(self) -> tuple[HostRevision, ...]:
        """Return the revision in force on each other host that is reachable."""
        return self._follower.list_host_revisions()

    def list_changes(self, after: Revision) -> tuple[Delta, ...] | None:
        """Return the changes after a revision, or ``None`` if it lies too far back."""
        return self._state.list_changes(after)

    def wait_for_newer(self, revision: Revision, timeout: float) -> bool:
        """Wait for a higher revision; ``timeout`` is in seconds."""
        return self._state.wait_for_newer(revision, timeout)

    def find_change(self, change_id: ChangeId) -> ChangeRecord:
        """Return what became of a change, as far as this host and the platform can tell."""
        delta = self._state.find_change(change_id)
        if delta is not None:
            return ChangeRecord(True, delta.revision)
        revision = self._doubtful.get(change_id)
        if revision is None:
            return ChangeRecord(None)
        stored = self._state.find_revision(revision) or read_change(self._platform, revision)
        if not isinstance(stored, Delta):
            return ChangeRecord(None)
        is_accepted = stored.change_id == change_id
        return ChangeRecord(is_accepted, revision if is_accepted else None)

    def change(
        self,
        kind: Kind,
        name: str,
        spec: Mapping[str, Any] | None,
        if_match: Revision | None = None,
        timeout: float = CHANGE_TIMEOUT_SECONDS,
    ) -> Accepted | Refusal:
        """Set a resource, or delete it with ``spec`` ``None``.

        ``if_match`` is the resource's wanted version, 0 if it must not exist. A race lost to an
        unrelated change is run again, and so is a try for which the platform was briefly away.
        """
        change_id = ChangeId(create_id())
        started_at = read_boottime()
        deadline = started_at + timeout
        while True:
            result = self._try_change(change_id, kind, name, spec, if_match, deadline)
            now = read_boottime()
            is_patient = now < started_at + min(PATIENCE_SECONDS, timeout)
            if result is not None and not (is_patient and _is_platform_away(result)):
                return result
            if now >= deadline:
                return refuse(
                    ResultCode.RESOURCE_CONFLICT, "other changes came first", retry_after=1
                )
            self._closed.wait(random.uniform(0, RETRY_PAUSE_SECONDS))

    def _try_change(
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
        snapshot = self._follower.reach_revision(head)
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
        return self._conclude_change(delta, outcome)

    def _conclude_change(
        self, delta: Delta, outcome: CommitOutcome | Refusal
    ) -> Accepted | Refusal | None:
        if isinstance(outcome, Refusal):
            return outcome
        if outcome is CommitOutcome.OVERTAKEN:
            return None
        if outcome is CommitOutcome.UNKNOWN:
            log_event(Part.CONFIGURATION, "change unknown", change_id=delta.change_id)
            self._remember_doubtful(delta)
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

    def _remember_doubtful(self, delta: Delta) -> None:
        with self._lock:
            self._doubtful[delta.change_id] = delta.revision
            while len(self._doubtful) > DOUBTFUL_KEPT:
                self._doubtful.pop(next(iter(self._doubtful)))


def _is_platform_away(result: Accepted | Refusal) -> bool:
    return isinstance(result, Refusal) and result.code is ResultCode.PLATFORM_UNAVAILABLE
