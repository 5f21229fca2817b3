"""Accept the streams of other hosts, and bound what strangers can make this host hold."""

import asyncio
from collections.abc import Awaitable, Callable

from turmericproxy.core.memory import HeldKind, MemoryAccount
from turmericproxy.edge.accepting import Acceptor
from turmericproxy.edge.causes import Cause, CauseReporter
from turmericproxy.edge.connection_table import ConnectionTable
from turmericproxy.edge.sockets import set_user_timeout
from turmericproxy.fleet.messages import (
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    Hello,
    MessageError,
    UpdateBundle,
    unpack_message,
)
from turmericproxy.fleet.streams import USER_TIMEOUT_MS
from turmericproxy.logs import Part, log_event

# Limit of the first message of a stream: names, an address and an incarnation.
MAX_INTRODUCTION_BYTES = 1024
# Seconds within which a stream must introduce its host, which it does with its first packet.
INTRODUCTION_SECONDS = 3.0
# Seconds within which a message must be complete once it has begun. The introduction of a host
# has some MB at most and takes below a second on the slowest links.
MESSAGE_SECONDS = 15.0
# Bytes that are read at once, so that a stranger can't send much before it is closed.
READ_BYTES = 16 * 1024
# Streams of other hosts: several times as many as hosts that send to one of them.
MAX_INCOMING_STREAMS = 512

Receive = Callable[["IncomingStream"], Awaitable[None]]


class IncomingStream:
    """Read the messages of another host, the first of which must be its introduction."""

    def __init__(self, owner: "IncomingStreams", peer: str, introduction_seconds: float) -> None:
        self._owner = owner
        self._peer = peer
        self._introduction_seconds = introduction_seconds
        self._holding = owner.memory.open(HeldKind.LINKS, peer)
        self._writer: asyncio.StreamWriter | None = None
        self.hello: Hello | None = None

    @property
    def is_evictable(self) -> bool:
        """Return whether the stream has not introduced its host."""
        return self._writer is not None and self.hello is None

    async def run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on the messages until the stream ends."""
        self._writer = writer
        set_user_timeout(writer.transport, USER_TIMEOUT_MS)
        try:
            async with asyncio.timeout(self._introduction_seconds):
                self._receive_introduction(await self._read_message(reader, MAX_INTRODUCTION_BYTES))
            while True:
                message = await self._read_message(reader, MAX_MESSAGE_BYTES)
                if isinstance(message, Hello):
                    self.hello = message
                assert self.hello is not None
                self._owner.receive(self.hello, message)
        except asyncio.IncompleteReadError:
            pass
        except (OSError, MessageError) as error:
            if self.hello is None:
                self._owner.reporter.report(Cause.LINK_NOT_INTRODUCED, peer=self._peer)
            else:
                log_event(
                    Part.PEERS,
                    "incoming stream failed",
                    peer=self.hello.host,
                    reason=repr(error),
                )
        finally:
            self._holding.close()
            self._owner.table.remove(self)
            writer.close()

    def close(self) -> None:
        """Close the stream after what is read."""
        if self._writer:
            self._writer.close()

    def abort(self) -> None:
        """Close the stream at once."""
        if self._writer:
            self._writer.transport.abort()

    def _receive_introduction(self, message: Hello | UpdateBundle) -> None:
        if not isinstance(message, Hello):
            raise MessageError("the stream begins without an introduction")
        self.hello = message
        self._owner.receive(message, message)

    async def _read_message(self, reader: asyncio.StreamReader, limit: int) -> Hello | UpdateBundle:
        size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if size > limit:
            raise MessageError(f"message of {size} bytes exceeds the limit")
        if size <= READ_BYTES:
            # Most messages: no more than what the stream buffers in any case.
            return unpack_message(await reader.readexactly(size))
        if not self._holding.resize(size):
            self._owner.reporter.report(Cause.LINK_WITHOUT_ROOM, peer=self._peer)
            raise MessageError(f"no room for a message of {size} bytes")
        async with asyncio.timeout(MESSAGE_SECONDS):
            data = await reader.readexactly(size)
        self._holding.close()
        return unpack_message(data)


class IncomingStreams:
    """Listen for the streams of other hosts.

    ``receive`` is called with the introduction of the sending host and each message. ``limit`` is
    the maximum number of streams; beyond it, those that have not introduced their host are closed.
    """

    def __init__(
        self,
        address: str,
        receive: Callable[[Hello, Hello | UpdateBundle], None],
        memory: MemoryAccount | None = None,
        reporter: CauseReporter | None = None,
        limit: float = MAX_INCOMING_STREAMS,
        introduction_seconds: float = INTRODUCTION_SECONDS,
    ) -> None:
        self.receive = receive
        self.memory = memory or MemoryAccount()
        self.reporter = reporter or CauseReporter()
        self.table = ConnectionTable(limit, self.reporter)
        self._introduction_seconds = introduction_seconds
        self._streams: set[IncomingStream] = set()
        self._acceptor = Acceptor(address, self._create, self.table.make_room, self.reporter)

    def start(self) -> None:
        """Bind the address; raise ``OSError`` if it can't be bound."""
        self._acceptor.start()

    def close(self) -> None:
        """Close all streams, and stop listening."""
        for stream in list(self._streams):
            stream.close()
        self._acceptor.stop()

    def _create(self, peer: str) -> asyncio.BaseProtocol:
        stream = IncomingStream(self, peer, self._introduction_seconds)
        self.table.add(peer, stream)

        async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._streams.add(stream)
            try:
                await stream.run(reader, writer)
            finally:
                self._streams.discard(stream)

        return asyncio.StreamReaderProtocol(asyncio.StreamReader(limit=READ_BYTES), run)
