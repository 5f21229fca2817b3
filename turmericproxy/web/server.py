"""Serve HTTP requests through one handler function that runs on threads."""

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
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.web.error_bodies import describe_refusal

# Bodies beyond this are refused before a handler sees them, in bytes.
LARGEST_BODY_BYTES = 32 * 1024 * 1024
# Seconds between two looks at a client that reads slowly.
PAUSE_SECONDS = 0.005
# Parts of a body that a thread may be ahead of the event loop; what waits is held in memory.
PARTS_AHEAD = 16
CLOSE_SECONDS = 5.0
_ESCAPED_SLASH = re.compile("%2f", re.IGNORECASE)
# Fields that the transport writes itself.
_OWN_FIELDS = frozenset({"connection", "content-length", "transfer-encoding"})


class Connection:
    """Name the connection of a client, and cut it."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def getpeername(self) -> tuple[str, int]:
        """Return IP and port of the client."""
        peer: tuple[str, int] = self._socket.getpeername()
        return peer

    def shutdown(self, how: int) -> None:
        """Shut the connection down as ``socket.shutdown`` does."""
        self._socket.shutdown(how)


@dataclass(frozen=True)
class HttpRequest:
    """Hold one request; header names are in lower case, and ``target`` is as it was sent."""

    method: str
    path: str
    target: str
    query: Mapping[str, str]
    query_string: str
    headers: Mapping[str, str]
    content_length: int | None
    body_stream: Any
    connection: Connection
    tell_gone: Callable[[], bool] = lambda: False

    def read_body(self, limit: int) -> bytes | None:
        """Return the body, or ``None`` if it is longer than ``limit`` bytes."""
        if self.content_length is not None and self.content_length > limit:
            return None
        body: bytes = self.body_stream.read(limit + 1)
        return body if len(body) <= limit else None

    def is_client_gone(self) -> bool:
        """Return whether the client has closed the connection."""
        return self.tell_gone()


@dataclass(frozen=True)
class HttpResponse:
    """Hold one answer; an iterable body is sent in chunks as it comes.

    ``when_sent`` is called on the event loop once all has been written to the connection.
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
    """Return an answer whose body is ``value`` in JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, body, {"Content-Type": "application/json", **(headers or {})})


class HttpServer:
    """Run a handler on a pool of threads behind one listening address.

    Requests are read on an event loop of its own, so that slow clients take no thread. ``timeout``
    is the longest time for a head, and for the silence of a kept connection, in seconds.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        threads: int = 32,
        timeout: int = 30,
        body_bytes: int = LARGEST_BODY_BYTES,
    ) -> None:
        self._handler = handler
        limits = EdgeLimits(
            body_bytes=body_bytes, head_seconds=float(timeout), idle_seconds=float(timeout)
        )
        self._server = EdgeServer(
            address, self._answer, lambda: limits, build_refusal=_build_refusal
        )
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="http")
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, name="http", daemon=True)
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """Return how many requests have not yet been answered to the last byte."""
        return self._active

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return self._server.port

    def start(self) -> None:
        """Bind the address and serve; an address that is taken raises ``OSError``."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._server.start(), self._loop).result()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._thread.is_alive():
            asyncio.run_coroutine_threadsafe(self._close(), self._loop).result()
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(timeout=CLOSE_SECONDS)
        self._pool.shutdown(wait=False, cancel_futures=True)

    async def _close(self) -> None:
        self._server.close()
        self._server.abort()

    async def _answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        client = _Client(writer, self._loop)
        self._count_active(1)
        job = self._loop.run_in_executor(self._pool, self._run_handler, request, client)
        try:
            # A client that leaves ends this task; the thread notices and ends by itself.
            await asyncio.shield(job)
        finally:
            client.leave()

    def _run_handler(self, request: ClientRequest, client: "_Client") -> None:
        try:
            response = self._handler(_create_request(request, client))
            _send_response(response, client)
        except ClientGone:
            pass
        except Exception as error:  # the connection must end, whatever the handler does
            log_event(Part.CALLERS, "handler failed", level=logging.ERROR, reason=repr(error))
            client.call(client.writer.abort)
        finally:
            self._count_active(-1)

    def _count_active(self, change: int) -> None:
        with self._lock:
            self._active += change


class ClientGone(Exception):
    """Say that nobody reads an answer any more."""


class _Client:
    """Write to a client from a thread.

    Parts are written together once the event loop gets to them, so that each client has at most
    one entry in the loop's queue: threads produce parts faster than one loop writes them singly.
    """

    def __init__(self, writer: AnswerWriter, loop: asyncio.AbstractEventLoop) -> None:
        self.writer = writer
        self.is_gone = False
        self._loop = loop
        self._changed = threading.Condition()
        self._parts: list[bytes] = []

    def call(self, action: Callable[..., None], *arguments: object) -> None:
        """Do something on the event loop, unless the client has left."""
        if self.is_gone:
            raise ClientGone
        self._loop.call_soon_threadsafe(self._call_there, action, arguments)

    def write(self, part: bytes) -> None:
        """Hand over a part of the body, and wait while too much waits to be written."""
        with self._changed:
            self._parts.append(part)
            if len(self._parts) == 1:
                self.call(self._write_parts)
            while len(self._parts) >= PARTS_AHEAD and not self.is_gone:
                self._changed.wait()
        while self.writer.is_paused and not self.is_gone:
            time.sleep(PAUSE_SECONDS)

    def leave(self) -> None:
        """Say that nobody reads any more."""
        with self._changed:
            self.is_gone = True
            self._changed.notify_all()

    def _call_there(self, action: Callable[..., None], arguments: tuple[object, ...]) -> None:
        if not self.is_gone:
            action(*arguments)

    def _write_parts(self) -> None:
        with self._changed:
            parts, self._parts = self._parts, []
            self._changed.notify_all()
        self.writer.write(b"".join(parts))


def _create_request(request: ClientRequest, client: _Client) -> HttpRequest:
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
        tell_gone=lambda: client.is_gone,
    )


def _decode_path(path: str) -> str:
    # The bytes of the path as Latin-1; an escaped slash stays escaped, as it divides nothing.
    return "%2F".join(unquote(part, encoding="latin-1") for part in _ESCAPED_SLASH.split(path))


def _send_response(response: HttpResponse, client: _Client) -> None:
    writer = client.writer
    fields = [(n, v) for n, v in response.headers.items() if n.lower() not in _OWN_FIELDS]
    if response.headers.get("Connection", "").lower() == "close":
        writer.keep_alive = False
    if isinstance(response.body, bytes):
        client.call(_send_whole, writer, response, fields)
        return
    parts = response.body
    try:
        client.call(writer.start, response.status, fields, None)
        for part in parts:
            client.write(part)
        client.call(_finish, writer, response)
    finally:
        close_parts = getattr(parts, "close", None)
        if close_parts:
            close_parts()


def _send_whole(writer: AnswerWriter, response: HttpResponse, fields: list[Field]) -> None:
    assert isinstance(response.body, bytes)
    writer.send(response.status, fields, response.body)
    # In the same turn of the event loop, as a client that has its answer may leave before the next.
    response.when_sent()


def _finish(writer: AnswerWriter, response: HttpResponse) -> None:
    writer.finish()
    response.when_sent()


_REFUSAL_CODES = {
    408: ResultCode.REQUEST_TIMEOUT,
    413: ResultCode.BODY_TOO_LARGE,
}


def _build_refusal(status: int) -> tuple[list[tuple[str, str]], bytes]:
    """Return the numbered error for a request that could not be read, and log it."""
    request_id = create_id()
    code = _REFUSAL_CODES.get(status, ResultCode.BAD_REQUEST)
    refusal = refuse(code, "the request can't be read, or is over a limit")
    log_decision(Part.CALLERS, "request can't be read", request_id=request_id, code=int(code))
    body = json.dumps(describe_refusal(refusal), separators=(",", ":")).encode()
    return [("Content-Type", "application/json"), ("X-Request-Id", request_id)], body
