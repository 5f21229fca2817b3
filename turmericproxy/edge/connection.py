"""Read requests from one client connection, strictly and with time limits."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import ClientRequest, Headers
from turmericproxy.edge.writer import AnswerWriter

Handler = Callable[[ClientRequest, AnswerWriter], Awaitable[None]]

# Pipelined requests that are read ahead; a client that sends more has to wait.
READ_AHEAD_REQUESTS = 4
# Seconds for which a refused connection is read on, so that a reset doesn't destroy the answer.
LINGER_SECONDS = 1.0
WRITE_BUFFER_BYTES = 256 * 1024
# Fields that choose route, account or identity; two of one kind could be read in two ways.
SINGLE_FIELDS = ("host", "authorization", "content-type")


# Returns fields and body of the refusal of a request that can't be read, by its status.
RefusalWriter = Callable[[int], tuple[list[tuple[str, str]], bytes]]


def write_plain_refusal(status: int) -> tuple[list[tuple[str, str]], bytes]:
    """Return a refusal without fields or body."""
    return [], b""


class ClientConnection(asyncio.Protocol):
    """Answer the requests of one connection, one after the other.

    ``get_limits`` returns the limits in force; ``is_draining`` tells to close after an answer.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], EdgeLimits],
        is_draining: Callable[[], bool],
        singleton_fields: tuple[str, ...] = (),
        describe_refusal: RefusalWriter = write_plain_refusal,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._is_draining = is_draining
        self._singleton_fields = SINGLE_FIELDS + singleton_fields
        self._describe_refusal = describe_refusal
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[ClientRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._writer: AnswerWriter | None = None
        self._transport: asyncio.Transport | None = None
        self._is_refused = False
        self._is_reading = False
        self._keep_alive = True
        self._start_message()

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; the first head has to come within its limit."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._set_timer(self._get_limits().idle_seconds, self.close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request; nobody waits for its answer."""
        self._set_timer(0.0, None)
        self._waiting.clear()
        if self._task:
            self._task.cancel()
        if self._writer:
            self._writer.resume()

    def pause_writing(self) -> None:
        """Hold the answer back while the client does not read."""
        if self._writer:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Go on with the answer."""
        if self._writer:
            self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; anything ambiguous is refused and ends the connection."""
        if self._is_refused:
            return
        if not self._is_reading and not self._waiting and self._task is None:
            self._set_timer(self._get_limits().head_seconds, self._refuse_slow_head)
        self._is_reading = True
        if not self._is_head_read:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(400)
        if not self._is_head_read and self._head_size > self._get_limits().head_bytes:
            self._refuse(431)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed: these clients wait on whole connections."""
        return False

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start a message."""
        self._start_message()
        self._is_reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field; trailers are not passed on."""
        if not self._is_head_read:
            self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head, and let the body come."""
        self._is_head_read = True
        self._headers = Headers(self._fields)
        limits = self._get_limits()
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._fields)
        if size > limits.head_bytes:
            self._refuse(431)
        elif not self._is_head_sound():
            self._refuse(400)
        elif int(self._headers.get("content-length") or 0) > limits.body_bytes:
            self._refuse(413)
        elif (self._headers.get("expect") or "").lower() == "100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The time limit of the head also bounds silences within the body.
        self._set_timer(limits.idle_seconds, self._refuse_slow_head)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body += body
        if len(self._body) > self._get_limits().body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Queue the request, and answer it if no other one runs."""
        if self._is_refused:
            return
        self._set_timer(0.0, None)
        request = ClientRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._loop.time(),
            is_http_10=self._parser.get_http_version() == "1.0",
        )
        self._start_message()
        self._waiting.append(request)
        self._keep_alive = self._parser.should_keep_alive()
        if len(self._waiting) >= READ_AHEAD_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._run_next()

    # Requests

    def close_idle(self) -> None:
        """Close the connection unless a request is read or runs."""
        if self._task is None and not self._is_reading and self._transport:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport:
            self._transport.abort()

    def _start_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._headers = Headers()
        self._body = bytearray()
        self._head_size = 0
        self._is_head_read = False
        self._is_reading = False

    def _is_head_sound(self) -> bool:
        headers = self._headers
        is_http_11 = self._parser.get_http_version() == "1.1"
        if headers.count("host") != 1 and is_http_11:
            return False
        if not self._target.startswith(b"/"):
            return False
        return all(headers.count(name) <= 1 for name in self._singleton_fields)

    def _run_next(self) -> None:
        if self._task is None and self._waiting and self._transport:
            request = self._waiting.popleft()
            is_last = not self._keep_alive and not self._waiting
            self._writer = AnswerWriter(
                self._transport, keep_alive=not is_last, is_http_10=request.is_http_10
            )
            self._task = self._loop.create_task(self._run(request, self._writer))

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        try:
            if self._is_draining():
                writer.keep_alive = False
            await self._handler(request, writer)
        finally:
            self._task = None
            self._end_answer(writer)

    def _end_answer(self, writer: AnswerWriter) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not writer.is_finished:
            transport.abort()
        elif not writer.keep_alive or (self._is_draining() and not self._waiting):
            # A draining host takes no further request from a connection, also after an answer
            # that began before.
            self._linger()
        else:
            limits = self._get_limits()
            if self._is_reading:
                self._set_timer(limits.head_seconds, self._refuse_slow_head)
            else:
                self._set_timer(limits.idle_seconds, self.close_idle)
            transport.resume_reading()
            self._run_next()

    # Refusals and time limits

    def _refuse(self, status: int) -> None:
        if self._is_refused or self._transport is None:
            return
        self._is_refused = True
        self._set_timer(0.0, None)
        self._waiting.clear()
        if self._task is None:
            writer = AnswerWriter(self._transport, keep_alive=False, is_http_10=False)
            writer.send(status, *self._describe_refusal(status))
            self._linger()

    def _refuse_slow_head(self) -> None:
        self._refuse(408)

    def _linger(self) -> None:
        """Close after the answer has left; unread bytes would turn the close into a reset."""
        self._is_refused = True
        if self._transport:
            if self._transport.can_write_eof():
                # A client that has reset its connection leaves nothing to end.
                with contextlib.suppress(OSError):
                    self._transport.write_eof()
            self._set_timer(LINGER_SECONDS, self._transport.close)

    def _set_timer(self, seconds: float, action: Callable[[], None] | None) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, action) if action else None
