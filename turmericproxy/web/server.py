"""Serve HTTP requests with cheroot through one handler function."""

import json
import select
import socket
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

from cheroot import wsgi


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
    connection: socket.socket

    def read_body(self, limit: int) -> bytes | None:
        """Return the body, or ``None`` if it is longer than ``limit`` bytes."""
        if self.content_length is not None and self.content_length > limit:
            return None
        body: bytes = self.body_stream.read(limit + 1)
        return body if len(body) <= limit else None

    def is_client_gone(self) -> bool:
        """Return whether the client has closed the connection."""
        try:
            poll = select.poll()
            poll.register(self.connection, select.POLLIN)
            # A socket with a timeout would wait in recv, so recv is asked only when it is ready.
            if not poll.poll(0):
                return False
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True


@dataclass(frozen=True)
class HttpResponse:
    """Hold one answer; an iterable body is sent in chunks as it comes."""

    status: int
    body: bytes | Iterable[bytes] = b""
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[HttpRequest], HttpResponse]


def create_json_response(
    status: int, value: object, headers: Mapping[str, str] | None = None
) -> HttpResponse:
    """Return an answer whose body is ``value`` in JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status, body, {"Content-Type": "application/json", **(headers or {})})


class _Gateway(wsgi.Gateway_10):
    """Pass the connection's socket on to the application."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        environ: dict[str, Any] = super().get_environ()
        environ["turmericproxy.socket"] = self.req.conn.socket
        return environ


def _create_request(environ: dict[str, Any]) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    length = environ.get("CONTENT_LENGTH")
    query_string = environ.get("QUERY_STRING", "")
    return HttpRequest(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        target=environ.get("REQUEST_URI", environ["PATH_INFO"]),
        query=dict(parse_qsl(query_string, keep_blank_values=True)),
        query_string=query_string,
        headers=headers,
        content_length=int(length) if length else None,
        body_stream=environ["wsgi.input"],
        connection=environ["turmericproxy.socket"],
    )


class HttpServer:
    """Run a handler on a pool of threads behind one listening address.

    ``timeout`` is the longest silence of a client while a request is read or kept alive, in
    seconds.
    """

    def __init__(
        self, address: str, handler: Handler, *, threads: int = 32, timeout: int = 30
    ) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._server = wsgi.Server(
            (host, int(port)),
            self._run_application,
            numthreads=threads,
            max=threads,
            timeout=timeout,
            request_queue_size=512,
            accepted_queue_size=4096,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._thread: threading.Thread | None = None
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """Return how many requests have not yet been answered to the last byte."""
        return self._active

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Bind the address and serve in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop listening and end the threads."""
        self._server.stop()
        if self._thread:
            self._thread.join(timeout=5)

    def _run_application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        self._count_active(1)
        try:
            response = self._handler(_create_request(environ))
        except BaseException:
            self._count_active(-1)
            raise
        headers = dict(response.headers)
        body = response.body
        if isinstance(body, bytes):
            headers["Content-Length"] = str(len(body))
            body = (body,)
        status = f"{response.status} {_get_phrase(response.status)}"
        start_response(status, list(headers.items()))
        return _SentBody(body, lambda: self._count_active(-1))

    def _count_active(self, change: int) -> None:
        with self._lock:
            self._active += change


class _SentBody:
    """Run an action when the server has sent the last part of a body or given it up."""

    def __init__(self, parts: Iterable[bytes], action: Callable[[], None]) -> None:
        self._parts = parts
        self._action = action

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Close the parts; the server calls this once."""
        try:
            close_parts = getattr(self._parts, "close", None)
            if close_parts:
                close_parts()
        finally:
            self._action()


def _get_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
