"""Check that each request that was read whole is answered, and that no connection stays unread."""

import asyncio
import logging
import re
import time

import pytest

from tests.edge.support import RecordingHandler, exchange, start_server
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer
from turmericproxy.edge.connection import MAX_QUEUED_REQUESTS

HEAD_SECONDS = 0.2
TOO_LARGE = b"GET /large HTTP/1.1\r\nHost: a\r\nX-A: " + b"a" * 2000 + b"\r\n\r\n"
LIMITS = EdgeLimits(head_bytes=1000, body_bytes=1000, head_seconds=HEAD_SECONDS)
# Input that can't be read as a request, with the status that refuses it.
UNREADABLE = {
    "no HTTP": (b"\x16\x03\x01\x02\r\n\r\n", 400),
    "no host": (b"GET /unread HTTP/1.1\r\n\r\n", 400),
    "large head": (TOO_LARGE, 431),
    "large body": (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n", 413),
    "incomplete head": (b"GET /unread HTTP/1.1\r\nHost", 408),
}


def create_get(number: int, *fields: bytes) -> bytes:
    return b"\r\n".join([b"GET /%d HTTP/1.1" % number, b"Host: a", *fields, b"", b""])


async def answer_slowly(request: ClientRequest, writer: AnswerWriter) -> None:
    await asyncio.sleep(0.1)
    writer.send(200, (), request.target.encode())


def list_statuses(received: bytes) -> list[int]:
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]


def split_heads(received: bytes) -> list[bytes]:
    return [part.partition(b"\r\n\r\n")[0] for part in received.split(b"HTTP/1.1 ")[1:]]


# Guards against whole requests that are dropped, and a connection that stays open with its input
# ignored, when a request behind them can't be read.
@pytest.mark.parametrize("name", UNREADABLE)
@pytest.mark.parametrize("whole", [1, 3])
def test_unreadable_request_is_refused_after_the_answers_to_those_before_it(
    name: str, whole: int
) -> None:
    data, status = UNREADABLE[name]

    async def run() -> bytes:
        server = await start_server(answer_slowly, LIMITS)
        return await exchange(server.port, b"".join(map(create_get, range(whole))) + data, 3.0)

    started = time.monotonic()
    received = asyncio.run(run())
    assert list_statuses(received) == [200] * whole + [status]
    assert [b"Connection: close" in head for head in split_heads(received)] == [False] * whole + [
        True
    ]
    assert time.monotonic() - started < 2.5  # the server has closed the connection


# Guards against whole requests that are dropped because of input after the last request.
def test_input_after_the_last_request_drops_none_before_it() -> None:
    async def run() -> bytes:
        server = await start_server(answer_slowly)
        data = create_get(0) + create_get(1, b"Connection: close") + create_get(2)
        return await exchange(server.port, data, 3.0)

    assert list_statuses(asyncio.run(run())) == [200, 200]


# Guards against whole requests that are dropped since the answer before them closes a draining
# connection.
def test_queued_requests_are_answered_while_draining() -> None:
    async def run() -> bytes:
        server = await start_server(answer_slowly)
        server.drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(map(create_get, range(3))))
        await asyncio.sleep(0.05)
        writer.write(create_get(3))
        return await asyncio.wait_for(reader.read(-1), 5.0)

    received = asyncio.run(run())
    assert list_statuses(received) == [200] * 4
    closes = [b"Connection: close" in head for head in split_heads(received)]
    assert closes == [False, False, False, True]


# Guards against a request that is dropped because only a part of it was read when a draining
# connection had to say whether it closes.
def test_partly_received_request_is_answered_while_draining() -> None:
    head = b"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n"

    async def run() -> bytes:
        server = await start_server(answer_slowly)
        server.drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1) + head + b"a")
        received = await reader.readuntil(b"/1")
        writer.write(b"b")
        return received + await asyncio.wait_for(reader.read(-1), 5.0)

    received = asyncio.run(run())
    assert list_statuses(received) == [200, 200]
    assert [b"Connection: close" in head for head in split_heads(received)] == [False, True]


