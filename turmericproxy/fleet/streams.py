"""Keep streams to the hosts that this one tells, and send on them."""

import asyncio
from collections.abc import Callable, Iterable

from turmericproxy.core import HostName
from turmericproxy.edge.sockets import set_user_timeout
from turmericproxy.fleet.peers import Peer, PeerTable
from turmericproxy.logs import Part, log_event

# Seconds for which a peer is no hub after its stream has broken.
BROKEN_AVOIDED_SECONDS = 1.0
CONNECT_SECONDS = 0.6
# Seconds between two attempts to reach a peer, doubled up to the longest.
SHORTEST_REDIAL = 0.2
LONGEST_REDIAL = 2.0
# Milliseconds without an acknowledgement after which a stream is given up.
USER_TIMEOUT_MS = 1300
# Unsent bytes at which a stream is given up; its peer does not read.
LARGEST_BACKLOG = 512 * 1024


class FleetStreams:
    """Own a stream to each wanted peer.

    ``introduce`` returns the first bytes of a new stream, ``note_broken`` is called when a peer
    can't be reached or its stream has ended.
    """

    def __init__(
        self,
        peers: PeerTable,
        introduce: Callable[[Peer], bytes],
        note_broken: Callable[[], None],
        read_clock: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._introduce = introduce
        self._note_broken = note_broken
        self._read_clock = read_clock
        self._wanted: frozenset[HostName] = frozenset()

    def want(self, hosts: frozenset[HostName]) -> None:
        """Open streams to some hosts; others that are open stay so until they end."""
        self._wanted = hosts
        for host in hosts:
            peer = self._peers.find(host)
            if peer and peer.task is None:
                peer.task = asyncio.get_running_loop().create_task(self._keep_stream(peer))

    def send(self, hosts: Iterable[HostName], data: bytes) -> None:
        """Send bytes to those of some hosts that have a stream."""
        for host in hosts:
            peer = self._peers.find(host)
            writer = peer.writer if peer else None
            if writer is None or writer.is_closing():
                continue
            if writer.transport.get_write_buffer_size() > LARGEST_BACKLOG:
                writer.transport.abort()
                continue
            writer.write(data)

    def close(self) -> None:
        """Close all streams once what was sent has left."""
        self._wanted = frozenset()
        for peer in self._peers:
            if peer.task:
                peer.task.cancel()
            if peer.writer:
                peer.writer.close()

    async def _keep_stream(self, peer: Peer) -> None:
        ip, _, port = peer.hello.address.rpartition(":")
        pause = SHORTEST_REDIAL
        try:
            while peer.hello.host in self._wanted:
                try:
                    opening = asyncio.open_connection(ip, int(port))
                    reader, writer = await asyncio.wait_for(opening, CONNECT_SECONDS)
                except (OSError, ValueError):
                    self._avoid(peer)
                    await peer.wait_to_redial(pause)
                    pause = min(LONGEST_REDIAL, 2 * pause)
                    continue
                pause = SHORTEST_REDIAL
                await self._use_stream(peer, reader, writer)
                self._avoid(peer)
        finally:
            peer.task = None

    async def _use_stream(
        self, peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Introduce this host, and hold the stream until it ends."""
        set_user_timeout(writer.transport, USER_TIMEOUT_MS)
        writer.write(self._introduce(peer))
        peer.writer = writer
        try:
            await reader.read()
        except OSError as error:
            log_event(Part.PEERS, "link broke", peer=peer.hello.host, reason=repr(error))
        finally:
            peer.writer = None
            writer.close()

    def _avoid(self, peer: Peer) -> None:
        peer.avoided_until = max(peer.avoided_until, self._read_clock() + BROKEN_AVOIDED_SECONDS)
        self._note_broken()
