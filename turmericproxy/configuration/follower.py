"""Follow the platform and the other hosts, and pass on what is new."""

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
    KEPT_CHANGES,
    PAGE_ROWS,
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
PEER_CHECK_SECONDS = 0.2
START_CHECK_SECONDS = 0.02
LONGEST_POLL_SECONDS = 5.0
DIGEST_DELAY_SECONDS = 5.0

Subscriber = Callable[[Snapshot], None]


@dataclass(frozen=True)
class HostRevision:
    """Name another host and the revision in force on it."""

    host: HostName
    domain: DomainName
    revision: Revision


class Follower:
    """Bring a host's state to the highest revision in reach, from the platform or other hosts.

    New deltas go to every linked host, which passes on what was new to it. Subscribers are
    called with each newer snapshot, one call at a time, and must return soon.
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
        self._notified = Revision(0)
        self._notify_lock = threading.Lock()
        self._outbox: list[Delta] = []
        self._confirmed_at: float | None = None
        self._lock = threading.Lock()
        self._platform_loop = Loop(Part.CONFIGURATION, "platform-poll", self._poll_platform)
        self._peer_loop = Loop(Part.CONFIGURATION, "peer-check", self._check_peers)
        links.register(messages.DELTA_KIND, self._receive_deltas)
        links.register(messages.FETCH_KIND, lambda _, body: messages.answer_fetch(state, body))

    def start(self) -> None:
        """Follow the platform and the other hosts, in a thread each."""
        self._platform_loop.start()
        self._peer_loop.start()

    def close(self) -> None:
        """Stop following."""
        self._platform_loop.close()
        self._peer_loop.close()

    def subscribe(self, callback: Subscriber) -> None:
        """Call back with each newer snapshot from now on."""
        self._subscribers.append(callback)

    def measure_age(self) -> float:
        """Return for how many seconds the platform has not confirmed the snapshot.

        Another host's contact with the platform counts; infinite before the first contact.
        """
        confirmed_at = self._confirmed_at
        return float("inf") if confirmed_at is None else read_boottime() - confirmed_at

    def list_host_revisions(self) -> tuple[HostRevision, ...]:
        """Return the revision in force on each other host that is reachable."""
        return tuple(
            HostRevision(peer.host, peer.domain, messages.read_revision(peer.digest))
            for peer in self._links.list_reachable()
        )

    def reach_revision(self, head: Head) -> Snapshot | Refusal:
        """Return a snapshot of at least the platform's revision.

        Refuses while the platform holds a lower revision than the one in force, as after a loss
        of its rows.
        """
        own = self._state.snapshot()
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
        return self._state.snapshot()

    def _fetch_from_platform(self, head: Head) -> Refusal | None:
        own = self._state.snapshot().revision
        if head.revision - own <= KEPT_CHANGES:
            return self._fetch_changes()
        return self._load_snapshot()

    def _fetch_changes(self) -> Refusal | None:
        while True:
            own = self._state.snapshot().revision
            deltas = list_changes(self._platform, own)
            if isinstance(deltas, Refusal):
                return deltas
            self.install_deltas(deltas)
            if deltas and self._state.snapshot().revision == own:
                return self._load_snapshot()
            if len(deltas) < PAGE_ROWS:
                return None

    def _load_snapshot(self) -> Refusal | None:
        following = load_snapshot(self._platform)
        if isinstance(following, Refusal):
            return following
        self._install_snapshot(following, "platform")
        return None

    def _poll_platform(self) -> float:
        self._follow_platform()
        stretch = 1 + len(self._links.list_reachable())
        interval = min(self._settings.poll * stretch, LONGEST_POLL_SECONDS)
        return interval * random.uniform(0.75, 1.0)

    def _follow_platform(self) -> None:
        started_at = read_boottime()
        head = read_head(self._platform)
        if isinstance(head, Refusal):
            return
        if head.revision > self._state.snapshot().revision:
            self._fetch_from_platform(head)
        # A lower head was read before a newer delta came, or the platform lost its rows; neither
        # confirms the snapshot.
        if head.revision == self._state.snapshot().revision:
            self._confirm(started_at)

    def _confirm(self, at: float) -> None:
        with self._lock:
            if self._confirmed_at is None or at > self._confirmed_at:
                self._confirmed_at = at
        self._links.set_digest(messages.AGE_DIGEST, self.measure_age())

    def _check_peers(self) -> float:
        peers = self._links.list_reachable()
        self._flush_outbox(peers)
        self._learn_age(peers)
        self._fetch_from_peers(peers)
        return PEER_CHECK_SECONDS if self._state.snapshot().revision else START_CHECK_SECONDS

    def _flush_outbox(self, peers: tuple[PeerState, ...]) -> None:
        with self._lock:
            deltas, self._outbox = self._outbox, []
        lowest = min((messages.read_revision(peer.digest) for peer in peers), default=Revision(0))
        missing = [delta for delta in deltas if delta.revision > lowest]
        if missing:
            self._links.broadcast(messages.DELTA_KIND, messages.encode_deltas(missing))

    def _learn_age(self, peers: tuple[PeerState, ...]) -> None:
        own = self._state.snapshot().revision
        ages = [
            float(peer.digest[messages.AGE_DIGEST])
            for peer in peers
            if messages.AGE_DIGEST in peer.digest and messages.read_revision(peer.digest) <= own
        ]
        if ages:
            self._confirm(read_boottime() - min(ages) - DIGEST_DELAY_SECONDS)
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
        fetched = messages.decode_fetched(answer)
        if fetched.snapshot is not None:
            self._install_snapshot(fetched.snapshot, host)
        self.install_deltas(fetched.deltas)

    def _receive_deltas(self, sender: HostName, body: Any) -> None:
        self.install_deltas(messages.decode_deltas(body))

    def install_deltas(self, deltas: tuple[Delta, ...]) -> None:
        """Install what follows the snapshot, and pass on what was installed."""
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
        self._peer_loop.wake()
        with self._notify_lock:
            snapshot = self._state.snapshot()
            if snapshot.revision <= self._notified:
                return
            self._notified = snapshot.revision
            self._links.set_digest(messages.REVISION_DIGEST, snapshot.revision)
            log_event(Part.CONFIGURATION, "revision in force", revision=snapshot.revision)
            for callback in tuple(self._subscribers):
                callback(snapshot)
