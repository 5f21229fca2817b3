"""Parse the requests of a client connection, rejecting ambiguous ones, and enforce limits."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools

from turmericproxy.core.memory import HeldKind, open_unlimited
from turmericproxy.edge.causes import Cause
from turmericproxy.edge.failures import answer_failure, log_dropped, refuse_unhandled
from turmericproxy.edge.head_account import HeadAccount
from turmericproxy.edge.head_checks import is_chunked, is_head_valid, read_length
from turmericproxy.edge.input_buffer import InputBuffer, InputTooLargeError
from turmericproxy.edge.limit_timer import LimitTimer, get_head_seconds, get_idle_seconds
from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import ClientRequest, Headers
from turmericproxy.edge.receiving import get_receive_buffer
from turmericproxy.edge.resources import EdgeResources
from turmericproxy.edge.sockets import limit_unsent
from turmericproxy.edge.unsent import UnsentWatch
from turmericproxy.edge.writer import AnswerWriter

Handler = Callable[[ClientRequest, AnswerWriter], Awaitable[None]]

# Queued pipelined requests at which reading from the connection is paused.
MAX_QUEUED_REQUESTS = 4
# Bytes behind a request that waits for its turn at which reading is paused. Up to there it goes
# on, so that the end of the connection is noticed.
MAX_UNPARSED_BYTES = 16 * 1024
# Seconds after which an answer that isn't read makes its connection one that may be closed for
# another; far above a round trip and some retransmitted packets.
STALLED_SECONDS = 5.0
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
    """Return an empty body, and after which time to repeat what was refused for lack of room."""
    is_temporary = status == HTTPStatus.SERVICE_UNAVAILABLE
    return [("Retry-After", "1")] if is_temporary else [], b""


_CAUSES = {
    HTTPStatus.BAD_REQUEST: Cause.UNREADABLE,
    HTTPStatus.REQUEST_TIMEOUT: Cause.SLOW_REQUEST,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: Cause.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: Cause.HEAD_TOO_LARGE,
    HTTPStatus.SERVICE_UNAVAILABLE: Cause.NO_ROOM,
}


class ClientConnection(asyncio.BufferedProtocol):
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
        resources: EdgeResources | None = None,
    ) -> None:
        self._resources = resources or EdgeResources()
        self._holding = open_unlimited()
        self._heads = HeadAccount(self._holding)
        self._handler = handler
        self._get_limits = get_limits
        self._is_draining = is_draining
        self._singleton_fields = SINGLETON_FIELDS + singleton_fields
        self._build_refusal = build_refusal
        self._loop = asyncio.get_running_loop()
        self._input = InputBuffer(self)
        self._unsent: UnsentWatch | None = None
        self._queue: deque[ClientRequest] = deque()
        self._timer = LimitTimer(get_limits)
        self._task: asyncio.Task[None] | None = None
        self._answer_writer: AnswerWriter | None = None
        self._transport: asyncio.Transport | None = None
        self._is_lost = False
        self._is_ending = False
        self._is_input_ignored = False
        self._is_lingering = False
        self._is_turn_due = False
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
        limit_unsent(transport, WRITE_BUFFER_BYTES)
        self._heads = HeadAccount(self._resources.memory.open(HeldKind.HEADS, self._read_peer()))
        self._first_request_due_at = self._loop.time() + FIRST_REQUEST_SECONDS
        self._timer.start_limit(get_idle_seconds, self._close_silent)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running handler, whose answer can no longer be delivered."""
        self._is_lost = True
        self._resources.connections.remove(self)
        self._timer.cancel()
        self._holding.close()
        self._input.close()
        self._heads.close()
        for request in self._queue:
            request.holding.close()
        self._queue.clear()
        if self._unsent:
            self._unsent.stop()
        if self._task:
            self._task.cancel()
        if self._answer_writer:
            self._answer_writer.resume()

    def pause_writing(self) -> None:
        """Pause the answer and watch its client while the write buffer is full."""
        if self._is_lost or self._transport is None:
            return
        if self._unsent is None:
            self._unsent = UnsentWatch(
                self._resources.memory.open(HeldKind.UNSENT, self._read_peer()),
                self._resources.unread_seconds,
                lambda: self._end_unread(Cause.UNREAD_ANSWER),
                lambda: self._end_unread(Cause.NO_ROOM_FOR_ANSWER),
            )
        self._unsent.start(self._transport)
        if self._answer_writer:
            self._answer_writer.pause()

    def resume_writing(self) -> None:
        """Resume the answer, or continue with the next request after it."""
        if self._unsent:
            self._unsent.stop()
        if self._transport and not self._transport.is_closing() and not self._is_lingering:
            self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self._answer_writer:
            self._answer_writer.resume()
        self._continue_in_turn()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the event loop's thread, of which a head uses a small part."""
        return get_receive_buffer(is_body=self._input.is_in_body)

    def buffer_updated(self, nbytes: int) -> None:
        """Process received bytes before the buffer is used again."""
        self.data_received(get_receive_buffer(is_body=True)[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes; refuse malformed or ambiguous input and close the connection."""
        if not self._is_input_ignored:
            self._parse(data)

    def eof_received(self) -> bool:
        """Close a half-closed connection; clients that wait for an answer keep both halves open."""
        self._watch_unsent()
        return False

    def _parse(self, data: bytes | memoryview = b"") -> None:
        """Parse received bytes and what waits before them, as far as it may begin."""
        limit = self._get_limits().head_bytes
        try:
            if data:
                self._input.add(data, limit)
            while not self._is_input_ignored and self._input.advance(limit, self._may_begin):
                pass
        except httptools.HttpParserError:
            self._refuse(400)
        except InputTooLargeError:
            self._refuse(431)
        if self._input.size:
            self._hold_input()

    def _may_begin(self, cost: int) -> bool:
        """Return whether a head with this estimated size is parsed now; refuse one without room."""
        is_ahead = self._task is not None or bool(self._queue)
        is_ahead = is_ahead or self._is_turn_due or self._is_blocked()
        if is_ahead:
            is_full = len(self._queue) >= MAX_QUEUED_REQUESTS
            if is_full or not self._heads.may_add_ahead(cost):
                return False
        if self._heads.add(cost):
            return True
        if not is_ahead:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        return False

    def _hold_input(self) -> None:
        """Account for input that is not parsed, and time its head or pause reading."""
        if not self._heads.hold_input(self._input.size):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if not self._is_receiving:
            self._is_receiving = True
            self._first_request_due_at = None
            if self._task is None and not self._input.is_head_waiting:
                self._timer.start_limit(get_head_seconds, self._refuse_slow_request)
        is_full = self._input.is_head_waiting and self._input.size >= MAX_UNPARSED_BYTES
        if is_full and self._transport:
            self._transport.pause_reading()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._start_message()
        self._is_receiving = True
        self._first_request_due_at = None

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
        elif not is_head_valid(
            self._input.parser, self._target, self._headers, self._singleton_fields
        ):
            self._refuse(400)
        elif read_length(self._headers) > limits.body_bytes:
            self._refuse(413)
        else:
            self._hold_body()
        if self._is_input_ignored:
            return  # the timer that closes the refused connection stays
        self._input.begin_body(None if is_chunked(self._headers) else read_length(self._headers))
        self._is_continue_due = (self._headers.get("expect") or "").lower() == "100-continue"
        self._begin_body()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._input.record_body()
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
        self._holding = self._resources.memory.open(HeldKind.BODIES, caller)
        self._resize_holding(read_length(self._headers))

    def _resize_holding(self, body_bytes: int) -> None:
        if not self._holding.resize(BODY_COPIES * body_bytes):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    def _read_peer(self) -> str:
        address = self._transport.get_extra_info("peername") if self._transport else None
        return str(address[0]) if address else ""

    def on_message_complete(self) -> None:
        """Queue the request and handle it if no other one is running."""
        self._input.end_message()
        if self._is_input_ignored:
            return
        self._timer.cancel()
        parser = self._input.parser
        request = ClientRequest(
            method=parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._loop.time(),
            is_http_10=parser.get_http_version() == "1.0",
            holding=self._holding,
        )
        self._holding = open_unlimited()
        self._start_message()
        self._queue.append(request)
        self._keep_alive = parser.should_keep_alive()
        self._resources.connections.record_request(self)
        if len(self._queue) >= MAX_QUEUED_REQUESTS and self._transport:
            self._transport.pause_reading()
        self._run_next()

    # Requests

    def close_idle(self) -> None:
        """Close the connection unless a request is expected, received or handled.

        A timer runs after the input that has arrived is read.
        """
        if not self._is_first_request_due() and self._is_idle():
            self._timer.start(0.0, self._close_silent)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is expected, received or handled, or an answer is unsent.

        While draining, an open connection is busy: its input must be read until it is closed.
        """
        if self._is_lost:
            return False
        if self._transport is None or self._is_draining():
            return True  # without a transport it is accepted, but not set up yet
        is_waited_for = self._is_receiving or self._queue or self._is_first_request_due()
        return bool(is_waited_for) or self._task is not None or self._is_answer_unsent()

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
            log_dropped(unanswered, "the server closes its connections")
        if self._transport:
            self._transport.abort()

    def _is_idle(self) -> bool:
        is_reading = self._is_receiving or self._is_input_ignored
        return self._task is None and not self._queue and not is_reading

    @property
    def is_evictable(self) -> bool:
        """Return whether no whole request is received, and no answer sent to a client that reads.

        Closing such a connection tells its client that the request has not run.
        """
        if self._transport is None or self._is_lost or self._is_lingering or self._task:
            return False
        if self._unsent and self._unsent.is_active:
            return self._unsent.measure_seconds() > STALLED_SECONDS
        return not self._queue and not self._input.is_head_waiting

    def _is_blocked(self) -> bool:
        """Return whether an answer has still to be passed to the kernel."""
        return self._unsent is not None and self._unsent.is_active

    def _watch_unsent(self) -> None:
        """Make the transport call ``resume_writing`` once all answers are passed to the kernel."""
        if self._transport:
            self._transport.set_write_buffer_limits(high=0)

    def _end_unread(self, cause: Cause) -> None:
        if self._is_blocked() and self._transport:
            self._resources.reporter.report(cause, peer=self._read_peer())
            self._transport.abort()

    def _close_silent(self) -> None:
        if self._transport and self._is_idle():
            self._watch_unsent()
            self._transport.close()

    def _begin_body(self) -> None:
        """Allow the client to send the body once no other answer is due, and time the body."""
        self._body_started_at = self._loop.time()
        if self._is_continue_due and (self._task is not None or self._queue):
            self._timer.cancel()
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

    def _run_next(self) -> None:
        may_run = self._is_ending or not (self._is_blocked() or self._is_turn_due)
        if self._task is None and self._queue and self._transport and may_run:
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
                refuse_unhandled(request, writer)
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
            self._heads.release_first(self._input.size)
            if not writer.is_finished and self._transport and not self._transport.is_closing():
                answer_failure(request, writer, reason)
            self._end_answer(writer)

    def _end_answer(self, writer: AnswerWriter) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            log_dropped(len(self._queue), "the answer before them broke off")
            return
        if not writer.keep_alive or not self._is_answer_to_follow():
            # While draining, a connection accepts no further request, even if its answer had
            # started before the drain without "Connection: close".
            log_dropped(len(self._queue), "the answer before them closes the connection")
            self._linger()
            return
        if transport.get_write_buffer_size():
            self._watch_unsent()
        self._continue_in_turn()

    def _continue_in_turn(self) -> None:
        """Continue at once, or when it is the connection's turn if it has sent requests ahead."""
        if not self._queue and not self._input.size:
            self._continue()
        elif not self._is_turn_due:
            self._is_turn_due = True
            self._resources.turns.add(self._continue)

    def _continue(self) -> None:
        """Continue with the next request, or with the refusal of what follows the last one."""
        self._is_turn_due = False
        transport = self._transport
        is_over = transport is None or transport.is_closing() or self._is_lingering
        if transport is None or is_over or self._task is not None:
            return
        if not self._queue and self._refusal_status is not None:
            self._send_refusal(self._refusal_status)
            return
        if not self._is_input_ignored:
            transport.resume_reading()
            if not self._input.is_head_waiting:
                self._set_input_timer()
        self._run_next()
        if self._input.size and not self._is_input_ignored:
            self._parse()

    # Refusals and timeouts

    def _refuse(self, status: int) -> None:
        """Refuse an unreadable request once all whole requests before it are answered."""
        if self._is_input_ignored or self._transport is None:
            return
        self._is_input_ignored = True
        self._resources.reporter.report(_CAUSES[HTTPStatus(status)], peer=self._read_peer())
        self._input.close()
        self._holding.close()
        self._heads.hold_input(0)
        self._body = bytearray()
        self._timer.cancel()
        self._refusal_status = status
        if self._task is None and not self._queue:
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
        self._is_input_ignored = self._is_lingering = True
        self._input.close()
        self._watch_unsent()
        if self._transport:
            if self._transport.can_write_eof():
                # Fails if the client has already reset the connection.
                with contextlib.suppress(OSError):
                    self._transport.write_eof()
            self._timer.start(LINGER_SECONDS, self._transport.close)

    def _set_input_timer(self) -> None:
        """Start the timer of the next input after an answer."""
        if not self._is_receiving:
            self._timer.start_limit(get_idle_seconds, self._close_silent)
        elif self._is_continue_due:
            self._begin_body()
        elif self._is_head_complete:
            self._set_body_timer()
        else:
            self._timer.start_limit(get_head_seconds, self._refuse_slow_request)

    def _set_body_timer(self) -> None:
        if self._transport and not self._transport.is_reading():
            return  # the client can't be late; the timer starts once reading is resumed
        seconds_since_head = self._loop.time() - self._body_started_at

        def get_seconds(limits: EdgeLimits) -> float:
            seconds_left = MAX_BODY_TIME_FACTOR * limits.idle_seconds - seconds_since_head
            return min(limits.idle_seconds, max(0.0, seconds_left))

        self._timer.start_limit(get_seconds, self._refuse_slow_request)
