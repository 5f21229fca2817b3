"""Serve HTTP requests with a blocking handler that runs on a thread pool."""

import asyncio
import io
import json
import logging
import re
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, unquote

from turmericproxy.core import ResultCode, create_id, refuse
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeResources, EdgeServer
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.web.error_bodies import describe_refusal

# Default limit of a request body; larger ones are refused before the handler is called.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Interval at which a thread checks whether a slow client's write buffer has room again.
WRITE_POLL_SECONDS = 0.005
# Parts of a body that may wait in memory for the event loop before the producing thread blocks.
MAX_QUEUED_PARTS = 16
# Longest wait for the event loop's thread to end.
CLOSE_TIMEOUT_SECONDS = 5.0
_ESCAPED_SLASH = re.compile("%2f", re.IGNORECASE)
# Header fields that AnswerWriter sets itself.
_WRITER_FIELDS = frozenset({"connection", "content-length", "transfer-encoding"})


class Connection:
    """Expose a client connection's address and let a handler shut the connection down."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def getpeername(self) -> tuple[str, int]:
        """Return the IP address and port of the client."""
        peer: tuple[str, int] = self._socket.getpeername()
        return peer

    def shutdown(self, how: int) -> None:
        """Shut the connection down; ``how`` is as for ``socket.shutdown``."""
        self._socket.shutdown(how)


@dataclass(frozen=True)
class HttpRequest:
    """Describe a request; header names are in lower case, and ``target`` is as sent."""

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    query_string: str
    headers: Mapping[str, str]
    content_length: int | None
    body_stream: Any
    connection: Connection
    check_client_gone: Callable[[], bool] = lambda: False

    def read_body(self, limit: int) -> bytes | None:
        """Return the body, or ``None`` if it is longer than ``limit`` bytes."""
        if self.content_length is not None and self.content_length > limit:
            return None
        body: bytes = self.body_stream.read(limit + 1)
        return body if len(body) <= limit else None

    def is_client_gone(self) -> bool:
        """Return whether the client has closed the connection."""
        return self.check_client_gone()


@dataclass(frozen=True)
class HttpResponse:
    """Describe an answer; an iterable body is sent in chunks as it is produced.

    ``when_sent`` is called on the event loop once the whole answer has been passed to the
    transport.
    """

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: Mapping[str, str] = field(default_factory=dict)
    when_sent: Callable[[], None] = lambda: None


Field = tuple[str, str]
Handler = Callable[[HttpRequest], HttpResponse]


def create_json_response(
    status: int, value: object, headers: Mapping[str, str] | None = None
) -> HttpResponse:
    """Return an answer with ``value`` as its JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, body, {"Content-Type": "application/json", **(headers or {})})


class HttpServer:
    """Listen on one address and run a handler on a thread pool for each request.

    An event loop in a separate thread reads the requests, so that slow clients occupy no thread of
    the pool. ``timeout`` bounds, in seconds, the time for a head, the time for a body and the time
    between two requests. ``resources`` bound memory and connections.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        threads: int = 32,
        timeout: int = 30,
        body_bytes: int = MAX_BODY_BYTES,
        resources: EdgeResources | None = None,
    ) -> None:
        self._handler = handler
        limits = EdgeLimits(
            body_bytes=body_bytes, head_seconds=float(timeout), idle_seconds=float(timeout)
        )
        self._server = EdgeServer(
            address,
            self._answer,
            lambda: limits,
            build_refusal=_build_refusal,
            resources=resources,
        )
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="http", daemon=True)
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """Return the number of requests whose handler runs or whose answer is being sent."""
        return self._active

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return self._server.port

    def start(self) -> None:
        """Bind the address and serve; raise ``OSError`` if it can't be bound."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._server.start(), self._loop).result()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._thread.is_alive():
            asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(timeout=CLOSE_TIMEOUT_SECONDS)
        self._pool.shutdown(wait=False, cancel_futures=True)

    async def _close(self) -> None:
        self._server.close()
        self._server.abort()

    async def _answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        client = _ThreadWriter(writer, self._loop)
        self._count_active(1)
        handler_run = self._loop.run_in_executor(self._pool, self._run_handler, request, client)
        try:
            # A lost connection cancels this task but can't stop the thread, which ends at its next
            # write.
            await asyncio.shield(handler_run)
        finally:
            client.mark_gone()

    def _run_handler(self, request: ClientRequest, client: "_ThreadWriter") -> None:
        try:
            response = self._handler(_create_request(request, client))
            _send_response(response, client)
        except ClientGone:
            pass
        except Exception as error:  # an open connection would leave the client waiting
            log_event(Part.CALLERS, "handler failed", level=logging.ERROR, reason=repr(error))
            client.call(client.writer.abort)
        finally:
            self._count_active(-1)

    def _count_active(self, change: int) -> None:
        with self._lock:
            self._active += change


