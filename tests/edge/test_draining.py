"""Check that a draining server accepts no further request on an open connection."""

import asyncio

import pytest

from tests.edge.support import GET, start_server
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer
from turmericproxy.edge.connection import FIRST_REQUEST_SECONDS, LINGER_SECONDS


def test_connection_closes_after_the_answer_that_began_before_the_drain() -> None:
    requests = 0

    async def stream(request: ClientRequest, writer: AnswerWriter) -> None:
        nonlocal requests
        requests += 1
        writer.start(200, (), None)
        for _ in range(5):
            writer.write(b"event")
            await asyncio.sleep(0.02)
        writer.finish()

    async def run() -> bytes:
        server = await start_server(stream)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await reader.readuntil(b"event")
        server.drain()
        rest = await asyncio.wait_for(reader.read(-1), 3.0)
        writer.write(GET)
        await asyncio.sleep(0.1)
        return rest

    # The answer is complete, then the connection closes; a later request is not handled.
    assert asyncio.run(run()).endswith(b"0\r\n\r\n")
    assert requests == 1


def test_close_idle_closes_idle_connections() -> None:
    async def run() -> bytes:
        async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
            writer.send(200, ())

        server = await start_server(answer)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        server.drain()
        server.close_idle()
        return await asyncio.wait_for(reader.read(-1), 1.0)

    assert asyncio.run(run()) == b""


def test_server_is_busy_until_requests_are_read_and_answers_are_sent() -> None:
    async def run() -> list[bool]:
        body = b"x" * 20_000_000

        async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
            writer.send(200, (), body)

        server, states = await start_server(answer), []
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await asyncio.sleep(0.05)  # the server has accepted it
        states.append(server.is_busy)
        await asyncio.sleep(FIRST_REQUEST_SECONDS + 0.05)
        states.append(server.is_busy)
        writer.write(GET[:-2])
        await asyncio.sleep(0.05)
        states.append(server.is_busy)
        writer.write(GET[-2:])
        await asyncio.sleep(0.1)
        states.append(server.active == 0 and server.is_busy)
        await reader.readexactly(len(body))
        await asyncio.sleep(0.05)
        states.append(server.is_busy)
        return states

    assert asyncio.run(run()) == [True, False, True, True, False]


# Guards against an answer that is cut because the process ends while the transport, already
# closing, still has a part of it to send.
def test_draining_server_is_busy_until_a_slow_client_has_its_answer() -> None:
    body = b"x" * 20_000_000

    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        writer.send(200, (), body)

    async def run() -> list[bool]:
        server, states = await start_server(answer), []
        server.drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET)
        await asyncio.sleep(0.1)
        server.close_idle()
        await asyncio.sleep(0.1)
        states.append(server.is_busy)
        await asyncio.sleep(LINGER_SECONDS)
        states.append(server.is_busy)
        received = await reader.read(-1)
        assert received.endswith(body)
        writer.close()
        await asyncio.sleep(0.05)
        states.append(server.is_busy)
        return states

    assert asyncio.run(run()) == [True, True, False]


# Guards against a refusal that is destroyed by a reset: closing with unread input sends one.
def test_close_idle_lets_a_refused_client_finish_sending() -> None:
    async def run() -> tuple[bytes, bool]:
        async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
            writer.send(200, ())

        server = await start_server(answer, EdgeLimits(body_bytes=10))
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")
        await asyncio.sleep(0.05)
        server.drain()
        server.close_idle()
        await asyncio.sleep(0.05)
        is_busy = server.is_busy
        for _ in range(10):
            writer.write(b"x" * 100)
            await writer.drain()  # raises if the server has reset the connection
            await asyncio.sleep(0.01)
        received = await reader.read(-1)
        writer.close()
        return received, is_busy

    received, is_busy = asyncio.run(run())
    assert received.startswith(b"HTTP/1.1 413 ")
    assert is_busy


# Guards against whole requests that get neither an answer nor a refusal because the grace period
# ends before they do, also where the first one has only just been read.
@pytest.mark.parametrize("is_handled", [True, False])
def test_requests_that_outlast_the_grace_period_are_answered(is_handled: bool) -> None:
    is_read = asyncio.Event()

    async def wait(request: ClientRequest, writer: AnswerWriter) -> None:
        await asyncio.sleep(30.0)

    def get_limits() -> EdgeLimits:
        is_read.set()  # while the head is read
        return EdgeLimits()

    async def run() -> tuple[bytes, bool]:
        server = EdgeServer("127.0.0.1:0", wait, get_limits)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await asyncio.sleep(0.05)  # the connection has been set up
        is_read.clear()
        writer.write(GET * 3)
        await is_read.wait()
        if is_handled:
            await asyncio.sleep(0.05)
        server.drain()
        server.end_requests()
        received = await asyncio.wait_for(reader.read(-1), 3.0)
        writer.close()
        await asyncio.sleep(0.05)
        return received, server.is_busy

    received, is_busy = asyncio.run(run())
    # 503 promises that a request hasn't run.
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"500" if is_handled else b"503", b"503", b"503"]
    assert received.count(b"Connection: close") == 1
    assert not is_busy
