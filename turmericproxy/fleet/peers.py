"""Know the other hosts: who runs, who is heard, and which of their notes came."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.batches import Batch
from turmericproxy.fleet.messages import Hello, Note
from turmericproxy.logs import Part, log_event

# Seconds of silence after which a peer is out of touch: three heartbeats and a round trip.
SILENCE_SECONDS = 1.3
# Seconds after which a peer that stays out of touch is no longer counted as running.
FORGET_SECONDS = 30.0
# Seconds for which a host that has only been told of is taken to be up: hosts start within half
# a second of each other, and slow ones need two more.
PROMISED_SECONDS = 3.0


@dataclass
class Peer:
    """Hold what is known of another host; times are of CLOCK_BOOTTIME.

    ``number`` is that of its newest note, ``direct_at`` when a message came on a stream of its
    own, ``hub_at`` when that was one for this host to pass on, and until ``avoided_until`` nothing
    is passed on through it. ``ended`` is its run before.
    """

    hello: Hello
    known_at: float
    heard_at: float | None = None
    direct_at: float | None = None
    hub_at: float | None = None
    avoided_until: float = 0.0
    is_leaving: bool = False
    is_lost: bool = False
    number: int = -1
    ended: Incarnation | None = None
    writer: asyncio.StreamWriter | None = field(default=None, repr=False)
    task: asyncio.Task[None] | None = field(default=None, repr=False)
    has_spoken: asyncio.Event = field(default_factory=asyncio.Event, repr=False)

    async def wait_to_redial(self, seconds: float) -> None:
        """Wait some seconds, or until the peer has opened a stream itself."""
        self.has_spoken.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.has_spoken.wait(), seconds)

    def is_heard(self, now: float) -> bool:
        """Return whether the peer has been heard of late."""
        return self.heard_at is not None and now - self.heard_at < SILENCE_SECONDS

    def is_running(self, now: float) -> bool:
        """Return whether the peer may take requests, heard or not."""
        if self.is_leaving:
            return False
        return now - (self.heard_at or self.known_at) < FORGET_SECONDS

    def is_likely_up(self, now: float) -> bool:
        """Return whether a stream to the peer is worth a try."""
        is_promised = self.heard_at is None and now - self.known_at < PROMISED_SECONDS
        return not self.is_leaving and (is_promised or self.is_heard(now))


class PeerTable:
    """Keep all peers of a host."""

    def __init__(self, own: Hello, read_clock: Callable[[], float]) -> None:
        self._own = own
        self._read_clock = read_clock
        self._peers: dict[HostName, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def find(self, host: HostName) -> Peer | None:
        """Return a peer by its name."""
        return self._peers.get(host)

    def admit(self, hello: Hello) -> Peer | None:
        """Return the peer that introduces itself, or nothing for this host and for ended runs."""
        known = self._peers.get(hello.host)
        if hello.host == self._own.host or (known and hello.incarnation == known.ended):
            return None
        if known and known.hello.address == hello.address:
            return known
        peer = Peer(hello, self._read_clock())
        if known:
            if known.task:
                known.task.cancel()
            peer.ended = known.hello.incarnation
        self._peers[hello.host] = peer
        return peer

    def take_note(self, note: Note) -> Peer | None:
        """Record a note, and return its sender if the note is new."""
        peer = self.admit(note.sender)
        if peer is None:
            return None
        if note.sender.incarnation != peer.hello.incarnation:
            peer.ended, peer.number = peer.hello.incarnation, -1
        if note.number <= peer.number:
            return None
        if peer.is_lost or peer.heard_at is None:
            incarnation = note.sender.incarnation
            log_event(Part.PEERS, "host in touch", peer=note.sender.host, incarnation=incarnation)
        peer.hello, peer.number, peer.is_lost = note.sender, note.number, False
        peer.heard_at = self._read_clock()
        if isinstance(note.content, Batch):
            peer.is_leaving = note.content.is_leaving
        return peer

    def find_lost(self) -> list[HostName]:
        """Return the peers that have fallen silent since the last call."""
        now = self._read_clock()
        lost = []
        for name, peer in self._peers.items():
            if peer.heard_at is not None and not peer.is_lost and not peer.is_heard(now):
                peer.is_lost = True
                lost.append(name)
                log_event(Part.PEERS, "host out of touch", peer=name)
        return lost

    def list_reachable(self) -> list[HostName]:
        """Return the peers that have been heard of late."""
        now = self._read_clock()
        return [name for name, peer in self._peers.items() if peer.is_heard(now)]

    def list_local_peers(self) -> list[HostName]:
        """Return the heard peers of this failure domain that don't leave."""
        now = self._read_clock()
        return [
            name
            for name, peer in self._peers.items()
            if peer.hello.domain == self._own.domain and peer.is_heard(now) and not peer.is_leaving
        ]

    def measure_contact_age(self, domain: str) -> float | None:
        """Return the seconds since any host of a failure domain was heard."""
        now = self._read_clock()
        heard = [
            now - peer.heard_at
            for peer in self._peers.values()
            if peer.hello.domain == domain and peer.heard_at is not None and not peer.is_leaving
        ]
        return min(heard, default=None)

    def count_hosts(self) -> int:
        """Return how many hosts may take requests, this one included."""
        now = self._read_clock()
        return 1 + sum(peer.is_running(now) for peer in self._peers.values())

    def measure_reachable_share(self) -> float:
        """Return the part of all running hosts that this host is in touch with, itself included."""
        now = self._read_clock()
        heard = sum(p.is_heard(now) and p.is_running(now) for p in self._peers.values())
        return (1 + heard) / self.count_hosts()