# Guards against a request that is dropped because only a part of it was read at the end of an
# answer that began before the drain, and against one that keeps a draining connection open.
@pytest.mark.parametrize(("rest", "status"), [(b"b", 200), (b"", 408)])
def test_partly_received_request_is_answered_after_a_stream(rest: bytes, status: int) -> None:
    async def stream(request: ClientRequest, writer: AnswerWriter) -> None:
        writer.start(200, (), None)
        await asyncio.sleep(0.1)
        writer.write(b"event")
        writer.finish()

    async def run() -> bytes:
        server = await start_server(stream, EdgeLimits(head_seconds=0.2, idle_seconds=0.2))
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1))
        received = await reader.readuntil(b"\r\n\r\n")
        server.drain()
        writer.write(b"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
        received += await reader.readuntil(b"0\r\n\r\n")
        writer.write(rest)
        return received + await asyncio.wait_for(reader.read(-1), 5.0)

    received = asyncio.run(run())
    assert list_statuses(received) == [200, status]
    assert b"Connection: close" in split_heads(received)[-1]


async def send_across_a_change(before: EdgeLimits, after: EdgeLimits, *parts: bytes) -> bytes:
    """Send two parts, with new limits and a pause between them; return what is received."""
    limits = [before]
    server = EdgeServer("127.0.0.1:0", answer_slowly, lambda: limits[0])
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(parts[0])
    await asyncio.sleep(0.2)  # a whole request in the first part is answered by then
    limits[0] = after
    await asyncio.sleep(0.5)
    writer.write(parts[1])
    received = await asyncio.wait_for(reader.readuntil(b"/last"), 3.0)
    writer.close()
    return received


LAST = b"GET /last HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"POST /last HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


# Guards against a connection that is closed, or a request that is refused, by a limit that no
# longer applies: clients reuse a connection within the limits in force.
@pytest.mark.parametrize(
    "parts", [(create_get(1), LAST), (LAST[:9], LAST[9:]), (BODY[:-2], BODY[-2:])]
)
def test_time_limits_that_a_configuration_raises_apply_at_once(parts: tuple[bytes, bytes]) -> None:
    before = EdgeLimits(head_seconds=0.4, idle_seconds=0.4)
    after = EdgeLimits(head_seconds=5.0, idle_seconds=5.0)
    received = asyncio.run(send_across_a_change(before, after, *parts))
    assert set(list_statuses(received)) == {200}


# Guards against a body that never ends because each of its parts renews the idle timeout.
def test_bound_of_a_whole_body_follows_the_limits_in_force() -> None:
    limits = [EdgeLimits(idle_seconds=10.0)]

    async def run() -> float:
        server = EdgeServer("127.0.0.1:0", answer_slowly, lambda: limits[0])
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n")
        await asyncio.sleep(0.1)
        limits[0] = EdgeLimits(idle_seconds=0.3)
        started = time.monotonic()
        answer = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
        while not answer.done():
            writer.write(b"x")
            await asyncio.sleep(0.1)
        assert (await answer).startswith(b"HTTP/1.1 408 ")
        return time.monotonic() - started

    assert asyncio.run(run()) < 2.0


# Guards against whole requests that are dropped, and one that is refused, because the idle timeout
# of a body ended while the server itself had paused reading.
def test_body_does_not_time_out_while_reading_is_paused() -> None:
    async def run() -> bytes:
        server = await start_server(answer_slowly, EdgeLimits(idle_seconds=0.05))
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(map(create_get, range(1 + MAX_QUEUED_REQUESTS))) + BODY[:-2])
        await asyncio.sleep(0.02)
        writer.write(BODY[-2:])
        received = await asyncio.wait_for(reader.readuntil(b"/last"), 3.0)
        writer.close()
        return received

    assert list_statuses(asyncio.run(run())) == [200] * (2 + MAX_QUEUED_REQUESTS)


