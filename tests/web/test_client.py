"""Check the timeouts of calls that open a new connection."""

import socket
import threading
import time
from collections.abc import Callable

import pytest
from urllib3.exceptions import HTTPError

from turmericproxy.web import CallFailure, HttpClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"


def serve_once(answer: Callable[[socket.socket], None]) -> str:
    server = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        with server:
            connection, _ = server.accept()
        with connection:
            connection.recv(65_536)
            answer(connection)

    threading.Thread(target=run, daemon=True).start()
    return f"127.0.0.1:{server.getsockname()[1]}"


def test_head_may_take_longer_than_the_connect_timeout() -> None:
    def answer(connection: socket.socket) -> None:
        time.sleep(0.5)
        connection.sendall(HEAD + b"\r\ndone")

    client = HttpClient(serve_once(answer), connect_timeout=0.2, read_timeout=5.0)
    result = client.open("POST", "/", body=b"{}", fresh=True)
    assert not isinstance(result, CallFailure), result
    assert result.read() == b"done"


@pytest.mark.parametrize("header", [b"", b"Connection: close\r\n"])
def test_stalled_body_fails_after_the_idle_timeout(header: bytes) -> None:
    release = threading.Event()

    def answer(connection: socket.socket) -> None:
        connection.sendall(HEAD + header + b"\r\ndo")
        release.wait(10)

    client = HttpClient(serve_once(answer), read_timeout=5.0)
    result = client.open("POST", "/", body=b"{}", idle_timeout=0.2, fresh=True)
    assert not isinstance(result, CallFailure), result
    started = time.monotonic()
    with pytest.raises((HTTPError, OSError)):
        result.read()
    assert time.monotonic() - started < 2.0
    release.set()
