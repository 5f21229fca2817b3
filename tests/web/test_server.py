"""Check the server together with the client, and against peers that don't respond."""

import socket
import threading
import time
from collections.abc import Iterator

from turmericproxy.web import CallFailure, FailureStage, HttpClient, HttpServer
from turmericproxy.web.server import HttpRequest, HttpResponse, create_json_response


def test_streamed_and_plain_answers_are_complete() -> None:
    def handle(request: HttpRequest) -> HttpResponse:
        if request.path == "/stream":
            return HttpResponse(200, (b"part %d;" % n for n in range(3)))
        return create_json_response(201, {"body": (request.read_body(100) or b"").decode()})

    server = HttpServer("127.0.0.1:0", handle, threads=4)
    server.start()
    client = HttpClient(f"127.0.0.1:{server.port}")
    try:
        assert client.call_json("POST", "/", {"a": 1}) == (201, {"body": '{"a": 1}'})
        answer = client.open("GET", "/stream", fresh=True)
        assert not isinstance(answer, CallFailure)
        assert answer.read() == b"part 0;part 1;part 2;"
    finally:
        client.close()
        server.close()


def test_failure_stage_shows_whether_anything_was_sent() -> None:
    with socket.create_server(("127.0.0.1", 0)) as silent:
        port = silent.getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", read_timeout=0.2)
        failure = client.call_json("GET", "/")
        assert isinstance(failure, CallFailure) and failure.stage is FailureStage.ANSWER
    refused = HttpClient(f"127.0.0.1:{port}").call_json("GET", "/")
    assert isinstance(refused, CallFailure) and refused.is_unsent


def test_disconnected_client_is_detected_without_delay() -> None:
    seen: list[tuple[bool, float]] = []

    def handle(request: HttpRequest) -> HttpResponse:
        deadline = time.monotonic() + 5.0
        while time.monotonic() < deadline:
            started = time.monotonic()
            is_gone = request.is_client_gone()
            seen.append((is_gone, time.monotonic() - started))
            if is_gone:
                break
        return HttpResponse(204)

    server = HttpServer("127.0.0.1:0", handle, threads=2)
    server.start()
    try:
        with socket.create_connection(("127.0.0.1", server.port)) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: test\r\n\r\n")
            deadline = time.monotonic() + 5.0
            while not seen and time.monotonic() < deadline:
                time.sleep(0.01)
            assert seen and not seen[0][0]
        while not seen[-1][0] and time.monotonic() < deadline:
            time.sleep(0.01)
        assert seen[-1][0] and max(spent for _, spent in seen) < 1.0
    finally:
        server.close()


def test_fresh_call_uses_read_timeout_for_its_answer() -> None:
    released = threading.Event()

    def handle(_: HttpRequest) -> HttpResponse:
        released.wait(0.4)
        return create_json_response(200, {})

    server = HttpServer("127.0.0.1:0", handle, threads=2)
    server.start()
    client = HttpClient(f"127.0.0.1:{server.port}", connect_timeout=0.1, read_timeout=2.0)
    try:
        assert client.call_json("GET", "/", fresh=True) == (200, {})
        failure = client.call_json("GET", "/", read_timeout=0.2, fresh=True)
        assert isinstance(failure, CallFailure) and failure.stage is FailureStage.ANSWER
    finally:
        released.set()
        client.close()
        server.close()


def test_many_fast_streams_do_not_delay_a_plain_call() -> None:
    # In a burst of chats, threads produce pieces faster than the event loop writes them. If each
    # piece were a callback of its own, a plain call would wait behind all of them.
    streams, pieces = 60, 2000

    def produce() -> Iterator[bytes]:
        sender, receiver = socket.socketpair()
        with sender, receiver:
            for _ in range(pieces):
                # Releases the interpreter lock, as reading from an engine does.
                sender.sendall(b"x")
                receiver.recv(1)
                yield b"data: piece\n\n"

    def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, produce() if request.path == "/stream" else b"plain")

    server = HttpServer("127.0.0.1:0", handle, threads=streams + 4)
    server.start()
    client = HttpClient(f"127.0.0.1:{server.port}", read_timeout=30.0)
    connections = [
        socket.create_connection(("127.0.0.1", server.port), 30.0) for _ in range(streams)
    ]
    try:
        for connection in connections:
            connection.sendall(b"GET /stream HTTP/1.1\r\nHost: test\r\n\r\n")
        started = time.monotonic()
        answer = client.open("GET", "/plain", fresh=True)
        assert not isinstance(answer, CallFailure) and answer.read() == b"plain"
        assert time.monotonic() - started < 1.0
        assert server.active > 0, "the streams ended before the plain call was answered"
    finally:
        for connection in connections:
            connection.close()
        client.close()
        server.close()


def test_answer_is_delivered_if_the_server_closes_once_it_is_sent() -> None:
    def handle(_request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b"x" * 100, when_sent=threading.Thread(target=server.close).start)

    server = HttpServer("127.0.0.1:0", handle, threads=2)
    server.start()
    answer = HttpClient(f"127.0.0.1:{server.port}").open("GET", "/", fresh=True)
    assert not isinstance(answer, CallFailure)
    assert answer.read() == b"x" * 100
