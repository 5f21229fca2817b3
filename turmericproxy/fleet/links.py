"""Tell other hosts of this one, and pass on the notes of others."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from turmericproxy.core import HostName, read_boottime
from turmericproxy.edge.sockets import set_user_timeout
from turmericproxy.fleet.batches import Batch, merge_batches
from turmericproxy.fleet.messages import (
    LARGEST_MESSAGE_BYTES,
    LENGTH_BYTES,
    Hello,
    Note,
    Notes,
    Spread,
    Unreadable,
    pack_hello,
    pack_note,
    pack_notes,
    unpack,
    unpack_note,
)
from turmericproxy.fleet.outbox import Outbox
from turmericproxy.fleet.peers import Peer, PeerTable
from turmericproxy.fleet.routes import Routes, plan_routes
from turmericproxy.fleet.streams import USER_TIMEOUT_MS, FleetStreams
from turmericproxy.logs import Part, log_event
from turmericproxy.store import ReaderUpdate

# Seconds between two batches; a batch with no news is sent as a heartbeat.
BATCH_SECONDS = 0.04
# Batches that are merged into one for hosts of other failure domains, where links are thin.
MERGED_BATCHES = 3
# Hosts of the own domain that a hub tells with each batch; with more it tells less often, so that
# its messages a second stay the same.
HOSTS_PER_BATCH = 25
# Seconds between two plans of whom to tell.
PLAN_SECONDS = 0.12
# Seconds between two notes of a host's whole state to its hub; they mend what a lost hub had not
# passed on.
STATE_SECONDS = 2.0
# Seconds without a message from the hub itself after which another one is chosen, and for which
# the silent one is passed over. A hub passes on the heartbeats of its domain many times a second.
HUB_SILENCE_SECONDS = 0.35
HUB_AVOIDED_SECONDS = 3.0
# Seconds after the last note to pass on for which a host keeps the streams of a hub.
HUB_IDLE_SECONDS = 5.0


class StateSource(Protocol):
    """Tell what other hosts are to know of this one."""

    def create_update(self) -> Batch | None:
        """Return what has changed since the last call."""

    def create_state(self) -> Batch:
        """Return all work and spending."""

    def create_introduction(self) -> Batch:
        """Return all that a host needs which has just started."""


class FleetLinks:
    """Tell other hosts of this one, and hear them.

    ``receive`` takes each batch, ``receive_update`` what a reader of the store tells, and
    ``lose`` is called once for each peer that falls silent.
    """

    def __init__(
        self,
        own: Hello,
        source: StateSource,
        receive: Callable[[Hello, Batch], None],
        lose: Callable[[HostName], None],
        receive_update: Callable[[HostName, ReaderUpdate], None] = lambda _host, _news: None,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._own = own
        self._source = source
        self._receive = receive
        self._lose = lose
        self._receive_update = receive_update
        self._read_clock = read_clock
        self.peers = PeerTable(own, read_clock)
        self._routes = Routes(None, (), (), ())
        self._planned_at = self._hub_since = self._told_state_at = 0.0
        self._passed_on_at = -HUB_IDLE_SECONDS
        self._streams = FleetStreams(self.peers, self._introduce, self._plan_soon, read_clock)
        self._number = 0
        self._ticks = 0
        self._near_box, self._far_box = Outbox(1), Outbox(MERGED_BATCHES)
        self._for_near: list[bytes] = []
        self._for_far: list[bytes] = []
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._incoming: set[asyncio.StreamWriter] = set()
        self._is_closing = False

    async def start(self) -> None:
        """Listen, and begin to send."""
        ip, _, port = self._own.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Tell peers that this host leaves, and close all streams."""
        self._is_closing = True
        self._tell(Batch(is_leaving=True))
        self._flush_near()
        self._flush_far()
        if self._task:
            self._task.cancel()
        self._streams.close()
        for writer in self._incoming:
            writer.close()
        if self._server:
            self._server.close()

    def add_peer(self, hello: Hello) -> None:
        """Take in a host that was told of; its address may have changed."""
        peer = None if self._is_closing else self.peers.admit(hello)
        if peer:
            peer.has_spoken.set()

    def send_to_domain(self, news: ReaderUpdate) -> None:
        """Pass on to the hosts of this failure domain what this host read in the store."""
        packed = self._pack(news)
        if self._routes.hub:
            self._send([self._routes.hub], Spread.DOMAIN, [packed])
        else:
            self._for_near.append(packed)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(BATCH_SECONDS)
            now = self._read_clock()
            if now >= self._planned_at + PLAN_SECONDS:
                self._plan(now)
            self._tell_news(now)
            self._ticks += 1
            if self._ticks % (1 + len(self._routes.near) // HOSTS_PER_BATCH) == 0:
                self._flush_near()
            if self._ticks % MERGED_BATCHES == 0:
                self._flush_far()

    def _plan(self, now: float) -> None:
        self._planned_at = now
        for host in self.peers.find_lost():
            self._lose(host)
        self._judge_hub(now)
        routes = plan_routes(self._own, self.peers, now)
        if routes.hub != self._routes.hub:
            log_event(Part.PEERS, "hub chosen", hub=routes.hub or self._own.host)
            self._hub_since, self._told_state_at = now, 0.0
        self._routes = routes
        is_hub = routes.hub is None or now < self._passed_on_at + HUB_IDLE_SECONDS
        wanted = routes.targets if is_hub else frozenset()
        self._streams.want(wanted | {routes.hub} if routes.hub else wanted)

    def _plan_soon(self) -> None:
        self._planned_at = 0.0

    def _judge_hub(self, now: float) -> None:
        """Pass over a hub that does not pass on."""
        hub = self.peers.find(self._routes.hub) if self._routes.hub else None
        if hub is None:
            return
        told_at = max(self._hub_since, hub.direct_at or 0.0)
        if now - told_at > HUB_SILENCE_SECONDS:
            hub.avoided_until = now + HUB_AVOIDED_SECONDS
            log_event(Part.PEERS, "hub is silent", hub=hub.hello.host, age=round(now - told_at, 2))

    def _tell_news(self, now: float) -> None:
        batch = self._source.create_update()
        hub = self._routes.hub
        if hub and now >= self._told_state_at + STATE_SECONDS:
            self._told_state_at = now
            state = self._source.create_state()
            batch = merge_batches(batch, state) if batch else state
        if hub:
            due = self._near_box.take(batch, now)
            if due:
                self._send([hub], Spread.FLEET, [self._pack(due)])
            return
        near, far = self._near_box.take(batch, now), self._far_box.take(batch, now)
        if near:
            self._for_near.append(self._pack(near))
        if far:
            self._for_far.append(self._pack(far))

    def _tell(self, batch: Batch) -> None:
        packed = self._pack(batch)
        if self._routes.hub:
            self._send([self._routes.hub], Spread.FLEET, [packed])
        else:
            self._for_near.append(packed)
            self._for_far.append(packed)

    def _pack(self, content: Batch | ReaderUpdate) -> bytes:
        self._number += 1
        return pack_note(Note(self._own, self._number, content))

    def _flush_near(self) -> None:
        waiting, self._for_near = self._for_near, []
        self._send(self._routes.near, Spread.NOBODY, waiting)

    def _flush_far(self) -> None:
        waiting, self._for_far = self._for_far, []
        self._send(self._routes.far, Spread.NOBODY, waiting)
        self._send(self._routes.far_hubs, Spread.DOMAIN, waiting)

    def _send(self, hosts: Iterable[HostName], spread: Spread, packed: list[bytes]) -> None:
        if not packed:
            return
        self._streams.send(hosts, pack_notes(Notes(spread, tuple(packed))))

    def _introduce(self, peer: Peer) -> bytes:
        if peer.hello.host == self._routes.hub:
            # The hub has only just begun to pass on what this host tells.
            self._told_state_at = 0.0
        introduction = self._pack(self._source.create_introduction())
        return pack_hello(self._own) + pack_notes(Notes(Spread.NOBODY, (introduction,)))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        set_user_timeout(writer.transport, USER_TIMEOUT_MS)
        self._incoming.add(writer)
        hello: Hello | None = None
        try:
            while True:
                message = await _read_message(reader)
                if isinstance(message, Hello):
                    hello = message
                    self.add_peer(hello)
                elif hello:
                    self._take_notes(hello, message)
        except asyncio.IncompleteReadError:
            pass
        except (OSError, Unreadable) as error:
            host = hello.host if hello else None
            log_event(Part.PEERS, "stream from host ended", peer=host, reason=repr(error))
        finally:
            self._incoming.discard(writer)
            writer.close()

    def _take_notes(self, hello: Hello, notes: Notes) -> None:
        now = self._read_clock()
        speaker = self.peers.find(hello.host)
        if speaker:
            speaker.direct_at = now
            if notes.spread is Spread.DOMAIN and speaker.hello.domain != self._own.domain:
                speaker.hub_at = now
        if notes.spread is not Spread.NOBODY:
            self._passed_on_at = now
        for packed in notes.packed:
            note = unpack_note(packed)
            if self.peers.take_note(note) is None:
                continue
            if notes.spread is not Spread.NOBODY:
                self._for_near.append(packed)
            if notes.spread is Spread.FLEET:
                self._for_far.append(packed)
            if isinstance(note.content, Batch):
                self._receive(note.sender, note.content)
            else:
                self._receive_update(note.sender.host, note.content)


async def _read_message(reader: asyncio.StreamReader) -> Hello | Notes:
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > LARGEST_MESSAGE_BYTES:
        raise Unreadable(f"a message of {size} bytes")
    return unpack(await reader.readexactly(size))
