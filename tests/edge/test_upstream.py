"""Check how answers, connection failures and timeouts of upstreams are classified."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from turmericproxy.edge import PersistentConnection, call_upstream, fetch, upstream
from turmericproxy.edge.upstream import TIMED_OUT, EndKind, NotConnected

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def start_upstream(handle: ConnectionHandler) -> tuple[asyncio.Server, str]:
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def read_all(answer: bytes, *, reset: bool = False) -> tuple[int | None, bytes, EndKind]:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    _, address = await start_upstream(handle)
    called = await call_upstream(address, REQUEST, connect_timeout=1.0)
    assert not isinstance(called, NotConnected)
    with called as call:
        head = await call.read_head()
        body = b""
        while isinstance(part := await call.read_part(), bytes):
            body += part
        return head.status if head else None, body, part


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", (200, b"ok", EndKind.COMPLETE)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", (200, b"ok", EndKind.BROKEN)),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            (200, b"ok", EndKind.COMPLETE),
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            (200, b"ok", EndKind.BROKEN),
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the end", (200, b"until the end", EndKind.COMPLETE)),
        (b"no answer at all\r\n\r\n", (None, b"", EndKind.BROKEN)),
        (b"", (None, b"", EndKind.BROKEN)),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            (200, b"ok", EndKind.COMPLETE),
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
            b"Content-Length: 5\r\n\r\nextra",
            (200, b"ok", EndKind.COMPLETE),
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokjunk", (200, b"ok", EndKind.COMPLETE)),
    ],
)
def test_complete_and_broken_answers_are_distinguished(
    answer: bytes, expected: tuple[int | None, bytes, EndKind]
) -> None:
    assert asyncio.run(read_all(answer)) == expected


def test_answer_without_length_that_is_reset_is_not_complete() -> None:
    status, _, end = asyncio.run(read_all(b"HTTP/1.1 200 OK\r\n\r\npart", reset=True))
    assert (status, end) == (200, EndKind.BROKEN)


def test_refused_and_timed_out_connections_are_distinguished() -> None:
    async def run() -> tuple[str, str]:
        server, address = await start_upstream(lambda reader, writer: asyncio.sleep(0))
        server.close()
        await server.wait_closed()
        refused = await call_upstream(address, REQUEST, connect_timeout=0.5)
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            # Once the accept queue is full, the kernel drops further connection attempts.
            full_address = f"127.0.0.1:{full.getsockname()[1]}"
            results = [
                await call_upstream(full_address, REQUEST, connect_timeout=0.2) for _ in range(3)
            ]
            timed_out = results[-1]
        assert isinstance(refused, NotConnected)
        assert isinstance(timed_out, NotConnected)
        return refused.reason, timed_out.reason

    refused, timed_out = asyncio.run(run())
    assert "Refused" in refused
    assert timed_out == TIMED_OUT


# A connection that was reset right after it was established raised an error nobody expected.
def test_connection_that_is_reset_at_once_is_not_connected(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_closed(transport: asyncio.BaseTransport, milliseconds: int) -> None:
        raise OSError(9, "Bad file descriptor")

    monkeypatch.setattr(upstream, "set_user_timeout", raise_closed)

    async def run() -> object:
        async with await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            return await call_upstream(f"127.0.0.1:{port}", b"", connect_timeout=1.0)

    called = asyncio.run(run())
    assert isinstance(called, NotConnected) and not called.is_refused


def test_persistent_connection_is_reused_and_reopened_after_a_close() -> None:
    connections = 0

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        for _ in range(3):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def run() -> list[object]:
        _, address = await start_upstream(handle)
        connection = PersistentConnection(address)
        answers = []
        for _ in range(6):
            answer = await connection.fetch(REQUEST, connect_timeout=0.5, timeout=0.5)
            answers.append(answer if isinstance(answer, str) else answer[1])
            await asyncio.sleep(0.02)
        connection.close()
        return answers

    answers = asyncio.run(run())
    assert answers == [b"ok"] * 6
    assert connections == 2


def test_fetch_times_out_without_an_answer() -> None:
    async def run() -> object:
        _, address = await start_upstream(lambda reader, writer: asyncio.sleep(5))
        return await fetch(address, REQUEST, connect_timeout=0.5, timeout=0.1)

    assert asyncio.run(run()) == "no answer in time"


def test_second_copy_of_an_answer_is_not_taken_for_the_next_one() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            path = head.split()[1]
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(path), path)
            writer.write(answer)
            await asyncio.sleep(0.02)
            writer.write(answer)

    async def run() -> list[bytes]:
        _, address = await start_upstream(handle)
        connection, bodies = PersistentConnection(address), []
        for number in range(3):
            data = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number
            answer = await connection.fetch(data, connect_timeout=1.0, timeout=1.0)
            assert not isinstance(answer, str)
            bodies.append(answer[1])
            await asyncio.sleep(0.05)
        connection.close()
        return bodies

    assert asyncio.run(run()) == [b"/0", b"/1", b"/2"]


@pytest.mark.parametrize("part", [b"X-Field: value\r\n", b"x"])
def test_endless_head_is_broken_off(part: bytes) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nX: ")
        while not writer.is_closing():
            writer.write(part * 1000)
            await writer.drain()

    async def run() -> None:
        _, address = await start_upstream(handle)
        called = await call_upstream(address, REQUEST, connect_timeout=1.0)
        assert not isinstance(called, NotConnected)
        with called as call:
            assert await asyncio.wait_for(call.read_head(), 5.0) is None

    asyncio.run(run())


def test_endless_answer_that_is_read_whole_is_broken_off() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"x" * 65536)
            await writer.drain()

    async def run() -> None:
        _, address = await start_upstream(handle)
        answer = await fetch(address, REQUEST, connect_timeout=1.0, timeout=10.0)
        assert answer == "the answer exceeds the size limit"

    asyncio.run(run())


async def count_endless_bytes(start: bytes, part: bytes) -> tuple[int, object]:
    """Return how many bytes an upstream could send after ``start``, and how the answer ended."""
    sent = 0

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while not writer.is_closing():
            writer.write(part * (65536 // len(part)))
            sent += 65536
            await writer.drain()

    _, address = await start_upstream(handle)
    called = await call_upstream(address, REQUEST, connect_timeout=1.0)
    assert not isinstance(called, NotConnected)
    with called as call:
        await asyncio.wait_for(call.read_head(), 5.0)
        end = await asyncio.wait_for(call.read_body(), 5.0)
        await asyncio.sleep(0.3)
        return sent, end


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", b"x"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"x"),
    ],
    ids=["interim answers", "trailer", "trailers", "chunk extension"],
)
def test_endless_bytes_that_are_no_body_are_broken_off(start: bytes, part: bytes) -> None:
    """Guard against a call that reads until its deadline: bytes of no answer may have no end."""
    _, end = asyncio.run(count_endless_bytes(start, part))
    assert isinstance(end, str)


def test_endless_bytes_after_an_answer_are_not_read() -> None:
    """Guard against the processor time of reading what belongs to no request until the close."""
    start = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    sent, end = asyncio.run(count_endless_bytes(start, b"x"))
    assert end == b"ok"
    assert sent < 32 * 1024 * 1024