# Guards against a body that is refused by the limit of a head since another answer has ended.
def test_limit_of_a_head_does_not_bind_a_body() -> None:
    async def run() -> bytes:
        limits = EdgeLimits(head_seconds=0.2, idle_seconds=3.0)
        server = await start_server(answer_slowly, limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1) + BODY[:-2])
        await asyncio.sleep(0.5)
        writer.write(BODY[-2:])
        received = await asyncio.wait_for(reader.readuntil(b"/last"), 3.0)
        writer.close()
        return received

    assert list_statuses(asyncio.run(run())) == [200, 200]


async def fail(request: ClientRequest, writer: AnswerWriter) -> None:
    raise RuntimeError("unexpected")


async def await_a_cancelled_future(request: ClientRequest, writer: AnswerWriter) -> None:
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def return_early(request: ClientRequest, writer: AnswerWriter) -> None:
    await asyncio.sleep(0)


async def write_invalid_field(request: ClientRequest, writer: AnswerWriter) -> None:
    writer.send(200, [("X-Reason", "\u2026")])


FAILURES = {
    "exception": fail,
    "cancelled dependency": await_a_cancelled_future,
    "no answer": return_early,
    "field that can't be encoded": write_invalid_field,
}


# Guards against a connection that is closed without an answer, along with the requests behind it,
# when a handler fails, or waits for something that is cancelled.
@pytest.mark.parametrize("name", FAILURES)
def test_failed_handler_is_answered_and_logged(name: str, caplog: pytest.LogCaptureFixture) -> None:
    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        handle = FAILURES[name] if request.target == "/0" else answer_slowly
        await handle(request, writer)

    async def run() -> bytes:
        server = await start_server(answer)
        return await exchange(server.port, create_get(0) + create_get(1, b"Connection: close"))

    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        received = asyncio.run(run())
    assert list_statuses(received) == [500, 200]
    messages = [r.getMessage() for r in caplog.records if r.name == "turmericproxy"]
    assert messages == ["callers: handler failed"]


# Guards against a broken answer that looks complete.
def test_handler_that_fails_within_its_answer_closes_the_connection() -> None:
    async def break_off(request: ClientRequest, writer: AnswerWriter) -> None:
        writer.start(200, (), None)
        writer.write(b"part")
        await asyncio.sleep(0.05)
        raise RuntimeError("unexpected")

    async def run() -> bytes:
        server = await start_server(break_off)
        return await exchange(server.port, create_get(0))

    received = asyncio.run(run())
    assert list_statuses(received) == [200]
    assert received.endswith(b"4\r\npart\r\n")


UPGRADE = (b"Connection: Upgrade", b"Upgrade: h2c")


# Guards against a connection whose input is ignored after a request that offers an upgrade.
@pytest.mark.parametrize("pause", [0.0, 0.2])
def test_offered_upgrade_is_ignored_and_the_next_request_is_answered(pause: float) -> None:
    async def run() -> bytes:
        server = await start_server(answer_slowly)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1, *UPGRADE))
        await asyncio.sleep(pause)
        writer.write(create_get(2, *UPGRADE) + LAST)
        received = await asyncio.wait_for(reader.readuntil(b"/last"), 3.0)
        writer.close()
        return received

    assert list_statuses(asyncio.run(run())) == [200, 200, 200]


# Guards against a request that is handled without its body, which is then read as a request: the
# parser takes all that follows a head with an upgrade for another protocol.
@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 2\r\n\r\nab", b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"],
)
def test_offered_upgrade_with_a_body_is_refused(body: bytes) -> None:
    handler = RecordingHandler()

    async def run() -> bytes:
        server = await start_server(handler.handle)
        head = b"\r\n".join([b"POST /1 HTTP/1.1", b"Host: a", *UPGRADE, b""])
        return await exchange(server.port, head + body + create_get(2))

    assert list_statuses(asyncio.run(run())) == [400]
    assert handler.requests == []


EXPECTING = b"POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"


async def stream_events(request: ClientRequest, writer: AnswerWriter) -> None:
    writer.start(200, (), None)
    for _ in range(5):
        writer.write(b"event")
        await asyncio.sleep(0.03)
    writer.finish()


