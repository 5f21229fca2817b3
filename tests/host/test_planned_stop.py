"""Check that a planned stop under load cuts off no request that the host has accepted."""

import asyncio
from collections import Counter

from tests.host.support import HostEnvironment, read_answer, run_scenario
from turmericproxy.host.site_daemon import ACCEPT_AFTER_SIGTERM_SECONDS

CALLERS = 30
REFUSED = "connection refused"
ANSWERED = "answered"
UNANSWERED = "unanswered"


async def send_until_refused(environment: HostEnvironment, caller: int) -> Counter[str]:
    """Send one request after the other, each on a new connection; return the outcomes."""
    outcomes: Counter[str] = Counter()
    ip, _, port = environment.settings[0].callers.rpartition(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionError:
            outcomes[REFUSED] += 1
            return outcomes
        request_id = f"{caller}-{sum(outcomes.values())}"
        lines = ["POST /book/1 HTTP/1.1", "Host: app.example", f"X-Attempt-Id: {request_id}"]
        lines += ["X-Request-Deadline: 3000", "Authorization: Bearer key-1", "Content-Length: 5"]
        lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode()
        try:
            writer.write(head + b"vi")
            await asyncio.sleep(0.02)
            writer.write(b"sit")
            answer = read_answer(await asyncio.wait_for(reader.read(-1), 10.0))
        except ConnectionError:
            outcomes[UNANSWERED] += 1
            continue
        finally:
            writer.close()
        outcomes[ANSWERED if answer.is_complete else UNANSWERED] += 1


def test_every_accepted_request_is_answered_during_a_planned_stop() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        host = environment.hosts[0]
        callers = [
            asyncio.create_task(send_until_refused(environment, number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(0.3)
        await host._drain()
        await host.close()
        host._callers.abort()  # as when the process ends
        outcomes: Counter[str] = sum(await asyncio.gather(*callers), Counter())
        assert outcomes[ANSWERED] > CALLERS * ACCEPT_AFTER_SIGTERM_SECONDS
        assert outcomes[UNANSWERED] == 0

    run_scenario(scenario)


# Guards against a request that gets neither an answer nor a refusal because its upstream outlasts
# the grace period.
def test_request_that_outlasts_the_grace_period_is_answered() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        host = environment.hosts[0]
        for server in environment.servers.values():
            server.faults.silent = 9
        request = asyncio.create_task(environment.send_stream_request(wait_ms=20_000))
        await asyncio.sleep(0.3)
        await host._drain()
        await host.close()
        host._callers.abort()  # as when the process ends
        answer = await request
        assert answer.status == 500
        assert answer.is_complete

    run_scenario(scenario)
