"""Send requests to upstreams and read their answers as they arrive."""

import asyncio
import threading
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Self

import httptools

from turmericproxy.core.addresses import split_address
from turmericproxy.core.memory import Holding, open_unlimited
from turmericproxy.edge.messages import AnswerHead, Headers
from turmericproxy.edge.sockets import set_user_timeout

# Size of the buffered body at which reading from the connection is paused.
MAX_BUFFERED_BYTES = 32 * 1024
# Bytes that are read from a connection at once.
RECEIVE_BYTES = 32 * 1024
# Time for which sent data may stay unacknowledged before the kernel closes the connection.
USER_TIMEOUT_MS = 3000
# Status codes below this one belong to interim answers.
FIRST_FINAL_STATUS = 200
# Limit of an answer's head, and of the bytes between two parts of its body: chunk sizes and
# trailers. It is far above that of any real answer.
MAX_HEAD_BYTES = 256 * 1024
# Limit of a body that is buffered whole: more than a page of rows, which has 1 MB before encoding.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Copies of a body at the same time: its parts while they are joined, then the connection's buffer.
BODY_COPIES = 2
# Passes of the event loop in which an acceptance that has arrived becomes an open connection: the
# socket's event, the transport, its protocol and the result take one each; twice that for safety.
ACCEPTANCE_PASSES = 8
# Reason of a ``NotConnected`` whose connection was neither accepted nor refused in time.
TIMED_OUT = "connection timed out"


class EndKind(Enum):
    """Distinguish a complete answer, one that broke off, and one that the host gave up."""

    COMPLETE = "complete"
    BROKEN = "broken"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True)
class NotConnected:
    """Describe why no connection was established; nothing was sent.

    ``is_refused`` tells that the address answered that nothing listens there.
    """

    reason: str
    is_refused: bool = False


class _ReceiveBuffer(threading.local):
    """Hold what is read from a connection until it is parsed, at once; one for each event loop."""

    def __init__(self) -> None:
        self.data = memoryview(bytearray(RECEIVE_BYTES))


_receive_buffer = _ReceiveBuffer()


