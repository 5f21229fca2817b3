"""Test that links are cut and healed, and connections stalled, by name."""

import socket
import threading
from collections.abc import Iterator

import pytest

from turmericproxy.bench.relay import Relay


@pytest.fixture
def echo_address() -> Iterator[str]:
    server = socket.create_server(("127.0.0.1", 0))

    def serve(connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(1024):
                connection.sendall(data)

    def accept() -> None:
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{server.getsockname()[1]}"
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@pytest.fixture
def relay() -> Iterator[Relay]:
    started = Relay(lambda accepted: "host-a")
    yield started
    started.close()


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=0.3)


def exchange(connection: socket.socket, data: bytes) -> bytes | None:
    connection.sendall(data)
    try:
        return connection.recv(1024)
    except TimeoutError:
        return None


def test_cut_holds_bytes_back_until_healed(relay: Relay, echo_address: str) -> None:
    with connect(relay.open_target("engine-1", echo_address)) as connection:
        assert exchange(connection, b"one") == b"one"
        relay.cut("host-a->engine-*")
        assert exchange(connection, b"two") is None
        relay.heal("host-a->engine-*")
        connection.settimeout(5)
        assert connection.recv(1024) == b"two"


def test_stalled_connection_stays_stalled_while_new_ones_work(
    relay: Relay, echo_address: str
) -> None:
    address = relay.open_target("engine-1", echo_address)
    with connect(address) as old:
        assert exchange(old, b"one") == b"one"
        assert relay.stall_connections("*->engine-1") >= 1
        assert exchange(old, b"two") is None
        with connect(address) as newer:
            assert exchange(newer, b"three") == b"three"


def test_end_of_connection_is_passed_on(relay: Relay, echo_address: str) -> None:
    with connect(relay.open_target("engine-1", echo_address)) as connection:
        connection.shutdown(socket.SHUT_WR)
        assert connection.recv(1024) == b""
