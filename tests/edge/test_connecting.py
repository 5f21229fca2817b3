"""Check how long an upstream has to accept a connection."""

import asyncio
import socket
import time

from turmericproxy.edge.upstream import TIMED_OUT, NotConnected, open_connection

TIMEOUT_SECONDS = 0.05


def test_connection_accepted_while_the_host_was_not_scheduled_is_used() -> None:
    """Guard against hosts that pause all upstreams and answer 503, code 400, after a stall.

    The kernel completes the connections while the process gets no CPU time; the timers that expire
    meanwhile tell nothing about the upstreams.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        opening = [asyncio.create_task(open_connection(address, TIMEOUT_SECONDS)) for _ in range(9)]
        await asyncio.sleep(0)
        loop.call_soon(time.sleep, 4 * TIMEOUT_SECONDS)
        opened = await asyncio.gather(*opening)
        failed = [result for result in opened if isinstance(result, NotConnected)]
        for result in opened:
            if isinstance(result, asyncio.Transport):
                result.abort()
        server.close()
        assert not failed

    asyncio.run(run())


def test_connection_that_nobody_accepts_times_out() -> None:
    """Guard against requests that wait for an upstream whose machine is gone."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        # With the queue full, the kernel drops further requests for a connection.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)

        async def run() -> None:
            started = time.monotonic()
            result = await open_connection(f"127.0.0.1:{address[1]}", TIMEOUT_SECONDS)
            assert result == NotConnected(TIMED_OUT)
            assert time.monotonic() - started >= 0.9 * TIMEOUT_SECONDS

        asyncio.run(run())
        for filler in fillers:
            filler.close()