class _AnswerReader(asyncio.BufferedProtocol):
    """Parse one answer; close the connection if bytes follow it, which belong to no request."""

    def __init__(self, *, has_body: bool) -> None:
        self._has_body = has_body
        self._parser = httptools.HttpResponseParser(self)
        self._fields: list[tuple[str, str]] = []
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        # Bytes received since the start of the answer or the last part of its body.
        self._bytes_without_body = 0
        self.is_framed = False
        self._waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self.head: AnswerHead | None = None
        self.end: EndKind | None = None
        self.has_extra_bytes = False
        self.reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return _receive_buffer.data

    def buffer_updated(self, nbytes: int) -> None:
        if self.end:
            self.has_extra_bytes = True
            self._abort()
            return
        self._bytes_without_body += nbytes
        try:
            self._parser.feed_data(_receive_buffer.data[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # After the end of the answer, it is the bytes that follow which can't be read.
            self.has_extra_bytes = self.end is not None
            self._finish(EndKind.BROKEN, str(error) or "unreadable answer")
        if self._bytes_without_body > MAX_HEAD_BYTES:
            part = "head" if self.head is None else "framing"
            self._finish(EndKind.BROKEN, f"the {part} of the answer exceeds the size limit")
        self._notify()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None and self.head and not self.is_framed:
            self._finish(EndKind.COMPLETE, "")
        else:
            self._finish(EndKind.BROKEN, repr(exc) if exc else "connection closed")
        self._notify()

    def on_message_begin(self) -> None:
        self.has_extra_bytes = self.end is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head is None:
            self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self.end or status < FIRST_FINAL_STATUS:
            return
        headers = Headers(self._fields)
        self.is_framed = bool(headers.get("content-length") or headers.get("transfer-encoding"))
        self.head = AnswerHead(status, headers)
        self._bytes_without_body = 0
        if not self._has_body:
            self._finish(EndKind.COMPLETE, "")

    def on_body(self, body: bytes) -> None:
        if self.end is None:
            self._parts.append(body)
            self._bytes_without_body = 0
            self._buffered_bytes += len(body)
            if self._buffered_bytes > MAX_BUFFERED_BYTES and self._transport:
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        if self.head is None:
            self._fields = []  # discards the fields of an interim answer
        else:
            self._finish(EndKind.COMPLETE, "")

    async def wait(self) -> None:
        """Wait until data has been received or the connection has ended."""
        if self._waiter is None or self._waiter.done():
            self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter

    def take_body(self) -> bytes:
        """Return and clear the buffered part of the body."""
        if not self._parts:
            return b""
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()
        return data

    @property
    def has_parts(self) -> bool:
        """Return whether a part of the body has not been taken."""
        return bool(self._parts)

    def give_up(self, reason: str) -> None:
        """End the answer and ignore what still arrives."""
        self._finish(EndKind.GIVEN_UP, reason)
        self._notify()

    def _finish(self, end: EndKind, reason: str) -> None:
        if self.end is None:
            self.end = end
            self.reason = reason

    def _abort(self) -> None:
        if self._transport:
            self._transport.abort()

    def _notify(self) -> None:
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)


class UpstreamCall:
    """Send one request and read its answer; closing the connection makes the upstream stop."""

    @classmethod
    def start(cls, transport: asyncio.Transport, data: bytes, *, has_body: bool = True) -> Self:
        """Send a request on a connection with no other request in progress."""
        reader = _AnswerReader(has_body=has_body)
        transport.set_protocol(reader)
        reader.connection_made(transport)
        transport.write(data)
        return cls(transport, reader)

    def __init__(self, transport: asyncio.Transport, reader: _AnswerReader) -> None:
        self._transport = transport
        self._reader = reader

    async def read_head(self) -> AnswerHead | None:
        """Return the head of the answer, or ``None`` if the connection ended before it."""
        while self._reader.head is None and self._reader.end is None:
            await self._reader.wait()
        return self._reader.head

    async def read_part(self) -> bytes | EndKind:
        """Return the next bytes of the body, or how the answer ended if there are none left."""
        while True:
            data = self._reader.take_body()
            if data:
                return data
            if self._reader.end:
                return self._reader.end
            await self._reader.wait()

    async def read_body(self, holding: Holding | None = None) -> bytes | str:
        """Return the whole body, or why it is incomplete or too long.

        ``holding`` grows with the body and is left to the caller.
        """
        holding = holding or open_unlimited()
        parts: list[bytes] = []
        size = 0
        while isinstance(part := await self.read_part(), bytes):
            size += len(part)
            if size > MAX_BODY_BYTES:
                return "the answer exceeds the size limit"
            if not holding.resize(BODY_COPIES * size):
                return f"no room for the answer: {holding.describe()}"
            parts.append(part)
        return b"".join(parts) if part is EndKind.COMPLETE else self.reason or "answer broke off"

    def release(self) -> asyncio.Transport | None:
        """Return the connection if it can be reused for another request, else ``None``."""
        head = self._reader.head
        is_reusable = self._reader.end is EndKind.COMPLETE and not self._transport.is_closing()
        if head is None or not is_reusable or self._reader.has_extra_bytes:
            return None
        is_persistent = (head.headers.get("connection") or "").lower() != "close"
        return self._transport if is_persistent and self._reader.is_framed else None

    def give_up(self, reason: str) -> None:
        """Make all reads end with ``EndKind.GIVEN_UP``, unless the answer has ended."""
        self._reader.give_up(reason)

    @property
    def has_head(self) -> bool:
        """Return whether the head of the answer has arrived."""
        return self._reader.head is not None

    @property
    def has_ended(self) -> bool:
        """Return whether the answer is complete, broke off or was given up."""
        return self._reader.end is not None

    @property
    def is_framed(self) -> bool:
        """Return whether the head gives a length or announces chunks."""
        return self._reader.is_framed

    @property
    def is_given_up(self) -> bool:
        """Return whether the call was given up before the answer ended."""
        return self._reader.end is EndKind.GIVEN_UP

    @property
    def has_unread_data(self) -> bool:
        """Return whether a part of the body has arrived and not been read."""
        return self._reader.has_parts

    @property
    def reason(self) -> str:
        """Return why the answer broke off or was given up, or an empty text."""
        return self._reader.reason

    def close(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self._transport.abort()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


async def call_upstream(
    address: str, data: bytes, *, connect_timeout: float, has_body: bool = True
) -> UpstreamCall | NotConnected:
    """Open a connection and send a request on it; ``connect_timeout`` is in seconds."""
    transport = await open_connection(address, connect_timeout)
    if isinstance(transport, NotConnected):
        return transport
    return UpstreamCall.start(transport, data, has_body=has_body)


async def open_connection(address: str, connect_timeout: float) -> asyncio.Transport | NotConnected:
    """Open a connection to ``ip:port``; ``connect_timeout`` is in seconds."""
    loop = asyncio.get_running_loop()
    try:
        ip, port = split_address(address)
        transport = await _connect(loop, ip, port, connect_timeout)
    except TimeoutError:
        return NotConnected(TIMED_OUT)
    except (OSError, ValueError) as error:
        return NotConnected(repr(error), isinstance(error, ConnectionRefusedError))
    try:
        set_user_timeout(transport, USER_TIMEOUT_MS)
    except OSError as error:  # the connection was reset meanwhile
        transport.abort()
        return NotConnected(repr(error))
    return transport


async def _connect(
    loop: asyncio.AbstractEventLoop, ip: str, port: int, connect_timeout: float
) -> asyncio.Transport:
    """Open a connection; raise ``TimeoutError`` if the peer has not accepted it in time.

    A host that was not scheduled for longer than the timeout finds the timer expired together with
    the acceptance, which the kernel has received meanwhile, so it looks once more.
    """
    handle: asyncio.Handle
    async with asyncio.timeout(None) as timeout:

        def expire(passes: int) -> None:
            nonlocal handle
            if passes:
                handle = loop.call_soon(expire, passes - 1)
            else:
                timeout.reschedule(loop.time())

        handle = loop.call_later(connect_timeout, expire, ACCEPTANCE_PASSES)
        try:
            return (await loop.create_connection(asyncio.Protocol, ip, port))[0]
        finally:
            handle.cancel()


async def fetch(
    address: str, data: bytes, *, connect_timeout: float, timeout: float
) -> tuple[AnswerHead, bytes] | str:
    """Return the head and whole body of an answer, or the reason of a failure.

    The request is sent on a new connection. Timeouts are in seconds; ``timeout`` covers the whole
    answer.
    """
    called = await call_upstream(address, data, connect_timeout=connect_timeout)
    if isinstance(called, NotConnected):
        return called.reason
    with called:
        return await _read_whole(called, timeout)


class PersistentConnection:
    """Send requests to one address, one at a time, reusing the connection while possible.

    Use it only for requests that may be repeated: if the peer has become unreachable, the
    connection still looks open, and the next request on it fails.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle_call: UpstreamCall | None = None

    async def fetch(
        self, data: bytes, *, connect_timeout: float, timeout: float
    ) -> tuple[AnswerHead, bytes] | str:
        """Return the head and whole body of an answer, or the reason of a failure.

        Timeouts are in seconds; ``timeout`` covers the whole answer.
        """
        transport = self._take_idle()
        if transport is None:
            opened = await open_connection(self._address, connect_timeout)
            if isinstance(opened, NotConnected):
                return opened.reason
            transport = opened
        call = UpstreamCall.start(transport, data)
        try:
            answer = await _read_whole(call, timeout)
            if call.release():
                self._idle_call = call
            return answer
        finally:
            if self._idle_call is None:
                call.close()

    def _take_idle(self) -> asyncio.Transport | None:
        """Return the idle connection, unless bytes have come on it that answer no request."""
        call, self._idle_call = self._idle_call, None
        transport = call.release() if call else None
        if call and transport is None:
            call.close()
        return transport

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._idle_call:
            self._idle_call.close()


async def _read_whole(call: UpstreamCall, timeout: float) -> tuple[AnswerHead, bytes] | str:
    try:
        async with asyncio.timeout(timeout):
            head = await call.read_head()
            body = await call.read_body()
    except TimeoutError:
        return "no answer in time"
    if isinstance(body, str):
        return body
    return (head, body) if head else "answer broke off"
