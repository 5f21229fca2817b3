"""Check that clients which keep to no limit end no process and lock no other client out.

A crowd sends heads without end, heads of very many lines, requests ahead whose answers it never
reads, or nothing. The host keeps what it has read or has to send: without a bound on the sum,
its process exceeds the memory of its machine, or has no descriptor left for other clients.
"""

import asyncio
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.host.host_process import HostProcess
from tests.host.support import Answer, HostEnvironment, read_answer, start_environment
from tests.platform.support import CONFIGURATION

# What the smallest machines of the platform give a process.
MEMORY_MB = 128
# What a crowd may add to the memory of the process.
MORE_MB = 40
CONNECTIONS = 200
# Bytes that a client sends at most, and seconds in which a crowd sends.
MAX_SENT_BYTES = 500_000
SENDING_SECONDS = 8.0
# Below the limit of a head, 16,384 bytes.
MANY_LINES = 3_800
BLOCK_LINES = 16_000
DESCRIPTORS = 300
# Descriptors that may be open in the end in addition to those before the crowd: connections of the
# host to the store and to upstreams come and go.
MORE_DESCRIPTORS = 10
# A line for each client of the crowd of 800 and each request of 10 would be allowed.
MORE_LOG_LINES = 1_000
CLOSED_SECONDS = 40.0
# Long enough for a process that has still to read what the crowd has sent.
ANSWER_SECONDS = 60.0

HEAD = (
    b"POST /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: c\r\n"
    b"X-Request-Deadline: 9000\r\nAuthorization: Bearer key-crowd\r\n"
)
Blocks = Callable[[], Iterator[bytes]]


def send_once(data: bytes) -> Blocks:
    return lambda: iter((data,))


def send_without_end(block: bytes, first: bytes = b"") -> Blocks:
    return lambda: itertools.chain((first,), itertools.repeat(block))


def build_lines(line: bytes, number: int = MANY_LINES) -> bytes:
    return line * number


UNKNOWN_PATH = b"GET /nowhere/1 HTTP/1.1\r\nHost: app.example\r\n\r\n"
NO_KEY = b"GET /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: c\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
CROWDS: dict[str, Blocks] = {
    "head of short lines without end": send_without_end(build_lines(b"a:\r\n", BLOCK_LINES), HEAD),
    "head of one line without end": send_without_end(b"x" * 65536, HEAD + b"a:"),
    "target without end": send_without_end(b"x" * 65536, b"GET /"),
    "empty lines without end": send_without_end(b"\r\n" * 32768),
    "trailer lines without end": send_without_end(build_lines(b"a:\r\n", BLOCK_LINES), CHUNKED),
    "trailer of one line without end": send_without_end(b"x" * 65536, CHUNKED + b"a:"),
    "chunk extension without end": send_without_end(
        b"x" * 65536, HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;a="
    ),
    "heads of many lines that never end": send_once(HEAD + build_lines(b"a:\r\n")),
    "heads of many odd lines that never end": send_once(
        HEAD + b"".join(b"%c%d:%c\r\n" % (97 + n % 26, n, 128 + n % 128) for n in range(1_500))
    ),
    "heads of many lines, bodies held back": send_once(
        HEAD + build_lines(b"a:\r\n") + b"Content-Length: 1000\r\n\r\n"
    ),
    "requests of many lines ahead, answers unread": send_without_end(
        HEAD + build_lines(b"a:\r\n") + b"\r\n"
    ),
    "requests ahead without a route, answers unread": send_without_end(UNKNOWN_PATH * 1_000),
    "requests ahead without a key, answers unread": send_without_end(NO_KEY * 1_000),
    "requests ahead, answers unread": send_without_end((HEAD + b"\r\n") * 500),
}


@dataclass
class Crowd:
    """Connections to one address that send and never read."""

    address: str
    sockets: list[socket.socket]

    async def join(self, blocks: Blocks, connections: int = CONNECTIONS) -> None:
        """Open connections, and send on each of them until it is closed or a limit is reached."""
        await asyncio.gather(*(self._send(blocks()) for _ in range(connections)))

    async def _send(self, blocks: Iterator[bytes]) -> None:
        loop, sock = asyncio.get_running_loop(), socket.socket()
        self.sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        ip, _, port = self.address.rpartition(":")
        sent = 0
        try:
            async with asyncio.timeout(SENDING_SECONDS):
                await loop.sock_connect(sock, (ip, int(port)))
                for block in blocks:
                    await loop.sock_sendall(sock, block)
                    sent += len(block)
                    if sent >= MAX_SENT_BYTES:
                        return
        except (OSError, TimeoutError):
            pass  # the host has closed the connection, or doesn't read any further

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()


Scenario = Callable[[HostEnvironment, HostProcess], Awaitable[None]]


