"""Check the bounds on what a client can make a server hold, and that requests within them pass."""

import asyncio
import socket

import pytest

from tests.edge.support import GET, RecordingHandler, exchange
from turmericproxy.core.memory import HeldKind, MemoryAccount
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeResources, EdgeServer
from turmericproxy.edge.causes import Cause, CauseReporter
from turmericproxy.edge.connection_table import ConnectionTable

LIMITS = EdgeLimits()
START = b"POST / HTTP/1.1\r\nHost: a\r\n"
MEMORY_BYTES = 50_000_000
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


def create_resources(connections: float = 100, unread_seconds: float = 60.0) -> EdgeResources:
    reporter = CauseReporter()
    table = ConnectionTable(connections, reporter)
    return EdgeResources(MemoryAccount(MEMORY_BYTES), table, reporter, unread_seconds)


async def start(
    handler: RecordingHandler, resources: EdgeResources, limits: EdgeLimits = LIMITS
) -> EdgeServer:
    server = EdgeServer("127.0.0.1:0", handler.handle, lambda: limits, resources=resources)
    await server.start()
    return server


def build_head(size: int, lines: int = 1) -> bytes:
    """Return a head whose target and fields have a size in bytes, as the limit counts them."""
    fields = [b"a:\r\n"] * (lines - 1)
    rest = size - len(b"/") - len(b"Host") - len(b"a") - 4 - 5 * len(fields)
    return (
        b"GET / HTTP/1.1\r\nHost: a\r\n"
        + b"".join(fields)
        + b"b: "
        + b"x" * (rest - 5)
        + b"\r\n\r\n"
    )


# Guards against a limit of a head that is lower than documented, or counts bytes that the head
# doesn't have.
@pytest.mark.parametrize("lines", [1, 3_000])
@pytest.mark.parametrize(("more", "status"), [(0, b"200"), (1, b"431")])
def test_head_of_exactly_the_limit_is_served(lines: int, more: int, status: bytes) -> None:
    async def run() -> bytes:
        server = await start(RecordingHandler(), create_resources())
        return await exchange(server.port, build_head(LIMITS.head_bytes + more, lines), 0.5)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 " + status)


