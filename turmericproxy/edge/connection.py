"""Parse the requests of a client connection, rejecting ambiguous ones, and enforce limits."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools

from turmericproxy.core.memory import HeldKind, MemoryAccount, open_unlimited
from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import ClientRequest, Headers
from turmericproxy.edge.writer import AnswerWriter
from turmericproxy.logs import Part, log_decision

Handler = Callable[[ClientRequest, AnswerWriter], Awaitable[None]]

# Queued pipelined requests at which reading from the connection is paused.
MAX_QUEUED_REQUESTS = 4
# Time between the last answer and closing the connection. Input that arrives is discarded:
# closing with unread input sends a reset, which can destroy the answer before it is read.
LINGER_SECONDS = 1.0
# Time after its start within which a connection counts as one whose first request is under way:
# some round trips and a retransmitted packet.
FIRST_REQUEST_SECONDS = 0.5
# A body must not be silent for longer than the idle timeout, and must be complete within this many
# of them, however little is sent at a time.
MAX_BODY_TIME_FACTOR = 4.0
WRITE_BUFFER_BYTES = 64 * 1024
# Copies of a body at the same time: as received, as the request has it, and in the message that is
# sent to an upstream.
BODY_COPIES = 3
# Fields that determine route, account or identity. A request that repeats one is ambiguous, since
# two programs may use different values.
SINGLETON_FIELDS = ("host", "authorization", "content-type")


# Returns the header fields and body of an error answer to an unreadable request, given its status.
RefusalBuilder = Callable[[int], tuple[list[tuple[str, str]], bytes]]


def build_empty_refusal(status: int) -> tuple[list[tuple[str, str]], bytes]:
    """Return no header fields and an empty body."""
    return [], b""


class ClientConnection(asyncio.Protocol):
    """Parse the requests of a client connection and handle them one at a time.

    ``get_limits`` returns the limits that currently apply; once ``is_draining`` returns true, the
    connection is closed after the answer to the last request that it has begun to read.
    ``singleton_fields`` are further header fields that may occur only once.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], EdgeLimits],
        is_draining: Callable[[], bool],
        singleton_fields: tuple[str, ...] = (),
        build_refusal: RefusalBuilder = build_empty_refusal,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._memory = memory or MemoryAccount()
        self._holding = open_unlimited()
        self._handler = handler
        self._get_limits = get_limits
        self._is_draining = is_draining
        self._singleton_fields = SINGLETON_FIELDS + singleton_fields
        self._build_refusal = build_refusal
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[ClientRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._answer_writer: AnswerWriter | None = None
        self._transport: asyncio.Transport | None = None
        self._is_lost = False
        self._is_ending = False
        self._is_input_ignored = False
        self._refusal_status: int | None = None
        self._is_receiving = False
        self._keep_alive = True
        self._first_request_due_at: float | None = None
        self._start_message()

    # Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._first_request_due_at = self._loop.time() + FIRST_REQUEST_SECONDS
        self._set_limit_timer(_get_idle_seconds, self._close_silent)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running handler, whose answer can no longer be delivered."""
        self._is_lost = True
        self._set_timer(0.0, None)
        self._holding.close()
        for request in self._queue:
            request.holding.close()
        self._queue.clear()
        if self._task:
            self._task.cancel()
        if self._answer_writer:
            self._answer_writer.resume()

    def pause_writing(self) -> None:
        """Pause the answer while the write buffer is full."""
        if self._answer_writer:
            self._answer_writer.pause()

    def resume_writing(self) -> None:
        """Resume the answer."""
        if self._answer_writer:
            self._answer_writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; refuse malformed or ambiguous input and close the connection."""
        if self._is_input_ignored:
            return
        if not self._is_head_complete:
            self._head_size += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._refuse(400)
        if not self._is_head_complete and self._head_size > self._get_limits().head_bytes:
            self._refuse(431)

    def eof_received(self) -> bool:
        """Close a half-closed connection; clients that wait for an answer keep both halves open."""
        return False

    def _parse(self, data: bytes) -> None:
        """Parse bytes; no upgrade is accepted, so that HTTP follows a request that offers one."""
        while data and not self._is_input_ignored:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                self._parser = httptools.HttpRequestParser(self)
                data = data[upgrade.args[0] :]

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request, and time its head if no answer is due before it."""
        self._start_message()
        self._is_receiving = True
        self._first_request_due_at = None
        if self._task is None and not self._is_input_ignored:
            self._set_limit_timer(_get_head_seconds, self._refuse_slow_request)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; ignore trailer fields."""
        if not self._is_head_complete:
            self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Validate the head and allow the client to send the body."""
        self._is_head_complete = True
        self._headers = Headers(self._fields)
        limits = self._get_limits()
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._fields)
        if size > limits.head_bytes:
            self._refuse(431)
        elif not self._is_head_valid():
            self._refuse(400)
        elif int(self._headers.get("content-length") or 0) > limits.body_bytes:
            self._refuse(413)
        else:
            self._hold_body()
        if self._is_input_ignored:
            return  # the timer that closes the refused connection stays
        self._is_continue_due = (self._headers.get("expect") or "").lower() == "100-continue"
        self._begin_body()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body
        if len(self._body) > self._get_limits().body_bytes:
            self._refuse(413)
        elif BODY_COPIES * len(self._body) > self._holding.size and not self._is_input_ignored:
            self._resize_holding(len(self._body))
        if not self._is_input_ignored:
            self._set_body_timer()

    def _hold_body(self) -> None:
        """Reserve memory for the body whose size is announced, or refuse the request."""
        caller = self._headers.get("authorization") or self._read_peer()
        self._holding = self._memory.open(HeldKind.BODIES, caller)
        self._resize_holding(int(self._headers.get("content-length") or 0))

    def _resize_holding(self, body_bytes: int) -> None:
        if not self._holding.resize(BODY_COPIES * body_bytes):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _read_peer(self) -> str:
        address = self._transport.get_extra_info("peername") if self._transport else None
        return str(address[0]) if address else ""

    def on_message_complete(self) -> None:
        """Queue the request and handle it if no other one is running."""
        if self._is_input_ignored:
            return
        self._set_timer(0.0, None)
        request = ClientRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._loop.time(),
            is_http_10=self._parser.get_http_version() == "1.0",
            holding=self._holding,
        )
        self._holding = open_unlimited()
        self._start_message()
        self._queue.append(request)
        self._keep_alive = self._parser.should_keep_alive()
        if len(self._queue) >= MAX_QUEUED_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._run_next()

    # Requests

    def close_idle(self) -> None:
        """Close the connection unless a request is expected, received or handled.

        A timer runs after the input that has arrived is read.
        """
        if not self._is_first_request_due() and self._is_idle():
            self._set_timer(0.0, self._close_silent)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is expected, received or handled, or an answer is unsent.

        While draining, an open connection is busy: its input must be read until it is closed.
        """
        if self._is_lost:
            return False
        if self._transport is None or self._is_draining():
            return True  # without a transport it is accepted, but not set up yet
        is_waited_for = self._is_receiving or self._is_first_request_due()
        return is_waited_for or self._task is not None or self._is_answer_unsent()

    def _is_first_request_due(self) -> bool:
        due_at = self._first_request_due_at
        return due_at is not None and self._loop.time() < due_at

    def _is_answer_unsent(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def end_requests(self) -> None:
        """Cancel the running handler, and refuse the queued requests after its answer."""
        self._is_ending = True
        if self._task:
            # Not at once: a task that is cancelled before its first step sends no answer.
            self._loop.call_soon(self._task.cancel)

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self._transport and not self._transport.is_closing():
            unanswered = len(self._queue) + (self._task is not None)
            self._log_dropped(unanswered, "the server closes its connections")
        if self._transport:
            self._transport.abort()

    def _is_idle(self) -> bool:
        is_reading = self._is_receiving or self._is_input_ignored
        return self._task is None and not is_reading

    def _close_silent(self) -> None:
        if self._transport and self._is_idle():
            self._transport.close()

    def _begin_body(self) -> None:
        """Allow the client to send the body once no other answer is due, and time the body."""
        self._body_started_at = self._loop.time()
        if self._is_continue_due and (self._task is not None or self._queue):
            self._set_timer(0.0, None)
            return
        if self._is_continue_due and self._transport:
            self._is_continue_due = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._set_body_timer()

    def _start_message(self) -> None:
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._headers = Headers()
        self._body = bytearray()
        self._head_size = 0
        self._is_head_complete = False
        self._is_continue_due = False
        self._is_receiving = False
        self._body_started_at = 0.0

    def _is_head_valid(self) -> bool:
        headers = self._headers
        is_http_11 = self._parser.get_http_version() == "1.1"
        if headers.count("host") != 1 and is_http_11:
            return False
        if not self._target.startswith(b"/"):
            return False
        if self._parser.should_upgrade() and self._is_body_announced():
            return False  # the parser would not read the body
        return all(headers.count(name) <= 1 for name in self._singleton_fields)

    def _is_body_announced(self) -> bool:
        headers = self._headers
        has_length = int(headers.get("content-length") or 0) > 0
        return has_length or headers.get("transfer-encoding") is not None

    def _run_next(self) -> None:
        if self._task is None and self._queue and self._transport:
            request = self._queue.popleft()
            self._answer_writer = AnswerWriter(
                self._transport,
                may_keep_alive=self._is_answer_to_follow,
                is_http_10=request.is_http_10,
            )
            self._task = self._loop.create_task(self._run(request, self._answer_writer))

    def _is_answer_to_follow(self) -> bool:
        """Return whether a further request is queued, expected or to be refused."""
        if self._queue:
            return True
        if not self._keep_alive:
            return False
        is_reading = self._is_receiving or self._refusal_status is not None
        return is_reading or not self._is_draining()

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        reason = "the handler returned before the end of its answer"
        try:
            if self._is_ending:
                self._refuse_unhandled(request, writer)
            else:
                await self._handler(request, writer)
        except asyncio.CancelledError:
            reason = "the host stops" if self._is_ending else "the handler was cancelled"
            task = asyncio.current_task()
            if task and task.cancelling():
                raise
        except Exception as error:  # the client must get an answer in any case
            reason = repr(error)
        finally:
            self._task = None
            request.holding.close()
            if not writer.is_finished and self._transport and not self._transport.is_closing():
                self._answer_failure(request, writer, reason)
            self._end_answer(writer)

    def _refuse_unhandled(self, request: ClientRequest, writer: AnswerWriter) -> None:
        log_decision(
            Part.CALLERS,
            "request not handled",
            method=request.method,
            path=request.path,
            reason="the host stops",
        )
        writer.send(HTTPStatus.SERVICE_UNAVAILABLE, ())

    def _answer_failure(self, request: ClientRequest, writer: AnswerWriter, reason: str) -> None:
        """Send an answer that doesn't say whether the request ran, or break a started one off."""
        is_started = writer.is_started
        log_decision(
            Part.CALLERS,
            "handler failed",
            method=request.method,
            path=request.path,
            reason=reason,
            answer_started=is_started,
        )
        if is_started:
            writer.abort()
        else:
            writer.send(HTTPStatus.INTERNAL_SERVER_ERROR, ())

    def _end_answer(self, writer: AnswerWriter) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            self._log_dropped(len(self._queue), "the answer before them broke off")
            return
        if not writer.keep_alive or not self._is_answer_to_follow():
            # While draining, a connection accepts no further request, even if its answer had
            # started before the drain without "Connection: close".
            self._log_dropped(len(self._queue), "the answer before them closes the connection")
            self._linger()
        elif not self._queue and self._refusal_status is not None:
            self._send_refusal(self._refusal_status)
        else:
            transport.resume_reading()
            self._set_input_timer()
            self._run_next()

    def _log_dropped(self, requests: int, reason: str) -> None:
        if requests:
            log_decision(Part.CALLERS, "requests dropped", requests=requests, reason=reason)

    # Refusals and timeouts

    def _refuse(self, status: int) -> None:
        """Refuse an unreadable request once all whole requests before it are answered."""
        if self._is_input_ignored or self._transport is None:
            return
        self._is_input_ignored = True
        self._holding.close()
        self._body = bytearray()
        self._set_timer(0.0, None)
        self._refusal_status = status
        if self._task is None:
            self._send_refusal(status)

    def _send_refusal(self, status: int) -> None:
        assert self._transport is not None
        writer = AnswerWriter(self._transport, may_keep_alive=lambda: False, is_http_10=False)
        writer.send(status, *self._build_refusal(status))
        self._linger()

    def _refuse_slow_request(self) -> None:
        self._refuse(408)

    def _linger(self) -> None:
        """Send EOF now and close the connection ``LINGER_SECONDS`` later."""
        self._is_input_ignored = True
        if self._transport:
            if self._transport.can_write_eof():
                # Fails if the client has already reset the connection.
                with contextlib.suppress(OSError):
                    self._transport.write_eof()
            self._set_timer(LINGER_SECONDS, self._transport.close)

    def _set_timer(self, seconds: float, action: Callable[[], None] | None) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, action) if action else None

    def _set_input_timer(self) -> None:
        """Start the timer of the next input after an answer."""
        if not self._is_receiving:
            self._set_limit_timer(_get_idle_seconds, self._close_silent)
        elif self._is_continue_due:
            self._begin_body()
        elif self._is_head_complete:
            self._set_body_timer()
        else:
            self._set_limit_timer(_get_head_seconds, self._refuse_slow_request)

    def _set_body_timer(self) -> None:
        if self._transport and not self._transport.is_reading():
            return  # the client can't be late; the timer starts once reading is resumed
        seconds_since_head = self._loop.time() - self._body_started_at

        def get_seconds(limits: EdgeLimits) -> float:
            seconds_left = MAX_BODY_TIME_FACTOR * limits.idle_seconds - seconds_since_head
            return min(limits.idle_seconds, max(0.0, seconds_left))

        self._set_limit_timer(get_seconds, self._refuse_slow_request)

    def _set_limit_timer(
        self, get_seconds: Callable[[EdgeLimits], float], action: Callable[[], None]
    ) -> None:
        """Call ``action`` after a time limit, and no sooner if a new configuration raises it."""
        started = self._loop.time()

        def check() -> None:
            seconds_left = started + get_seconds(self._get_limits()) - self._loop.time()
            if seconds_left > 0.0:
                self._set_timer(seconds_left, check)
            else:
                action()

        self._set_timer(get_seconds(self._get_limits()), check)


def _get_head_seconds(limits: EdgeLimits) -> float:
    return limits.head_seconds


def _get_idle_seconds(limits: EdgeLimits) -> float:
    return limits.idle_seconds
