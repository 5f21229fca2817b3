"""Follow the revisions of the platform and the other hosts, and forward new changes."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration import messages
from turmericproxy.configuration.deltas import Delta
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.configuration.state import ConfigurationState
from turmericproxy.configuration.store import (
    PAGE_ROWS,
    RETAINED_CHANGES,
    Head,
    list_changes,
    load_snapshot,
    read_head,
)
from turmericproxy.core.clock import read_boottime
from turmericproxy.core.ids import DomainName, HostName, Revision
from turmericproxy.core.loops import Loop
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.links import PeerLinks
from turmericproxy.peers.states import PeerState
from turmericproxy.settings.schema import ConfigurationSettings
from turmericproxy.tables.client import PlatformClient

FETCH_TIMEOUT_SECONDS = 2.0
PEER_CHECK_INTERVAL_SECONDS = 0.2
STARTUP_CHECK_INTERVAL_SECONDS = 0.02
MAX_POLL_INTERVAL_SECONDS = 5.0
MAX_DIGEST_DELAY_SECONDS = 5.0

Subscriber = Callable[[Snapshot], None]


@dataclass(frozen=True)
class HostRevision:
    """Represent another host with the revision in force on it."""

    host: HostName
    domain: DomainName
    revision: Revision


class Follower:
    """Update a host's state to the highest revision of the platform and the reachable hosts.

    New deltas are sent to every linked host, which forwards those that were new to it.
    Subscribers are called with newer snapshots, one call at a time, and must return quickly.
    """

    def __init__(
        self,
        platform: PlatformClient,
        links: PeerLinks,
        settings: ConfigurationSettings,
        state: ConfigurationState,
    ) -> None:
        self._platform = platform
        self._links = links
        self._settings = settings
        self._state = state
        self._subscribers: list[Subscriber] = []
        self._notified_revision = Revision(0)
        self._notify_lock = threading.Lock()
        self._outbox: list[Delta] = []
        self._confirmed_at: float | None = None
        self._lock = threading.Lock()
        self._platform_loop = Loop(Part.CONFIGURATION, "platform-poll", self._poll_platform)
        self._peer_loop = Loop(Part.CONFIGURATION, "peer-check", self._check_peers)
        links.register(messages.DELTA_KIND, self._receive_deltas)
        links.register(messages.FETCH_KIND, lambda _, body: messages.answer_fetch(state, body))

    def start(self) -> None:
        """Start one thread that polls the platform and one that checks the other hosts."""
        self._platform_loop.start()
        self._peer_loop.start()

    def close(self) -> None:
        """Stop both threads."""
        self._platform_loop.close()
        self._peer_loop.close()

    def subscribe(self, callback: Subscriber) -> None:
        """Call ``callback`` with newer snapshots from now on."""
        self._subscribers.append(callback)

    def measure_age(self) -> float:
        """Return the seconds since the platform last confirmed the snapshot.

        A confirmation that another host reports counts too; infinite before the first one.
        """
        confirmed_at = self._confirmed_at
        return float("inf") if confirmed_at is None else read_boottime() - confirmed_at

    def list_host_revisions(self) -> tuple[HostRevision, ...]:
        """Return the revision in force on each other host that is reachable."""
        return tuple(
            HostRevision(peer.host, peer.domain, messages.read_revision(peer.digest))
            for peer in self._links.list_reachable()
        )

    def catch_up_to(self, head: Head) -> Snapshot | Refusal:
        """Fetch missing changes, and return a snapshot of at least the head's revision.

        Refuse if the platform's revision is lower than the one in force, as after it lost rows.
        """
        own_snapshot = self._state.snapshot()
        if head.revision < own_snapshot.revision:
            current_head = read_head(self._platform)
            if isinstance(current_head, Refusal):
                return current_head
            if current_head.revision < own_snapshot.revision:
                return refuse(
                    ResultCode.PLATFORM_UNAVAILABLE,
                    f"the platform's revision {current_head.revision} is lower than"
                    f" revision {own_snapshot.revision} in force",
                )
        if head.revision > own_snapshot.revision:
            refusal = self._catch_up_from_platform(head)
            if refusal is not None:
                return refusal
        return self._state.snapshot()

    def _catch_up_from_platform(self, head: Head) -> Refusal | None:
        own_revision = self._state.snapshot().revision
        if head.revision - own_revision <= RETAINED_CHANGES:
            return self._fetch_changes()
        return self._load_snapshot()

    def _fetch_changes(self) -> Refusal | None:
        while True:
            own_revision = self._state.snapshot().revision
            deltas = list_changes(self._platform, own_revision)
            if isinstance(deltas, Refusal):
                return deltas
            self.install_deltas(deltas)
            if deltas and self._state.snapshot().revision == own_revision:
                return self._load_snapshot()
            if len(deltas) < PAGE_ROWS:
                return None

    def _load_snapshot(self) -> Refusal | None:
        snapshot = load_snapshot(self._platform)
        if isinstance(snapshot, Refusal):
            return snapshot
        self._install_snapshot(snapshot, "platform")
        return None

    def _poll_platform(self) -> float:
        self._check_platform()
        host_count = 1 + len(self._links.list_reachable())
        interval = min(self._settings.poll * host_count, MAX_POLL_INTERVAL_SECONDS)
        return interval * random.uniform(0.75, 1.0)

    def _check_platform(self) -> None:
        started_at = read_boottime()
        head = read_head(self._platform)
        if isinstance(head, Refusal):
            return
        if head.revision > self._state.snapshot().revision:
            self._catch_up_from_platform(head)
        # A lower head was read before a newer delta arrived, or the platform lost rows; neither
        # confirms the snapshot.
        if head.revision == self._state.snapshot().revision:
            self._record_confirmation(started_at)

    def _record_confirmation(self, confirmed_at: float) -> None:
        with self._lock:
            if self._confirmed_at is None or confirmed_at > self._confirmed_at:
                self._confirmed_at = confirmed_at
        self._links.set_digest(messages.AGE_DIGEST, self.measure_age())

    def _check_peers(self) -> float:
        peers = self._links.list_reachable()
        self._send_outbox(peers)
        self._update_age_from_peers(peers)
        self._fetch_from_peers(peers)
        return (
            PEER_CHECK_INTERVAL_SECONDS
            if self._state.snapshot().revision
            else STARTUP_CHECK_INTERVAL_SECONDS
        )

    def _send_outbox(self, peers: tuple[PeerState, ...]) -> None:
        with self._lock:
            deltas, self._outbox = self._outbox, []
        lowest_revision = min(
            (messages.read_revision(peer.digest) for peer in peers), default=Revision(0)
        )
        missing = [delta for delta in deltas if delta.revision > lowest_revision]
        if missing:
            self._links.broadcast(messages.DELTA_KIND, messages.encode_deltas(missing))

    def _update_age_from_peers(self, peers: tuple[PeerState, ...]) -> None:
        own_revision = self._state.snapshot().revision
        ages = [
            float(peer.digest[messages.AGE_DIGEST])
            for peer in peers
            if messages.AGE_DIGEST in peer.digest
            and messages.read_revision(peer.digest) <= own_revision
        ]
        if ages:
            self._record_confirmation(read_boottime() - min(ages) - MAX_DIGEST_DELAY_SECONDS)
        elif self._confirmed_at is not None:
            self._links.set_digest(messages.AGE_DIGEST, self.measure_age())

    def _fetch_from_peers(self, peers: tuple[PeerState, ...]) -> None:
        ahead = [
            peer
            for peer in peers
            if messages.read_revision(peer.digest) > self._state.snapshot().revision
        ]
        for peer in sorted(ahead, key=lambda p: -messages.read_revision(p.digest)):
            if messages.read_revision(peer.digest) > self._state.snapshot().revision:
                self._fetch_from_peer(peer.host)

    def _fetch_from_peer(self, host: HostName) -> None:
        after = self._state.snapshot().revision
        answer = self._links.call(
            host, messages.FETCH_KIND, {"after": after}, FETCH_TIMEOUT_SECONDS
        )
        if isinstance(answer, Refusal):
            return
        fetched = messages.decode_fetch_result(answer)
        if fetched.snapshot is not None:
            self._install_snapshot(fetched.snapshot, host)
        self.install_deltas(fetched.deltas)

    def _receive_deltas(self, sender: HostName, body: Any) -> None:
        self.install_deltas(messages.decode_deltas(body))

    def install_deltas(self, deltas: tuple[Delta, ...]) -> None:
        """Install the deltas that follow the snapshot, and forward them to the linked hosts."""
        installed = self._state.install_deltas(deltas)
        if not installed:
            return
        with self._lock:
            self._outbox.extend(installed)
        self._publish_snapshot()

    def _install_snapshot(self, snapshot: Snapshot, source: str) -> None:
        if self._state.install_snapshot(snapshot):
            log_event(
                Part.CONFIGURATION, "snapshot loaded", revision=snapshot.revision, source=source
            )
            self._publish_snapshot()

    def _publish_snapshot(self) -> None:
        self._peer_loop.wake()
        with self._notify_lock:
            snapshot = self._state.snapshot()
            if snapshot.revision <= self._notified_revision:
                return
            self._notified_revision = snapshot.revision
            self._links.set_digest(messages.REVISION_DIGEST, snapshot.revision)
            log_event(Part.CONFIGURATION, "revision in force", revision=snapshot.revision)
            for callback in tuple(self._subscribers):
                callback(snapshot)
