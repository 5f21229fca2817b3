"""Check that a host follows what upstreams announce about themselves in their answers.

A leaving upstream may still be registered as ready: its registration is late, or the store is
unreachable. An overloaded one asks for a pause, and each further call delays its recovery.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass

from tests.host.support import Answer, HostEnvironment, count_outcomes, run_scenario
from turmericproxy.standins.platform_wire_server import WireServer

# More than the longest pause lengthened at random, for a pause of 0.6 seconds.
PAUSE = "0.6"
AFTER_PAUSE_SECONDS = 1.0
MANY = 40
ALL_SERVED = {(200, None): MANY}


@dataclass
class Sender:
    """Send requests with distinct ids."""

    environment: HostEnvironment
    sent: int = 0

    async def book(self, index: int = 0) -> int:
        return (await self._book(index)).status

    async def book_many(self, index: int = 0) -> Counter[tuple[int, str | None]]:
        """Send more requests at the same time than one upstream has slots."""
        return count_outcomes(await asyncio.gather(*(self._book(index) for _ in range(MANY))))

    async def _book(self, index: int) -> Answer:
        self.sent += 1
        request_id = f"b{self.sent}"
        return await self.environment.send_request("/book/1", request_id=request_id, index=index)

    async def stream(self) -> int:
        self.sent += 1
        answer = await self.environment.send_stream_request(request_id=f"s{self.sent}")
        return answer.status


def count_requests(server: WireServer) -> int:
    return len(server.received_requests)


def test_leaving_upstream_gets_no_further_request_though_registered_as_ready() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, leaving = Sender(environment), environment.servers["p1"]
        leaving.is_leaving = True
        environment.store.refusal = 503  # the registration can't change either
        while not count_requests(leaving):
            assert await sender.book() == 200
        assert await sender.book_many() == ALL_SERVED
        assert count_requests(leaving) == 1

    run_scenario(scenario)


def test_leaving_engine_is_known_from_the_head_of_a_stream() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, engines = Sender(environment), [environment.servers[n] for n in ("e1", "e2")]
        for engine in engines:
            engine.events = 100
        first = asyncio.create_task(sender.stream())
        await asyncio.sleep(0.1)
        (busy,) = [e for e in engines if count_requests(e)]
        assert not first.done()
        await first
        busy.is_leaving, before = True, count_requests(busy)
        running = [asyncio.create_task(sender.stream()) for _ in range(6)]
        await asyncio.sleep(0.1)
        reached = count_requests(busy)
        assert await asyncio.gather(*running) == [200] * 6  # what runs there is finished
        for _ in range(4):
            assert await sender.stream() == 200
        assert before < count_requests(busy) == reached

    run_scenario(scenario)


def test_peers_learn_that_an_upstream_leaves() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, leaving = Sender(environment), environment.servers["p1"]
        leaving.is_leaving = True
        while not count_requests(leaving):
            await sender.book(index=0)
        await asyncio.sleep(0.3)
        assert await sender.book_many(index=1) == ALL_SERVED
        assert count_requests(leaving) == 1

    run_scenario(scenario, hosts=2)


def test_restarted_upstream_is_used_again() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, leaving = Sender(environment), environment.servers["p1"]
        leaving.is_leaving = True
        while not count_requests(leaving):
            await sender.book()
        environment.store.put("servers", "p1", leaving.describe())
        await asyncio.sleep(0.1)
        assert await sender.book_many() == ALL_SERVED
        assert count_requests(leaving) == 1
        leaving.is_leaving, leaving.born = False, leaving.born + 1
        environment.store.put("servers", "p1", leaving.describe())
        await asyncio.sleep(0.1)
        assert await sender.book_many() == ALL_SERVED
        assert count_requests(leaving) > 1

    run_scenario(scenario)


def test_upstream_that_asks_for_a_pause_gets_nothing_until_its_end() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, paused = Sender(environment), environment.servers["p1"]
        paused.retry_after = PAUSE
        while not paused.calls:
            assert await sender.book() == 200
        paused.retry_after = None
        assert await sender.book_many() == ALL_SERVED
        assert paused.calls == 1
        await asyncio.sleep(AFTER_PAUSE_SECONDS)
        assert await sender.book_many() == ALL_SERVED
        assert paused.calls > 1

    run_scenario(scenario)


def test_engine_that_asks_for_a_pause_gets_no_requests_reports_and_orders() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender, engines = Sender(environment), [environment.servers[n] for n in ("e1", "e2")]
        for engine in engines:
            engine.retry_after = "2"
        assert await sender.stream() == 503
        before = [engine.calls for engine in engines]
        assert all(before)
        environment.store.put("op", "version/m", {"model": "m", "version": 2})
        for _ in range(3):
            assert await sender.stream() == 503
        await asyncio.sleep(0.7)
        assert [engine.calls for engine in engines] == before

    run_scenario(scenario)


def test_callers_are_refused_until_the_first_pause_ends() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        sender = Sender(environment)
        for name in ("p1", "p2"):
            environment.servers[name].retry_after = PAUSE
        assert await sender.book() == 503
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await environment.send_request("/book/1", request_id="refused")
        assert loop.time() - started < 0.2
        assert answer.status == 503
        for name in ("p1", "p2"):
            environment.servers[name].retry_after = None
        await asyncio.sleep(float(answer.fields["retry-after"]))
        assert await sender.book() == 200

    run_scenario(scenario)
