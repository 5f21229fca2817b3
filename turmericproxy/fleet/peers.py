"""Track the other hosts: which are running, which are reachable, and their newest updates."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.batches import Batch
from turmericproxy.fleet.messages import Hello, HostUpdate
from turmericproxy.logs import Part, log_event

# Seconds without an update after which a peer is unreachable: three heartbeats and a round trip.
PEER_TIMEOUT_SECONDS = 1.3
# Seconds without an update after which a peer is no longer counted as running.
PEER_EXPIRY_SECONDS = 30.0
# Seconds for which a host that has sent no update yet is assumed to be starting: hosts start within
# half a second of each other, and slow ones need two more.
START_GRACE_SECONDS = 3.0


@dataclass
class Peer:
    """Hold the state of another host; times are of CLOCK_BOOTTIME.

    ``last_received_at`` is the time of its newest update on any stream, and ``last_direct_at`` that
    of the newest message on a stream of its own. At ``hub_active_at``, it last sent updates from
    another failure domain for this host to forward. It is not used as a hub until
    ``avoided_until``. ``last_sequence`` is the number of its newest update.
    """

    hello: Hello
    added_at: float
    last_received_at: float | None = None
    last_direct_at: float | None = None
    hub_active_at: float | None = None
    avoided_until: float = 0.0
    is_leaving: bool = False
    is_lost: bool = False
    last_sequence: int = -1
    previous_incarnation: Incarnation | None = None
    writer: asyncio.StreamWriter | None = field(default=None, repr=False)
    task: asyncio.Task[None] | None = field(default=None, repr=False)
    redial_event: asyncio.Event = field(default_factory=asyncio.Event, repr=False)

    async def wait_to_redial(self, seconds: float) -> None:
        """Wait some seconds, or until the peer introduces itself or is added again."""
        self.redial_event.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.redial_event.wait(), seconds)

    def is_reachable(self, now: float) -> bool:
        """Return whether an update of the peer was received recently."""
        return (
            self.last_received_at is not None and now - self.last_received_at < PEER_TIMEOUT_SECONDS
        )

    def is_running(self, now: float, expiry: float = PEER_EXPIRY_SECONDS) -> bool:
        """Return whether the peer may take requests, even if it is unreachable from here."""
        if self.is_leaving:
            return False
        return now - (self.last_received_at or self.added_at) < expiry

    def is_likely_reachable(self, now: float) -> bool:
        """Return whether the peer is reachable, or may still be starting."""
        is_starting = self.last_received_at is None and now - self.added_at < START_GRACE_SECONDS
        return not self.is_leaving and (is_starting or self.is_reachable(now))


class PeerTable:
    """Track all peers of a host."""

    def __init__(self, own: Hello, read_clock: Callable[[], float]) -> None:
        self._own = own
        self._read_clock = read_clock
        self._peers: dict[HostName, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def find(self, host: HostName) -> Peer | None:
        """Return a peer by its name, or ``None``."""
        return self._peers.get(host)

    def admit(self, hello: Hello) -> Peer | None:
        """Return the known or added peer, or ``None`` for this host and earlier incarnations."""
        known = self._peers.get(hello.host)
        if hello.host == self._own.host or (
            known and hello.incarnation == known.previous_incarnation
        ):
            return None
        if known and known.hello.address == hello.address:
            return known
        peer = Peer(hello, self._read_clock())
        if known:
            if known.task:
                known.task.cancel()
            peer.previous_incarnation = known.hello.incarnation
        self._peers[hello.host] = peer
        return peer

    def record_update(self, update: HostUpdate) -> Peer | None:
        """Record an update, and return its sender, or ``None`` if the update is not new."""
        peer = self.admit(update.sender)
        if peer is None:
            return None
        if update.sender.incarnation != peer.hello.incarnation:
            peer.previous_incarnation, peer.last_sequence = peer.hello.incarnation, -1
        if update.sequence <= peer.last_sequence:
            return None
        peer.hello, peer.last_sequence = update.sender, update.sequence
        _record_contact(peer, self._read_clock())
        if isinstance(update.content, Batch):
            peer.is_leaving = update.content.is_leaving
        return peer

    def record_alive(self, hosts: Iterable[HostName]) -> None:
        """Record that a hub has received heartbeats of peers; unknown hosts are ignored."""
        now = self._read_clock()
        for host in hosts:
            peer = self._peers.get(host)
            if peer and peer.last_received_at is not None:
                _record_contact(peer, now)

    def detect_lost(self) -> list[HostName]:
        """Return the peers that have become unreachable since the last call."""
        oldest = self._read_clock() - PEER_TIMEOUT_SECONDS
        lost = []
        for name, peer in self._peers.items():
            received_at = peer.last_received_at
            if received_at is not None and received_at <= oldest and not peer.is_lost:
                peer.is_lost = True
                lost.append(name)
                log_event(Part.PEERS, "host lost", peer=name)
        return lost

    def list_reachable(self) -> list[HostName]:
        """Return the reachable peers."""
        now = self._read_clock()
        return [name for name, peer in self._peers.items() if peer.is_reachable(now)]

    def list_reachable_hosts(self) -> list[HostName]:
        """Return the reachable peers that are not leaving."""
        now = self._read_clock()
        return [
            name
            for name, peer in self._peers.items()
            if peer.is_reachable(now) and not peer.is_leaving
        ]

    def list_recent(self, seconds: float) -> list[HostName]:
        """Return the peers that were heard, or added, within the last seconds.

        Those that are leaving are among them, since their last requests may still be open.
        """
        now = self._read_clock()
        return [
            name
            for name, peer in self._peers.items()
            if now - (peer.last_received_at or peer.added_at) < seconds
        ]

    def list_local_peers(self) -> list[HostName]:
        """Return the reachable peers of this failure domain that are not leaving."""
        now = self._read_clock()
        return [
            name
            for name, peer in self._peers.items()
            if peer.hello.domain == self._own.domain
            and peer.is_reachable(now)
            and not peer.is_leaving
        ]

    def measure_contact_age(self, domain: str) -> float | None:
        """Return the seconds since the newest update of any host of a failure domain.

        Hosts that are leaving don't count; ``None`` means that no update was received.
        """
        now = self._read_clock()
        ages = [
            now - peer.last_received_at
            for peer in self._peers.values()
            if peer.hello.domain == domain
            and peer.last_received_at is not None
            and not peer.is_leaving
        ]
        return min(ages, default=None)

    def count_hosts(self, expiry: float = PEER_EXPIRY_SECONDS) -> int:
        """Return the number of hosts that may take requests, including this one.

        A host counts for ``expiry`` seconds after its last update.
        """
        now = self._read_clock()
        return 1 + sum(peer.is_running(now, expiry) for peer in self._peers.values())

    def measure_reachable_share(self) -> float:
        """Return the share of running hosts that are reachable, including this host."""
        now = self._read_clock()
        running = [peer for peer in self._peers.values() if peer.is_running(now)]
        reachable = sum(peer.is_reachable(now) for peer in running)
        return (1 + reachable) / (1 + len(running))


def _record_contact(peer: Peer, now: float) -> None:
    if peer.is_lost or peer.last_received_at is None:
        hello = peer.hello
        log_event(Part.PEERS, "host connected", peer=hello.host, incarnation=hello.incarnation)
    peer.last_received_at, peer.is_lost = now, False
