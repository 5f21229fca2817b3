"""Keep a stream to every other host, and tell who can be heard."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from turmericproxy.core import HostName, read_boottime
from turmericproxy.edge.sockets import bound_unacknowledged
from turmericproxy.fleet.messages import (
    LARGEST_MESSAGE_BYTES,
    LENGTH_BYTES,
    Batch,
    Hello,
    Unreadable,
    merge_batches,
    pack_batch,
    pack_hello,
    pack_reader_news,
    unpack,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.store import ReaderNews

# Seconds between two batches; a batch with no news is sent as a heartbeat.
BATCH_SECONDS = 0.04
# Batches that are merged into one for hosts of other failure domains, where links are thin.
MERGED_BATCHES = 3
HEARTBEAT_SECONDS = 0.4
# Seconds of silence after which a peer is out of touch: three heartbeats and a round trip.
SILENCE_SECONDS = 1.3
# Seconds after which a peer that stays out of touch is no longer counted as running.
FORGET_SECONDS = 30.0
CONNECT_SECONDS = 0.6
# Seconds between two attempts to reach a peer, doubled up to the longest.
SHORTEST_REDIAL = 0.2
LONGEST_REDIAL = 2.0
# Milliseconds without an acknowledgement after which a stream is given up.
USER_TIMEOUT_MS = 1300
# Unsent bytes at which a stream is given up; its peer does not read.
LARGEST_BACKLOG = 512 * 1024


@dataclass
class Peer:
    """Hold the link to another host; times are of CLOCK_BOOTTIME."""

    hello: Hello
    known_at: float
    heard_at: float | None = None
    is_leaving: bool = False
    writer: asyncio.StreamWriter | None = None
    task: asyncio.Task[None] | None = field(default=None, repr=False)

    def is_heard(self, now: float) -> bool:
        """Return whether the peer has been heard of late."""
        return self.heard_at is not None and now - self.heard_at < SILENCE_SECONDS

    def is_running(self, now: float) -> bool:
        """Return whether the peer may take requests, heard or not."""
        if self.is_leaving:
            return False
        return now - (self.heard_at or self.known_at) < FORGET_SECONDS


class FleetLinks:
    """Send batches to all peers; ``create_batch`` makes one with all state for a new stream.

    ``receive`` takes each batch, ``take_news`` what a reader of the store tells, and ``lose`` is
    called once for each peer that falls silent.
    """

    def __init__(
        self,
        own: Hello,
        create_batch: Callable[[bool], Batch | None],
        receive: Callable[[Hello, Batch], None],
        lose: Callable[[HostName], None],
        take_news: Callable[[HostName, ReaderNews], None] = lambda _host, _news: None,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._own = own
        self._create_batch = create_batch
        self._receive = receive
        self._lose = lose
        self._take_news = take_news
        self._read_clock = read_clock
        self._peers: dict[HostName, Peer] = {}
        self._lost: set[HostName] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._incoming: set[asyncio.StreamWriter] = set()
        self._is_closing = False

    async def start(self) -> None:
        """Listen, and begin to send."""
        ip, _, port = self._own.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, ip, int(port))
        self._spawn(self._send_batches())

    async def close(self) -> None:
        """Tell peers that this host leaves, and close all streams."""
        self._is_closing = True
        for is_near in (True, False):
            self._send(pack_batch(Batch(is_leaving=True)), is_near=is_near)
        for task in self._tasks:
            task.cancel()
        for peer in self._peers.values():
            if peer.writer:
                peer.writer.close()
        for writer in self._incoming:
            writer.close()
        if self._server:
            self._server.close()

    def add_peer(self, hello: Hello) -> None:
        """Dial a host that was told of; its address may have changed."""
        if hello.host == self._own.host or self._is_closing:
            return
        known = self._peers.get(hello.host)
        if known and known.hello.address == hello.address:
            return
        if known and known.task:
            known.task.cancel()
        peer = Peer(hello, self._read_clock())
        self._peers[hello.host] = peer
        peer.task = self._spawn(self._keep_link(peer))

    def list_heard(self) -> list[HostName]:
        """Return the peers that have been heard of late."""
        now = self._read_clock()
        return [name for name, peer in self._peers.items() if peer.is_heard(now)]

    def list_near(self) -> list[HostName]:
        """Return the heard peers of this failure domain that don't leave."""
        now = self._read_clock()
        return [
            name
            for name, peer in self._peers.items()
            if peer.hello.domain == self._own.domain and peer.is_heard(now) and not peer.is_leaving
        ]

    def tell_near(self, news: ReaderNews) -> None:
        """Pass on to the peers of this failure domain what this host read in the store."""
        self._send(pack_reader_news(news), is_near=True)

    def measure_silence(self, domain: str) -> float | None:
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

    def measure_share(self) -> float:
        """Return the part of all running hosts that this host is in touch with, itself included."""
        now = self._read_clock()
        heard = sum(p.is_heard(now) and p.is_running(now) for p in self._peers.values())
        return (1 + heard) / self.count_hosts()

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send_batches(self) -> None:
        near, far = _Outbox(1), _Outbox(MERGED_BATCHES)
        while True:
            await asyncio.sleep(BATCH_SECONDS)
            self._drop_silent()
            batch = self._create_batch(False)
            now = self._read_clock()
            self._send(near.take(batch, now), is_near=True)
            self._send(far.take(batch, now), is_near=False)

    def _send(self, data: bytes | None, *, is_near: bool) -> None:
        if data is None:
            return
        for peer in self._peers.values():
            writer = peer.writer
            if writer is None or writer.is_closing():
                continue
            if (peer.hello.domain == self._own.domain) is not is_near:
                continue
            if writer.transport.get_write_buffer_size() > LARGEST_BACKLOG:
                writer.transport.abort()
                continue
            writer.write(data)

    def _drop_silent(self) -> None:
        now = self._read_clock()
        for name, peer in self._peers.items():
            if peer.heard_at is not None and not peer.is_heard(now) and name not in self._lost:
                self._lost.add(name)
                log_event(Part.PEERS, "host out of touch", peer=name)
                self._lose(name)

    async def _keep_link(self, peer: Peer) -> None:
        ip, _, port = peer.hello.address.rpartition(":")
        pause = SHORTEST_REDIAL
        while not self._is_closing:
            try:
                opening = asyncio.open_connection(ip, int(port))
                reader, writer = await asyncio.wait_for(opening, CONNECT_SECONDS)
            except (OSError, ValueError):
                await asyncio.sleep(pause)
                pause = min(LONGEST_REDIAL, 2 * pause)
                continue
            pause = SHORTEST_REDIAL
            bound_unacknowledged(writer.transport, USER_TIMEOUT_MS)
            writer.write(pack_hello(self._own) + pack_batch(self._create_batch(True) or Batch()))
            peer.writer = writer
            try:
                await reader.read()
            except OSError as error:
                log_event(Part.PEERS, "link broke", peer=peer.hello.host, reason=repr(error))
            finally:
                peer.writer = None
                writer.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        bound_unacknowledged(writer.transport, USER_TIMEOUT_MS)
        self._incoming.add(writer)
        hello: Hello | None = None
        try:
            while True:
                message = await _read_message(reader)
                if isinstance(message, Hello):
                    hello = message
                    self.add_peer(hello)
                elif hello and isinstance(message, ReaderNews):
                    self._take_news(hello.host, message)
                elif hello and isinstance(message, Batch):
                    self._take_batch(hello, message)
        except asyncio.IncompleteReadError:
            pass
        except (OSError, Unreadable) as error:
            peer = hello.host if hello else None
            log_event(Part.PEERS, "stream from host ended", peer=peer, reason=repr(error))
        finally:
            self._incoming.discard(writer)
            writer.close()

    def _take_batch(self, hello: Hello, batch: Batch) -> None:
        peer = self._peers.get(hello.host)
        if peer is None or peer.hello.address != hello.address:
            return
        if hello.host in self._lost or peer.heard_at is None:
            log_event(Part.PEERS, "host in touch", peer=hello.host, incarnation=hello.incarnation)
            self._lost.discard(hello.host)
        peer.hello = hello
        peer.heard_at = self._read_clock()
        peer.is_leaving = batch.is_leaving
        self._receive(hello, batch)


class _Outbox:
    """Merge some batches in a row into one, and make heartbeats where there is nothing to tell."""

    def __init__(self, merged: int) -> None:
        self._merged = merged
        self._count = 0
        self._batch: Batch | None = None
        self._sent_at = 0.0

    def take(self, batch: Batch | None, now: float) -> bytes | None:
        """Add a batch, and return the message that is due."""
        if batch is not None:
            self._batch = merge_batches(self._batch, batch) if self._batch else batch
        self._count += 1
        is_due = self._count >= self._merged and self._batch is not None
        if not is_due and now - self._sent_at < HEARTBEAT_SECONDS:
            return None
        data = pack_batch(self._batch or Batch())
        self._batch, self._count, self._sent_at = None, 0, now
        return data


async def _read_message(reader: asyncio.StreamReader) -> Hello | Batch | ReaderNews:
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > LARGEST_MESSAGE_BYTES:
        raise Unreadable(f"a message of {size} bytes")
    return unpack(await reader.readexactly(size))
