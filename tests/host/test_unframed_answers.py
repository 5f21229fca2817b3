"""Check answers that have neither a length nor chunks and end with their connection."""

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from tests.host.support import Answer, HostEnvironment
from turmericproxy.standins.platform_wire_server import WireServer

STREAM = b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
STREAM_TARGET, PLAIN_TARGET = "/lepu270/deep/2f", "/look/1"


async def start_upstream(
    environment: HostEnvironment, name: str, body: bytes, *, is_engine: bool, is_reset: bool
) -> asyncio.Server:
    """Register an upstream that sends a body and then closes or resets the connection."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError:
            writer.close()
            return
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        request_id = fields.get("X-Attempt-Id", "")
        answer = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Response-Signature: s\r\n"
        writer.write(f"{answer}X-Weight-Versions: 1\r\nConnection: close\r\n\r\n".encode() + body)
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    description = WireServer(
        name, "huvo11a" if is_engine else "kafi81c", "m" if is_engine else None
    ).describe_at(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    environment.store.put("servers", name, description)
    return server


def ask(target: str, body: bytes, *, is_reset: bool = False) -> Answer:
    """Send one request to a host whose only upstreams answer with a body without a length."""

    async def main() -> Answer:
        environment = HostEnvironment()
        await environment.store.start()
        environment.configure()
        is_engine = target == STREAM_TARGET
        servers = [
            await start_upstream(environment, n, body, is_engine=is_engine, is_reset=is_reset)
            for n in ("u1", "u2")
        ]
        await environment.add_host("h0")
        await asyncio.sleep(0.2)
        send: Callable[..., object] = environment.send_request
        if is_engine:
            send = environment.send_stream_request
        try:
            return await send(target)  # type: ignore[misc]
        finally:
            await environment.close()
            for server in servers:
                server.close()

    return asyncio.run(main())


def test_whole_stream_without_a_length_is_complete() -> None:
    answer = ask(STREAM_TARGET, STREAM)
    assert (answer.status, answer.body, answer.is_complete) == (200, STREAM, True)


def test_whole_call_without_a_length_is_complete() -> None:
    answer = ask(PLAIN_TARGET, b"done")
    assert (answer.status, answer.body, answer.is_complete) == (200, b"done", True)


# A stream that broke off inside an event must not look complete to the caller.
@pytest.mark.parametrize("rest", [b"id: 3\nda", b"id: 3\ndata: t3\n", b"i"])
def test_stream_that_ends_within_an_event_is_not_complete(rest: bytes) -> None:
    answer = ask(STREAM_TARGET, STREAM + rest)
    assert not answer.is_complete
    assert answer.body.startswith(STREAM)
    assert answer.body.replace(STREAM, b"") == b""


# An engine that ends right after the head would look as if it had answered with nothing.
def test_stream_that_ends_before_any_event_is_not_complete() -> None:
    answer = ask(STREAM_TARGET, b"")
    assert (answer.status, answer.fields["x-result-code"]) == (502, "401")


@pytest.mark.parametrize("target", [STREAM_TARGET, PLAIN_TARGET])
def test_answer_without_a_length_that_is_reset_is_not_complete(target: str) -> None:
    answer = ask(target, STREAM, is_reset=True)
    assert answer.status == 502 or not answer.is_complete