# Guards against "100 Continue" in the middle of the answer to the request before it, and against a
# client that is refused while it waits for it.
@pytest.mark.parametrize("whole", [1, 3])
def test_permission_to_send_a_body_waits_for_the_answers_before_it(whole: int) -> None:
    async def run() -> bytes:
        server = await start_server(stream_events, EdgeLimits(head_seconds=0.1, idle_seconds=0.1))
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(map(create_get, range(whole))) + EXPECTING)
        received = await asyncio.wait_for(reader.readuntil(b"100 Continue\r\n\r\n"), 3.0)
        writer.write(b"ab")
        received += await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 3.0)
        writer.close()
        return received

    received = asyncio.run(run())
    assert list_statuses(received) == [200] * whole + [100, 200]
    assert received.count(b"5\r\nevent\r\n" * 5 + b"0\r\n\r\n") == whole + 1


# Guards against a client that is refused because it sends its body without waiting for permission.
def test_body_may_be_sent_without_permission() -> None:
    async def run() -> bytes:
        server = await start_server(stream_events)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1) + EXPECTING + b"a")
        await asyncio.sleep(0.05)
        writer.write(b"b" + create_get(2, b"Connection: close"))
        return await asyncio.wait_for(reader.read(-1), 3.0)

    assert list_statuses(asyncio.run(run())) == [200, 200, 200]


# Guards against an empty line between requests that counts as the start of a request, so that the
# connection is closed after the time limit of a head.
def test_empty_line_between_requests_begins_no_request() -> None:
    async def run() -> bytes:
        limits = EdgeLimits(head_seconds=0.1, idle_seconds=3.0)
        server = await start_server(answer_slowly, limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1))
        await asyncio.sleep(0.05)
        writer.write(b"\r\n")
        await asyncio.sleep(0.4)
        writer.write(LAST)
        received = await asyncio.wait_for(reader.readuntil(b"/last"), 3.0)
        writer.close()
        return received

    assert list_statuses(asyncio.run(run())) == [200, 200]


# What ends a connection, with the number of whole requests dropped and the reason that is logged.
DROPS = {
    "last answer": (2, "the answer before them closes the connection"),
    "broken answer": (2, "the answer before them broke off"),
    "server abort": (3, "the server closes its connections"),
}


# Guards against whole requests that are dropped without a trace in the log.
@pytest.mark.parametrize("closing", DROPS)
def test_dropped_requests_are_logged_with_the_reason(
    closing: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        writer.start(200, (), None)
        await asyncio.sleep(0.1)
        if closing == "last answer":
            writer.keep_alive = False
            writer.finish()
        else:
            writer.abort()

    async def run() -> None:
        server = await start_server(answer)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"".join(map(create_get, range(3))))
        await reader.readuntil(b"\r\n\r\n")
        if closing == "server abort":
            server.abort()
        await reader.read(-1)
        writer.close()
        await asyncio.sleep(0.05)

    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        asyncio.run(run())
    lines = [r for r in caplog.records if r.getMessage() == "callers: requests dropped"]
    assert [(r.requests, r.reason) for r in lines] == [DROPS[closing]]  # type: ignore[attr-defined]


# Guards against log lines for what is no loss: an answered request, an idle connection, and a
# client that closes its connection.
@pytest.mark.parametrize("is_client_gone", [True, False])
def test_nothing_is_logged_for_normal_requests(
    is_client_gone: bool, caplog: pytest.LogCaptureFixture
) -> None:
    async def run() -> None:
        server = await start_server(answer_slowly, EdgeLimits(idle_seconds=0.1))
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(create_get(1) + create_get(2))
        await reader.readuntil(b"/1")
        if not is_client_gone:
            await reader.read(-1)
        writer.close()
        await asyncio.sleep(0.1)
        server.abort()

    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        asyncio.run(run())
    assert [r for r in caplog.records if r.name == "turmericproxy"] == []
