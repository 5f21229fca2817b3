"""Check random histories of client connections: each whole request is answered once, in order."""

import asyncio
import contextlib
import random
import re

import pytest

from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits, EdgeServer

SEEDS = range(24)
MAX_REQUESTS = 12
LONG_LIMITS = EdgeLimits(head_seconds=10.0, idle_seconds=10.0)
SHORT_LIMITS = EdgeLimits(head_seconds=0.05, idle_seconds=0.05)
UNREADABLE = b"GET /unreadable HTTP/1.1\r\n\r\n"


def create_request(rng: random.Random, number: int) -> bytes:
    """Return a request with a body of either framing, an offered upgrade, or neither."""
    body = b"x" * rng.randrange(1, 3000)
    line = b"POST /%d HTTP/1.1\r\nHost: a\r\n" % number
    expect = rng.choice([b"", b"", b"Expect: 100-continue\r\n"])
    return rng.choice(
        [
            b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number,
            b"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n" % number,
            line + expect + b"Content-Length: %d\r\n\r\n%b\r\n" % (len(body), body),
            line + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
        ]
    )


def split(rng: random.Random, data: bytes) -> list[bytes]:
    cuts = sorted(rng.randrange(len(data)) for _ in range(rng.randrange(12)))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


class RandomHandler:
    """Answer with the target after a random time: whole, as a stream, or not at all."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.failed: list[int] = []

    async def handle(self, request: ClientRequest, writer: AnswerWriter) -> None:
        await asyncio.sleep(self._rng.choice([0.0, 0.0, 0.01, 0.04]))
        body = b"<%b>" % request.target.encode()
        choice = self._rng.randrange(8)
        if choice == 0:
            self.failed.append(int(request.target[1:]))
            raise RuntimeError("unexpected")
        if choice < 4:
            writer.start(200, (), None)
            await asyncio.sleep(self._rng.choice([0.0, 0.02]))
            writer.write(body)
            writer.finish()
        else:
            writer.send(200, (), body)


def list_answers(received: bytes) -> list[tuple[int, bytes]]:
    """Return the status of each final answer and the target that it echoes."""
    parts = re.split(rb"HTTP/1\.1 (\d{3}) ", received)[1:]
    answers = [(int(s), t) for s, t in zip(parts[::2], parts[1::2], strict=True) if s != b"100"]
    return [(status, (re.findall(rb"<(.*?)>", text) or [b""])[0]) for status, text in answers]


def list_expected(count: int, failed: list[int], is_refused: bool) -> list[tuple[int, bytes]]:
    expected = [(500, b"") if n in failed else (200, b"/%d" % n) for n in range(count)]
    return expected + [(400, b"")] * is_refused


# Guards against requests that are dropped, answered twice or out of order.
@pytest.mark.parametrize("seed", SEEDS)
def test_each_whole_request_is_answered_once_and_in_order(seed: int) -> None:
    rng = random.Random(seed)
    count, is_refused = rng.randrange(1, MAX_REQUESTS), rng.random() < 0.5
    data = b"".join(create_request(rng, number) for number in range(count))
    handler, limits = RandomHandler(rng), [SHORT_LIMITS]

    async def run() -> bytes:
        server = EdgeServer("127.0.0.1:0", handler.handle, lambda: limits[0])
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await asyncio.sleep(0.02)
        limits[0] = LONG_LIMITS
        for part in split(rng, data + (UNREADABLE if is_refused else b"")):
            writer.write(part)
            await asyncio.sleep(rng.choice([0.0, 0.01, 0.07]))
        received = b""
        with contextlib.suppress(TimeoutError):  # the answers are checked below
            async with asyncio.timeout(5.0):
                while list_answers(received) != list_expected(count, handler.failed, is_refused):
                    if not (part := await reader.read(65536)):
                        break
                    received += part
        writer.close()
        return received

    received = asyncio.run(run())
    assert list_answers(received) == list_expected(count, handler.failed, is_refused)


# Guards against requests that a drain drops after they have been read.
@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_that_was_read_is_answered_in_a_drain(seed: int) -> None:
    rng = random.Random(seed)
    count, is_refused = rng.randrange(1, MAX_REQUESTS), rng.random() < 0.5
    data = b"".join(create_request(rng, number) for number in range(count))
    handler = RandomHandler(rng)

    async def run() -> tuple[bytes, bool]:
        server = EdgeServer("127.0.0.1:0", handler.handle, lambda: LONG_LIMITS)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data + (UNREADABLE if is_refused else b""))
        received = await reader.read(1)  # all input has been read
        await asyncio.sleep(rng.choice([0.0, 0.01, 0.05]))
        server.drain()
        server.close()
        rest = asyncio.create_task(reader.read(-1))
        async with asyncio.timeout(5.0):
            while not rest.done():
                server.close_idle()
                await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.05)
        return received + await rest, server.is_busy

    received, is_busy = asyncio.run(run())
    assert list_answers(received) == list_expected(count, handler.failed, is_refused)
    assert not is_busy