class ClientGone(Exception):
    """Signal that the client has closed the connection and its answer can't be delivered."""


class _ThreadWriter:
    """Write an answer from a handler's thread through the event loop.

    Queued parts are written in one call, so that a client's body has at most one callback waiting
    in the event loop: threads produce parts faster than the loop could write them one by one.
    """

    def __init__(self, writer: AnswerWriter, loop: asyncio.AbstractEventLoop) -> None:
        self.writer = writer
        self.is_gone = False
        self._loop = loop
        self._queue_changed = threading.Condition()
        self._parts: list[bytes] = []

    def call(self, action: Callable[..., None], *arguments: object) -> None:
        """Schedule a call on the event loop; raise ``ClientGone`` if the client has gone."""
        if self.is_gone:
            raise ClientGone
        self._loop.call_soon_threadsafe(self._call_unless_gone, action, arguments)

    def write(self, part: bytes) -> None:
        """Queue a part of the body; block while the queue or the write buffer is full."""
        with self._queue_changed:
            self._parts.append(part)
            if len(self._parts) == 1:
                self.call(self._write_parts)
            while len(self._parts) >= MAX_QUEUED_PARTS and not self.is_gone:
                self._queue_changed.wait()
        while self.writer.is_paused and not self.is_gone:
            time.sleep(WRITE_POLL_SECONDS)

    def mark_gone(self) -> None:
        """Record that the client has gone, and wake a blocked thread."""
        with self._queue_changed:
            self.is_gone = True
            self._queue_changed.notify_all()

    def _call_unless_gone(self, action: Callable[..., None], arguments: tuple[object, ...]) -> None:
        if not self.is_gone:
            action(*arguments)

    def _write_parts(self) -> None:
        with self._queue_changed:
            parts, self._parts = self._parts, []
            self._queue_changed.notify_all()
        self.writer.write(b"".join(parts))


def _create_request(request: ClientRequest, client: _ThreadWriter) -> HttpRequest:
    path, _, query_string = request.target.partition("?")
    headers: dict[str, str] = {}
    for name, value in request.headers:
        key = name.lower()
        headers[key] = f"{headers[key]},{value}" if key in headers else value
    return HttpRequest(
        method=request.method,
        path=_decode_path(path),
        target=request.target,
        query=dict(parse_qsl(query_string, keep_blank_values=True)),
        query_string=query_string,
        headers=headers,
        content_length=len(request.body) if "content-length" in headers else None,
        body_stream=io.BytesIO(request.body),
        connection=Connection(client.writer.connection),
        check_client_gone=lambda: client.is_gone,
    )


def _decode_path(path: str) -> str:
    # Decodes to Latin-1. An escaped slash stays escaped, since it doesn't separate segments.
    return "%2F".join(unquote(part, encoding="latin-1") for part in _ESCAPED_SLASH.split(path))


def _send_response(response: HttpResponse, client: _ThreadWriter) -> None:
    writer = client.writer
    fields = [(n, v) for n, v in response.headers.items() if n.lower() not in _WRITER_FIELDS]
    if response.headers.get("Connection", "").lower() == "close":
        writer.keep_alive = False
    if isinstance(response.body, bytes):
        client.call(_send_complete, writer, response, fields)
        return
    parts = response.body
    try:
        client.call(writer.start, response.status, fields, None)
        for part in parts:
            client.write(part)
        client.call(_finish_answer, writer, response)
    finally:
        close_parts = getattr(parts, "close", None)
        if close_parts:
            close_parts()


def _send_complete(writer: AnswerWriter, response: HttpResponse, fields: list[Field]) -> None:
    assert isinstance(response.body, bytes)
    writer.send(response.status, fields, response.body)
    # Called in the same iteration of the event loop: a client that has its answer may close the
    # connection before the next one.
    response.when_sent()


def _finish_answer(writer: AnswerWriter, response: HttpResponse) -> None:
    writer.finish()
    response.when_sent()


_REFUSAL_CODES = {
    408: ResultCode.REQUEST_TIMEOUT,
    413: ResultCode.BODY_TOO_LARGE,
    503: ResultCode.OVERLOADED,
}


def _build_refusal(status: int) -> tuple[list[tuple[str, str]], bytes]:
    """Return header fields and body of the error for an unreadable request, and log it."""
    request_id = create_id()
    code = _REFUSAL_CODES.get(status, ResultCode.BAD_REQUEST)
    refusal = refuse(code, "the request can't be read, or is over a limit")
    log_decision(Part.CALLERS, "request can't be read", request_id=request_id, code=int(code))
    body = json.dumps(describe_refusal(refusal), separators=(",", ":")).encode()
    fields = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
    if code is ResultCode.OVERLOADED:
        fields.append(("Retry-After", "1"))
    return fields, body
