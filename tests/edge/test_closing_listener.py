"""Check that connections and requests that the kernel has accepted outlast the end of listening."""

import asyncio
import socket

from tests.edge.support import GET, RecordingHandler, start_server

CONNECTIONS = 50


def open_blocking(port: int, data: bytes) -> socket.socket:
    """Connect and send without running the event loop, so that only the kernel knows of it."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=3.0)
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def receive(sock: socket.socket) -> bytes:
    """Return the first bytes received, or none if the connection is closed."""
    try:
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), 3.0)
    except ConnectionError:
        return b""
    finally:
        sock.close()


# Guards against connections that are reset because the server stops listening before it has
# accepted what the kernel has.
def test_connections_that_wait_to_be_accepted_are_served_after_close() -> None:
    async def run() -> tuple[bool, list[bytes]]:
        server = await start_server(RecordingHandler().handle)
        sockets = [open_blocking(server.port, GET) for _ in range(CONNECTIONS)]
        server.close()
        is_busy = server.is_busy
        return is_busy, [await receive(sock) for sock in sockets]

    is_busy, answers = asyncio.run(run())
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * CONNECTIONS
    assert is_busy


# Guards against a listener that stays open.
def test_closed_server_refuses_connections() -> None:
    async def run() -> None:
        server = await start_server(RecordingHandler().handle)
        port = server.port
        server.close()
        try:
            socket.create_connection(("127.0.0.1", port), timeout=3.0).close()
        except ConnectionRefusedError:
            return
        raise AssertionError("the listener is still open")

    asyncio.run(run())


# Guards against a connection that counts as idle, and is closed, while its request waits in the
# kernel because the event loop is late.
def test_unread_request_is_answered_when_idle_connections_are_closed() -> None:
    async def run() -> list[bytes]:
        server = await start_server(RecordingHandler().handle)
        loop = asyncio.get_running_loop()
        sockets = [open_blocking(server.port, GET) for _ in range(CONNECTIONS)]
        for sock in sockets:
            assert (await loop.sock_recv(sock, 65536)).startswith(b"HTTP/1.1 200")
        server.drain()
        for sock in sockets:
            sock.send(GET)
        server.close_idle()
        return [await receive(sock) for sock in sockets]

    answers = asyncio.run(run())
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * CONNECTIONS
