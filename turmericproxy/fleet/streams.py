"""Maintain outgoing streams to peers, and send on them."""

import asyncio
from collections.abc import Callable, Iterable

from turmericproxy.core import HostName
from turmericproxy.edge.sockets import set_user_timeout
from turmericproxy.fleet.peers import Peer, PeerTable
from turmericproxy.logs import Part, log_event

# Seconds for which a peer is not used as a hub after its stream has failed.
BROKEN_STREAM_AVOIDED_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.6
# Bounds of the delay before a peer is dialed again, which doubles with each failure. A stream that
# ends within the longest delay counts as a failure too.
MIN_REDIAL_SECONDS = 0.2
MAX_REDIAL_SECONDS = 2.0
# Milliseconds without a TCP acknowledgement after which a stream is closed.
USER_TIMEOUT_MS = 1300
# Unsent bytes above which a stream is aborted, since its peer does not read.
MAX_BACKLOG_BYTES = 512 * 1024


class FleetStreams:
    """Maintain a stream to each target peer.

    ``pack_introduction`` returns the first bytes of a new stream, ``on_stream_failure`` is called
    when a peer can't be reached or its stream has ended.
    """

    def __init__(
        self,
        peers: PeerTable,
        pack_introduction: Callable[[Peer], bytes],
        on_stream_failure: Callable[[], None],
        read_clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._pack_introduction = pack_introduction
        self._on_stream_failure = on_stream_failure
        self._read_clock = read_clock
        self._targets: frozenset[HostName] = frozenset()

    def set_targets(self, hosts: frozenset[HostName]) -> None:
        """Open streams to the given hosts; other open streams stay until they end."""
        self._targets = hosts
        for host in hosts:
            peer = self._peers.find(host)
            if peer and peer.task is None:
                peer.task = asyncio.get_running_loop().create_task(self._maintain_stream(peer))

    def send(self, hosts: Iterable[HostName], data: bytes) -> None:
        """Send bytes to those of the given hosts that have a stream."""
        for host in hosts:
            peer = self._peers.find(host)
            writer = peer.writer if peer else None
            if writer is None or writer.is_closing():
                continue
            if writer.transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
                writer.transport.abort()
                continue
            writer.write(data)

    def close(self) -> None:
        """Close all streams after their buffered bytes are sent."""
        self._targets = frozenset()
        for peer in self._peers:
            if peer.task:
                peer.task.cancel()
            if peer.writer:
                peer.writer.close()

    async def _maintain_stream(self, peer: Peer) -> None:
        ip, _, port = peer.hello.address.rpartition(":")
        delay = MIN_REDIAL_SECONDS
        try:
            while peer.hello.host in self._targets:
                try:
                    opening = asyncio.open_connection(ip, int(port))
                    reader, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_SECONDS)
                except (OSError, ValueError):
                    lasted = 0.0
                else:
                    opened_at = self._read_clock()
                    await self._run_stream(peer, reader, writer)
                    lasted = self._read_clock() - opened_at
                self._mark_avoided(peer)
                if lasted > MAX_REDIAL_SECONDS:
                    delay = MIN_REDIAL_SECONDS
                    continue
                await peer.wait_to_redial(delay)
                delay = min(MAX_REDIAL_SECONDS, 2 * delay)
        finally:
            peer.task = None

    async def _run_stream(
        self, peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Introduce this host on a stream, and wait until the stream ends.

        Peers send nothing on it, so bytes show that something else has the address.
        """
        set_user_timeout(writer.transport, USER_TIMEOUT_MS)
        writer.write(self._pack_introduction(peer))
        peer.writer = writer
        try:
            if await reader.read(1):
                log_event(Part.PEERS, "unexpected bytes on a stream", peer=peer.hello.host)
        except OSError as error:
            log_event(
                Part.PEERS, "outgoing stream failed", peer=peer.hello.host, reason=repr(error)
            )
        finally:
            peer.writer = None
            writer.close()

    def _mark_avoided(self, peer: Peer) -> None:
        peer.avoided_until = max(
            peer.avoided_until, self._read_clock() + BROKEN_STREAM_AVOIDED_SECONDS
        )
        self._on_stream_failure()
