"""Follow the configuration, and change it."""

import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration import spread
from turmericproxy.configuration.changes import (
    Accepted,
    Settlement,
    check_change,
    create_delta,
    refuse_unknown,
    settle_change,
)
from turmericproxy.configuration.deltas import ChangeId, Delta
from turmericproxy.configuration.resources import Kind
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.configuration.store import (
    TABLE,
    Head,
    catch_up,
    create_resource_key,
    create_transaction,
    list_changes,
    load_snapshot,
    read_head,
)
from turmericproxy.core.clock import read_boottime
from turmericproxy.core.ids import HostName, Revision, create_id
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.links import PeerLinks, PeerState
from turmericproxy.platform import PlatformClient
from turmericproxy.settings.schema import ConfigurationSettings

CHANGE_TIMEOUT_SECONDS = 6.0
FETCH_TIMEOUT_SECONDS = 2.0
PEER_CHECK_SECONDS = 0.2
LONGEST_POLL_SECONDS = 5.0
DIGEST_DELAY_SECONDS = 5.0
RETRY_PAUSE_SECONDS = 0.05
DOUBTFUL_KEPT = 1000

Subscriber = Callable[[Snapshot], None]


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
        self._links = links
        self._settings = settings
        self._state = ConfigurationState()
        self._subscribers: list[Subscriber] = []
        self._notified = Revision(0)
        self._notify_lock = threading.Lock()
        self._outbox: list[Delta] = []
        self._doubtful: dict[ChangeId, Revision] = {}
        self._confirmed_at: float | None = None
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._peer_wake = threading.Event()
        self._threads: list[threading.Thread] = []
        links.register(spread.DELTA_KIND, self._receive_deltas)
        links.register(spread.FETCH_KIND, lambda _, body: spread.answer_fetch(self._state, body))

    def start(self) -> None:
        """Follow the platform and the other hosts, in a thread each."""
        for run in (self._follow_platform, self._follow_peers):
            thread = threading.Thread(target=run, name=run.__name__, daemon=True)
            thread.start()
            self._threads.append(thread)

    def close(self) -> None:
        """Stop following."""
        self._closed.set()
        self._peer_wake.set()
        for thread in self._threads:
            thread.join(timeout=5)

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._state.snapshot()

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each newer snapshot from now on."""
        self._subscribers.append(callback)

    def measure_age(self) -> float:
        """Return for how many seconds the platform has not confirmed the snapshot.

        Another host's contact with the platform counts; infinite before the first contact.
        """
        confirmed_at = self._confirmed_at
        return float("inf") if confirmed_at is None else read_boottime() - confirmed_at

    def list_changes(self, after: Revision) -> tuple[Delta, ...] | None:
        """Return the changes after a revision, or ``None`` if it lies too far back."""
        return self._state.list_changes(after)

    def wait_beyond(self, revision: Revision, timeout: float) -> bool:
        """Wait for a higher revision; ``timeout`` is in seconds."""
        return self._state.wait_beyond(revision, timeout)

    def find_change(self, change_id: ChangeId) -> ChangeRecord:
        """Return what this host knows of a change."""
        delta = self._state.find_change(change_id)
        if delta is not None:
            return ChangeRecord(True, delta.revision)
        revision = self._doubtful.get(change_id)
        other = None if revision is None else self._state.find_revision(revision)
        return ChangeRecord(None if other is None else False)

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
        unrelated change is run again.
        """
        change_id = ChangeId(create_id())
        deadline = read_boottime() + timeout
        while True:
            result = self._try_change(change_id, kind, name, spec, if_match, deadline)
            if result is not None:
                return result
            if read_boottime() >= deadline:
                return refuse(ResultCode.RESOURCE_CONFLICT, "other changes came first", retry_after=1)
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
        snapshot = self._reach_revision(head)
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
        settlement = settle_change(self._platform, transaction, delta, deadline)
        return self._conclude_change(delta, settlement)

    def _conclude_change(
        self, delta: Delta, settlement: Settlement | Refusal
    ) -> Accepted | Refusal | None:
        if isinstance(settlement, Refusal):
            return settlement
        if settlement is Settlement.OVERTAKEN:
            return None
        if settlement is Settlement.UNKNOWN:
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
        self._install_deltas((delta,))
        return Accepted(delta.revision, delta.change_id)

    def _remember_doubtful(self, delta: Delta) -> None:
        with self._lock:
            self._doubtful[delta.change_id] = delta.revision
            while len(self._doubtful) > DOUBTFUL_KEPT:
                self._doubtful.pop(next(iter(self._doubtful)))

    def _reach_revision(self, head: Head) -> Snapshot | Refusal:
        own = self.snapshot()
        if head.revision < own.revision:
            newer = read_head(self._platform)
            if isinstance(newer, Refusal):
                return newer
            if newer.revision < own.revision:
                return refuse(
                    ResultCode.PLATFORM_UNAVAILABLE,
                    f"the platform is at revision {newer.revision}, below {own.revision} in force",
                )
        if head.revision > own.revision:
            refusal = self._fetch_from_platform(head)
            if refusal is not None:
                return refusal
        return self.snapshot()

    def _fetch_from_platform(self, head: Head) -> Refusal | None:
        own = self.snapshot()
        deltas = list_changes(self._platform, own.revision)
        if isinstance(deltas, Refusal):
            return deltas
        self._install_deltas(deltas)
        if self.snapshot().revision >= head.revision:
            return None
        following = catch_up(self._platform, self.snapshot())
        if following is None:
            following = load_snapshot(self._platform)
        if isinstance(following, Refusal):
            return following
        self._install_snapshot(following, "platform")
        return None

    def _follow_platform(self) -> None:
        while not self._closed.is_set():
            self._poll_platform()
            stretch = 1 + len(self._links.list_reachable())
            interval = min(self._settings.poll * stretch, LONGEST_POLL_SECONDS)
            self._closed.wait(interval * random.uniform(0.75, 1.0))

    def _poll_platform(self) -> None:
        started_at = read_boottime()
        head = read_head(self._platform)
        if isinstance(head, Refusal):
            return
        if head.revision > self.snapshot().revision and self._fetch_from_platform(head) is not None:
            return
        if head.revision < self.snapshot().revision:
            # The head may have moved between the reading and a peer's delta, or the platform
            # may have lost its rows; neither confirms the snapshot.
            return
        self._confirm(started_at)

    def _confirm(self, at: float) -> None:
        with self._lock:
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at
        self._links.set_digest(spread.AGE_DIGEST, self.measure_age())

    def _follow_peers(self) -> None:
        while not self._closed.is_set():
            self._peer_wake.clear()
            self._flush_outbox()
            peers = self._links.list_reachable()
            self._learn_age(peers)
            self._fetch_from_peers(peers)
            self._peer_wake.wait(PEER_CHECK_SECONDS)

    def _flush_outbox(self) -> None:
        with self._lock:
            deltas, self._outbox = self._outbox, []
        if deltas:
            self._links.broadcast(spread.DELTA_KIND, spread.encode_deltas(deltas))

    def _learn_age(self, peers: tuple[PeerState, ...]) -> None:
        own = self.snapshot().revision
        ages = [
            float(peer.digest[spread.AGE_DIGEST])
            for peer in peers
            if spread.AGE_DIGEST in peer.digest
            and int(peer.digest.get(spread.REVISION_DIGEST, 0)) <= own
        ]
        if ages:
            self._confirm(read_boottime() - min(ages) - DIGEST_DELAY_SECONDS)
        elif self._confirmed_at is not None:
            self._links.set_digest(spread.AGE_DIGEST, self.measure_age())

    def _fetch_from_peers(self, peers: tuple[PeerState, ...]) -> None:
        ahead = [
            peer
            for peer in peers
            if int(peer.digest.get(spread.REVISION_DIGEST, 0)) > self.snapshot().revision
        ]
        for peer in sorted(ahead, key=lambda p: -int(p.digest[spread.REVISION_DIGEST])):
            if int(peer.digest[spread.REVISION_DIGEST]) > self.snapshot().revision:
                self._fetch_from_peer(peer.host)

    def _fetch_from_peer(self, host: HostName) -> None:
        after = self.snapshot().revision
        answer = self._links.call(host, spread.FETCH_KIND, {"after": after}, FETCH_TIMEOUT_SECONDS)
        if isinstance(answer, Refusal):
            return
        fetched = spread.decode_fetched(answer)
        if fetched.snapshot is not None:
            self._install_snapshot(fetched.snapshot, host)
        self._install_deltas(fetched.deltas)

    def _receive_deltas(self, sender: HostName, body: Any) -> None:
        self._install_deltas(spread.decode_deltas(body))

    def _install_deltas(self, deltas: tuple[Delta, ...]) -> None:
        installed = self._state.install_deltas(deltas)
        if not installed:
            return
        with self._lock:
            self._outbox.extend(installed)
        self._announce()

    def _install_snapshot(self, snapshot: Snapshot, source: str) -> None:
        if self._state.install_snapshot(snapshot):
            log_event(
                Part.CONFIGURATION, "snapshot loaded", revision=snapshot.revision, source=source
            )
            self._announce()

    def _announce(self) -> None:
        self._peer_wake.set()
        with self._notify_lock:
            snapshot = self.snapshot()
            if snapshot.revision <= self._notified:
                return
            self._notified = snapshot.revision
            self._links.set_digest(spread.REVISION_DIGEST, snapshot.revision)
            log_event(Part.CONFIGURATION, "revision in force", revision=snapshot.revision)
            for callback in tuple(self._subscribers):
                callback(snapshot)
