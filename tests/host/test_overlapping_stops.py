"""Check that overlapping signals of a planned stop cut off no request that was passed on.

An operator may send SIGTERM twice, and a reload may come at the same time, while clients go on
sending on new and on kept connections until the process is gone.
"""

import asyncio
import contextlib
import signal
from pathlib import Path

from tests.host.host_process import HostProcess
from tests.host.support import Answer, HostEnvironment, read_answer
from tests.host.test_memory import run_with_process, send, stream

CLIENTS = 10
PROMPT = "X-Model: m\r\nX-Token-Count: 60,5\r\nX-Prompt-Prefix: aa:20,bb:20,cc:20\r\n"


class Clients:
    """Send requests until the host is gone, and keep how each of them was answered."""

    def __init__(self, host: HostProcess) -> None:
        self._host = host
        self.answers: dict[str, Answer | None] = {}

    async def use_new_connections(self, name: str, *, is_stream: bool) -> None:
        """Send one request on each connection until none can be opened."""
        for number in range(10_000):
            request_id = f"{name}-{number}"
            self.answers[request_id] = None
            try:
                if is_stream:
                    answer = await stream(self._host, request_id)
                else:
                    answer = await send(self._host, "/book/1", request_id)
            except OSError:
                return
            self.answers[request_id] = answer

    async def use_kept_connection(self, name: str) -> None:
        """Send one booking after the other on a connection until the host closes it."""
        ip, _, port = self._host.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        for number in range(10_000):
            request_id = f"{name}-{number}"
            self.answers[request_id] = None
            writer.write(
                b"POST /book/1 HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\n"
                b"Content-Length: 0\r\nX-Request-Deadline: 2000\r\n"
                b"X-Attempt-Id: %s\r\n\r\n" % request_id.encode()
            )
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                (length,) = [
                    int(line.split(b":")[1])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ]
                body = await reader.readexactly(length)
            except (OSError, asyncio.IncompleteReadError):
                break
            self.answers[request_id] = read_answer(head + body)
            if b"connection: close" in head.lower():
                break
            await asyncio.sleep(0.01)
        writer.close()


# Guards against requests that are passed on late in the grace and cut at its end without an answer:
# another operator's report of issue 39, there with one signal; here with several that overlap.
def test_overlapping_stops_and_reloads_cut_off_no_request_that_was_passed_on(
    tmp_path: Path,
) -> None:
    async def scenario(environment: HostEnvironment, host: HostProcess) -> None:
        clients = Clients(host)
        tasks = [
            asyncio.ensure_future(task)
            for n in range(CLIENTS)
            for task in (
                clients.use_new_connections(f"book{n}", is_stream=False),
                clients.use_new_connections(f"stream{n}", is_stream=True),
                clients.use_kept_connection(f"kept{n}"),
            )
        ]
        await asyncio.sleep(0.5)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            host.send_signal(number)
            await asyncio.sleep(0.3)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.gather(*tasks), 10)
        for _ in range(40):
            if not host.is_running():
                break
            await asyncio.sleep(0.1)
        assert not host.is_running()
        ran = {
            received.get("X-Attempt-Id")
            for server in environment.servers.values()
            for received in server.received_requests
        }
        sent_on = [request_id for request_id in clients.answers if request_id in ran]
        assert len(sent_on) > 100
        cut = [i for i in sent_on if (a := clients.answers[i]) is None or not a.is_complete]
        assert cut == []

    run_with_process(tmp_path, scenario, must_run_on=False)