def run_with_host(folder: Path, scenario: Scenario, **settings: object) -> None:
    """Run a scenario with a host process, and check that the process goes on within its memory."""

    async def run() -> None:
        environment = await start_environment()
        (account,) = CONFIGURATION["tenants"]
        crowd = {**account, "name": "crowd", "api_keys": ["key-crowd"]}
        environment.configure(version=8, tenants=[account, crowd])
        host = HostProcess(
            folder, environment.store.address, memory_mb=MEMORY_MB, settings=settings
        )
        try:
            await host.start()
            assert (await send(host, "before")).status == 200
            before, descriptors = host.read_memory_mb(), host.count_descriptors()
            await scenario(environment, host)
            assert host.is_running()
            more = host.read_peak_mb() - before
            print(f"{more:.1f} MB more at the peak, {host.count_log_lines()} log lines")
            assert more < MORE_MB
            await check_descriptors(host, descriptors + MORE_DESCRIPTORS)
        finally:
            host.close()
            await environment.close()

    asyncio.run(run())


async def check_descriptors(host: HostProcess, most: int) -> None:
    """Check that descriptors are released once the crowd has gone."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + CLOSED_SECONDS
    while host.count_descriptors() > most and loop.time() < deadline:
        await asyncio.sleep(0.2)
    assert host.count_descriptors() <= most


async def send(host: HostProcess, request_id: str) -> Answer:
    """Send one request of another client account, on a new connection."""
    ip, _, port = host.callers.rpartition(":")
    async with asyncio.timeout(ANSWER_SECONDS):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(
                b"POST /look/1 HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\n"
                b"X-Attempt-Id: %b\r\nX-Request-Deadline: 60000\r\nConnection: close\r\n\r\n"
                % request_id.encode()
            )
            return read_answer(await reader.read(-1))
        finally:
            writer.close()


async def check_ordinary_request(host: HostProcess) -> None:
    """Check that a request of another client is answered."""
    assert (await send(host, "after")).status == 200


# Guards against processes that end for their memory: a head of short lines without end added 1,416
# MB, a trailer of one line 112 MB, heads of 3,800 lines 60 MB (200 clients, acce07f).
@pytest.mark.parametrize("name", CROWDS)
def test_crowd_stays_within_the_memory(tmp_path: Path, name: str) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        crowd = Crowd(host.callers, [])
        await crowd.join(CROWDS[name])
        await check_ordinary_request(host)
        crowd.close()

    run_with_host(tmp_path, scenario)


# Guards against bounds that hold for each way by itself only.
@pytest.mark.parametrize(
    ("one", "other"),
    [
        ("head of short lines without end", "requests ahead without a route, answers unread"),
        ("heads of many lines that never end", "requests ahead, answers unread"),
        ("heads of many lines, bodies held back", "requests ahead without a key, answers unread"),
    ],
)
def test_two_crowds_stay_within_the_memory(tmp_path: Path, one: str, other: str) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        crowd = Crowd(host.callers, [])
        await asyncio.gather(crowd.join(CROWDS[one]), crowd.join(CROWDS[other]))
        await check_ordinary_request(host)
        crowd.close()

    run_with_host(tmp_path, scenario)


# Guards against the same at the other addresses on which the process listens.
@pytest.mark.parametrize("name", ["readiness", "metrics"])
def test_crowd_at_another_address_stays_within_the_memory(tmp_path: Path, name: str) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        address = host.readiness if name == "readiness" else host.metrics
        crowd = Crowd(address, [])
        await crowd.join(CROWDS["head of short lines without end"], CONNECTIONS // 2)
        await crowd.join(send_without_end(UNKNOWN_PATH * 1_000), CONNECTIONS // 2)
        await check_ordinary_request(host)
        crowd.close()

    run_with_host(tmp_path, scenario)


# Guards against strangers on the address for other hosts, whose messages may have 4 MB.
def test_unfinished_messages_of_strangers_stay_within_the_memory(tmp_path: Path) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        crowd = Crowd(host.links, [])
        length = (4 * 1024 * 1024).to_bytes(4, "big")
        await crowd.join(send_without_end(b"x" * 65536, length))
        await check_ordinary_request(host)
        crowd.close()

    run_with_host(tmp_path, scenario)


# Guards against clients that use all descriptors up: 4 of 10 requests of others timed out, and
# accepting was tried again and again, with 76,417 log lines of a stack trace in 30 s (acce07f).
def test_other_clients_get_in_while_a_crowd_holds_all_descriptors(tmp_path: Path) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        host.limit_descriptors(DESCRIPTORS)
        lines = host.count_log_lines()
        crowd = Crowd(host.callers, [])
        await crowd.join(lambda: iter(()), 400)
        await crowd.join(send_once(HEAD), 400)
        answers = [await send(host, f"o{n}") for n in range(10)]
        assert [answer.status for answer in answers] == [200] * 10
        assert host.count_descriptors() <= DESCRIPTORS
        assert host.count_log_lines() - lines < MORE_LOG_LINES
        crowd.close()

    run_with_host(tmp_path, scenario, **{"limits.max_fds": DESCRIPTORS})