# Guards against a head of as many lines as fit that is refused though nothing else is held.
def test_head_of_the_most_lines_is_served() -> None:
    head = b"GET / HTTP/1.1\r\nHost: a\r\n"
    head += b"a:\r\n" * ((LIMITS.head_bytes - len(head) - 2) // 4) + b"\r\n"

    async def run() -> bytes:
        server = await start(RecordingHandler(), create_resources())
        return await exchange(server.port, head, 0.5)

    # The limit counts 4 bytes of separators for each field, of which these have only 3.
    assert asyncio.run(run()).startswith(b"HTTP/1.1 431")
    head = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 3_270 + b"\r\n"
    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


# Guards against a body limit that a body of exactly that size exceeds, however it is framed.
@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(("more", "status"), [(0, b"200"), (1, b"413")])
def test_body_of_exactly_the_limit_is_served(is_chunked: bool, more: int, status: bytes) -> None:
    handler = RecordingHandler()
    body = b"\r\n\r\n" * (LIMITS.body_bytes // 4) + b"x" * more
    part = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    data = (
        CHUNKED + part if is_chunked else START + b"Content-Length: %d\r\n\r\n" % len(body) + body
    )

    async def run() -> bytes:
        server = await start(handler, create_resources())
        return await exchange(server.port, data + GET, 3.0)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 " + status)
    if not more:
        assert handler.requests[0].body == body
        assert len(handler.requests) == 2


# Guards against framing that is counted over a whole body: each part of it starts anew.
def test_chunks_with_more_framing_than_the_limit_in_all_are_served() -> None:
    handler = RecordingHandler()
    body = b"1;extension=%b\r\nx\r\n" % (b"e" * 1_000) * 100 + b"0\r\n\r\n"

    async def run() -> None:
        server = await start(handler, create_resources())
        await exchange(server.port, CHUNKED + body, 0.5)

    asyncio.run(run())
    assert handler.requests[0].body == b"x" * 100


# Guards against messages whose end is missed because it is split between two packets.
def test_requests_that_arrive_byte_by_byte_are_served() -> None:
    handler = RecordingHandler()
    data = (CHUNKED + b"3\r\nabc\r\n0\r\nLate: 1\r\n\r\n" + b"\r\n" + GET) * 2

    async def run() -> None:
        server = await start(handler, create_resources())
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in range(len(data)):
            writer.write(data[number : number + 1])
            await asyncio.sleep(0)
        while len(handler.requests) < 4:
            await asyncio.wait_for(reader.read(65536), 3.0)
        writer.close()

    asyncio.run(run())
    assert [request.body for request in handler.requests] == [b"abc", b"", b"abc", b""]


# Guards against clients within the documented limits that are refused because they read slowly.
def test_four_pipelined_requests_read_slowly_are_served() -> None:
    size = 300_000
    begun: list[str] = []

    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        begun.append(request.target)
        writer.send(200, (), b"x" * size)

    async def run() -> tuple[int, int]:
        server = EdgeServer("127.0.0.1:0", answer, resources=create_resources())
        await server.start()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", server.port))
        await loop.sock_sendall(sock, GET * 4)
        await asyncio.sleep(0.1)
        begun_unread, received = len(begun), 0
        async with asyncio.timeout(20.0):
            while received < 4 * size:
                received += len(await loop.sock_recv(sock, 8192))
                await asyncio.sleep(0.001)
        sock.close()
        return begun_unread, received

    begun_unread, received = asyncio.run(run())
    assert received >= 4 * size
    assert begun_unread < 4


# Guards against answers that stay unread, and hold a connection for as long as its client likes.
def test_connection_whose_answer_stays_unread_is_closed() -> None:
    async def answer(request: ClientRequest, writer: AnswerWriter) -> None:
        writer.send(200, (), b"x" * 8_000_000)

    async def run() -> tuple[float, float, int]:
        resources = create_resources(unread_seconds=0.3)
        server = EdgeServer("127.0.0.1:0", answer, resources=resources)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(GET)
        await asyncio.sleep(0.15)
        held = resources.memory.list_held()["unsent"]
        await asyncio.sleep(1.0)
        writer.close()
        return held, resources.memory.held, len(resources.connections)

    held, held_afterwards, connections = asyncio.run(run())
    assert held > 0
    assert (held_afterwards, connections) == (0, 0)


# Guards against holdings that are not released, and heads that the account doesn't know.
@pytest.mark.parametrize(
    ("data", "least"),
    [
        (START + b"a:\r\n" * 2_000, 8_000),
        (START + b"a:\r\n" * 2_000 + b"Content-Length: 9\r\n\r\n", 2_000 * 400),
        (START + b"X: " + b"x" * 10_000, 10_000),
    ],
)
def test_heads_are_in_the_account_until_the_connection_ends(data: bytes, least: int) -> None:
    async def run() -> tuple[float, float]:
        resources = create_resources()
        server = await start(RecordingHandler(), resources)
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data)
        await asyncio.sleep(0.1)
        held = resources.memory.list_held()["heads"]
        writer.close()
        await asyncio.sleep(0.1)
        return held, resources.memory.held

    held, afterwards = asyncio.run(run())
    assert held >= least
    assert afterwards == 0


# Guards against a peer that uses up the room of the others.
def test_heads_of_one_peer_leave_room_for_those_of_others() -> None:
    memory = MemoryAccount(1_000_000)
    of_one = [memory.open(HeldKind.HEADS, "one") for _ in range(100)]
    taken = sum(holding.resize(60_000) for holding in of_one)
    assert taken == 4
    assert memory.open(HeldKind.HEADS, "other").resize(60_000)
    assert not memory.open(HeldKind.HEADS, "one").resize(100_000)
    assert memory.open(HeldKind.HEADS, "third").resize(100_000)
    assert not memory.open(HeldKind.HEADS, "fourth").resize(100_001)


class FakeConnection:
    def __init__(self, is_evictable: bool = True) -> None:
        self.is_evictable = is_evictable
        self.is_closed = False

    def abort(self) -> None:
        self.is_closed = True


# Guards against the eviction of a connection that is in use or new, or of another peer than the
# one that holds the most.
def test_least_recent_idle_connection_of_the_largest_peer_is_closed() -> None:
    causes: list[Cause] = []
    table = ConnectionTable(6, CauseReporter(causes.append))
    few = [FakeConnection() for _ in range(2)]
    many = [FakeConnection(False), *(FakeConnection() for _ in range(3))]
    for connection in few:
        table.add("few", connection)
    for connection in many:
        table.add("many", connection)
    table.record_request(many[1])
    assert table.make_room()
    assert [connection.is_closed for connection in many] == [False, False, True, False]
    assert table.make_room()  # there is room already
    assert not any(connection.is_closed for connection in few)
    assert causes == [Cause.EVICTED]
    table.add("many", FakeConnection())
    assert table.make_room()
    assert [connection.is_closed for connection in many] == [False, False, True, True]


# Guards against a bound that ends requests: nothing is closed if all connections are in use.
def test_no_connection_in_use_is_closed_for_another() -> None:
    table = ConnectionTable(1, CauseReporter())
    table.add("one", FakeConnection(False))
    assert not table.make_room()


# Guards against clients that wait because others hold all connections without a request.
def test_new_connections_are_served_while_idle_ones_hold_the_bound() -> None:
    async def run() -> tuple[list[bytes], int]:
        resources = create_resources(connections=5)
        server = await start(RecordingHandler(), resources)
        idle = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(20)]
        answers = [await exchange(server.port, GET, 0.1) for _ in range(10)]
        for _, writer in idle:
            writer.close()
        return answers, len(resources.connections)

    answers, connections = asyncio.run(run())
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 10
    assert connections <= 5


# Guards against log lines in proportion to what clients do.
def test_a_cause_is_counted_each_time_and_logged_once_per_interval(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now, causes = [0.0], list[Cause]()
    reporter = CauseReporter(causes.append, lambda: now[0])
    for _ in range(1_000):
        reporter.report(Cause.EVICTED, peer="a")
        now[0] += 0.015
    assert len(causes) == 1_000
    assert len([r for r in caplog.records if "client limited" in r.message]) <= 2
