"""Call HTTP services with urllib3 and report at which stage a call failed."""

import json
import select
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from http.client import HTTPException
from typing import Any

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from turmericproxy.web.heads import StrictConnection, StrictPool

HasData = Callable[[], bool]
# Decides whether to go on waiting for a silent service: returns the seconds to wait, or ``None``
# to end the call as timed out. Its argument tells whether data has arrived in the meantime.
SilenceHandler = Callable[[HasData], float | None]


class FailureStage(Enum):
    """Distinguish how far a failed call got."""

    CONNECT = "connect"
    SENT = "sent"
    ANSWER = "answer"


@dataclass(frozen=True)
class CallFailure:
    """Describe why a call failed; only the stage ``CONNECT`` proves that nothing was sent."""

    stage: FailureStage
    reason: str

    @property
    def is_unsent(self) -> bool:
        """Return whether no byte of the request can have reached the service."""
        return self.stage is FailureStage.CONNECT


class _WatchedSocket(socket.socket):
    """Socket that calls a handler whenever its timeout passes without data."""

    on_silence: SilenceHandler

    def recv_into(self, *arguments: Any) -> int:
        """Receive data into a buffer; raise ``TimeoutError`` only if the handler ends the wait."""
        timeout = self.gettimeout()
        seconds = timeout
        try:
            while seconds is not None:
                self.settimeout(seconds)
                try:
                    return super().recv_into(*arguments)
                except TimeoutError:
                    seconds = self.on_silence(self._has_data)
        finally:
            self.settimeout(timeout)
        raise TimeoutError("timed out")

    def _has_data(self) -> bool:
        """Return whether a read would not block, as there is data or the connection is closed."""
        poller = select.poll()
        poller.register(self, select.POLLIN)
        return bool(poller.poll(0))


class HttpClient:
    """Call one service at ``address``; timeouts are in seconds.

    With ``fresh`` set, a call opens a connection and closes it afterwards. Use it for calls that
    must not be repeated: the peer of an idle pooled connection may have become unreachable.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout: float = 0.5,
        read_timeout: float = 10.0,
        connections: int = 64,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._headers = dict(headers or {})
        self._timeout = urllib3.Timeout(connect=connect_timeout, read=read_timeout)
        self._connect_timeout = connect_timeout
        self._endpoint = (host, int(port))
        self._pool = StrictPool(
            host,
            int(port),
            maxsize=connections,
            block=False,
            timeout=self._timeout,
            retries=False,
        )

    def open(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        read_timeout: float | None = None,
        idle_timeout: float | None = None,
        on_silence: SilenceHandler | None = None,
        fresh: bool = False,
    ) -> urllib3.BaseHTTPResponse | CallFailure:
        """Send a request and return the answer with its body unread, or the failure.

        ``idle_timeout`` is the longest wait for further data of a body; it applies to fresh
        connections alone and defaults to ``read_timeout``. ``on_silence`` may extend both waits;
        it applies to fresh connections too. The caller has to return the connection to the pool
        with ``release_conn`` or to close it with ``close``.
        """
        limit = read_timeout or float(self._timeout.read_timeout or 0)
        sent = {**self._headers, **(headers or {})}
        if fresh:
            limits = (limit, idle_timeout or limit)
            return self._open_fresh(method, path, body, sent, limits, on_silence)
        try:
            return self._pool.urlopen(
                method,
                path,
                body=body,
                headers=sent,
                timeout=urllib3.Timeout(connect=self._connect_timeout, read=limit),
                preload_content=False,
                decode_content=False,
                redirect=False,
                retries=False,
            )
        except (HTTPError, OSError) as error:
            return _describe_failure(error)

    def _open_fresh(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
        limits: tuple[float, float],
        on_silence: SilenceHandler | None,
    ) -> urllib3.BaseHTTPResponse | CallFailure:
        """Send a request on a new connection, which is closed with the answer."""
        host, port = self._endpoint
        connection = StrictConnection(host, port, timeout=self._connect_timeout)
        try:
            connection.connect()
            if on_silence:
                connection.sock = _watch_socket(connection.sock, on_silence)
        except (HTTPError, OSError) as error:
            connection.close()
            return CallFailure(FailureStage.CONNECT, type(error).__name__)
        try:
            # Kept in a variable, since getresponse() may clear connection.sock while the body is
            # still to be read from the socket.
            sock = connection.sock
            connection.timeout, idle_timeout = limits
            sock.settimeout(connection.timeout)
            connection.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            answer = connection.getresponse()
            sock.settimeout(idle_timeout)
            return answer
        except TimeoutError as error:
            connection.close()
            return CallFailure(FailureStage.ANSWER, type(error).__name__)
        except (HTTPError, HTTPException, OSError) as error:
            connection.close()
            return CallFailure(FailureStage.SENT, type(error).__name__)

    def call_json(
        self,
        method: str,
        path: str,
        value: object = None,
        *,
        headers: Mapping[str, str] | None = None,
        read_timeout: float | None = None,
        fresh: bool = False,
    ) -> tuple[int, Any] | CallFailure:
        """Send ``value`` as JSON and return the status and decoded JSON body, or the failure."""
        body = None if value is None else json.dumps(value).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        answer = self.open(
            method, path, body=body, headers=sent, read_timeout=read_timeout, fresh=fresh
        )
        if isinstance(answer, CallFailure):
            return answer
        try:
            content = answer.read()
            answer.release_conn()
            if fresh:
                answer.close()
            return answer.status, json.loads(content) if content else None
        except (HTTPError, OSError, ValueError) as error:
            answer.close()
            return CallFailure(FailureStage.ANSWER, type(error).__name__)

    def close(self) -> None:
        """Close the idle connections of the pool."""
        self._pool.close()


def _watch_socket(sock: socket.socket, on_silence: SilenceHandler) -> socket.socket:
    """Move a connection to a socket that calls ``on_silence``."""
    watched = _WatchedSocket(fileno=sock.detach())
    watched.on_silence = on_silence
    return watched


def _describe_failure(error: Exception) -> CallFailure:
    if isinstance(error, NewConnectionError | ConnectTimeoutError):
        return CallFailure(FailureStage.CONNECT, type(error).__name__)
    if isinstance(error, ReadTimeoutError):
        return CallFailure(FailureStage.ANSWER, type(error).__name__)
    return CallFailure(FailureStage.SENT, type(error).__name__)
