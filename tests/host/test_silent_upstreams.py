"""Check that upstreams which fall silent for a second and go on cost no request its answer."""

import asyncio
from collections.abc import Callable

import pytest

from tests.host.support import Answer, HostEnvironment, count_outcomes, run_scenario

RESUMABLE_TARGET = "/lepu270/deep/2f"
# Longer than the pause after which an upstream is suspected, and than the route's event gap.
SILENT_SECONDS = 1.2
# More requests at once than the retry budget of a host covers.
REQUEST_COUNT = 40


async def send_streams(environment: HostEnvironment, count: int) -> list[Answer]:
    return await asyncio.gather(
        *(
            environment.send_stream_request(RESUMABLE_TARGET, wait_ms=8000, request_id=f"r{n}")
            for n in range(count)
        )
    )


def count_complete(answers: list[Answer]) -> int:
    complete = [a for a in answers if a.status == 200 and a.is_complete]
    assert all(answer.body.count(b"data: t") == 5 for answer in complete)
    return len(complete)


async def silence_engines(environment: HostEnvironment, after_seconds: float) -> None:
    await asyncio.sleep(after_seconds)
    for name in ("e1", "e2"):
        environment.servers[name].fall_silent(SILENT_SECONDS)


# Incident 23: begun streams were closed without their end once the retry budget had run out.
def test_begun_streams_survive_a_silence_of_all_engines() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("e1", "e2"):
            environment.servers[name].event_interval = 0.1
        streams = asyncio.create_task(send_streams(environment, REQUEST_COUNT))
        await silence_engines(environment, 0.25)
        assert count_complete(await streams) == REQUEST_COUNT

    run_scenario(scenario)


# Incident 23: streams whose first event was late were refused with 502 after they had begun to run.
def test_streams_survive_a_silence_before_the_first_event() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        await silence_engines(environment, 0.0)
        assert count_complete(await send_streams(environment, REQUEST_COUNT)) == REQUEST_COUNT

    run_scenario(scenario)


# Incident 23: a stream was closed because its engine was silent and no other one was left.
def test_stream_survives_a_silence_of_the_only_engine() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.store.delete("servers", "e2")
        environment.servers["e2"].close()
        environment.servers["e1"].event_interval = 0.1
        await asyncio.sleep(0.2)
        streams = asyncio.create_task(send_streams(environment, 1))
        await silence_engines(environment, 0.25)
        assert count_complete(await streams) == 1

    run_scenario(scenario)


def refuse_requests(environment: HostEnvironment, silent: str, other: str) -> None:
    environment.servers[other].faults.refuse = 1000


def reset_connections(environment: HostEnvironment, silent: str, other: str) -> None:
    environment.servers[other].faults.crash = 1000


def ask_for_pause(environment: HostEnvironment, silent: str, other: str) -> None:
    environment.servers[other].retry_after = "2"


def remove_silent_engine(environment: HostEnvironment, silent: str, other: str) -> None:
    refuse_requests(environment, silent, other)
    environment.store.delete("servers", silent)


# Incident 23: streams were closed because the engine that was to continue them did not take them,
# although the silent one went on.
@pytest.mark.parametrize(
    "disturb", [refuse_requests, reset_connections, ask_for_pause, remove_silent_engine]
)
def test_streams_stay_with_their_silent_engine_if_the_other_one_does_not_take_them(
    disturb: Callable[[HostEnvironment, str, str], None],
) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for server in environment.servers.values():
            server.event_interval = 0.2
        streams = asyncio.create_task(send_streams(environment, 16))
        await asyncio.sleep(0.5)
        assert all(environment.servers[name].received_requests for name in ("e1", "e2"))
        environment.servers["e1"].fall_silent(3.0)
        disturb(environment, "e1", "e2")
        assert count_complete(await streams) == 16

    run_scenario(scenario)


# Incident 23: calls that may be repeated were refused with 502 before their time limit, although
# their upstreams were only silent for a part of it.
def test_repeatable_calls_survive_a_silence_of_all_upstreams() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].fall_silent(0.5)
        answers = await asyncio.gather(
            *(environment.send_request("/look/1", request_id=f"r{n}") for n in range(REQUEST_COUNT))
        )
        assert count_outcomes(answers) == {(200, None): REQUEST_COUNT}

    run_scenario(scenario)


# Guards the mend of incident 23: a stream whose engine never goes on is continued by another one.
def test_stream_of_an_engine_that_stays_silent_goes_on_elsewhere() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for server in environment.servers.values():
            server.event_interval = 0.1
        streams = asyncio.create_task(send_streams(environment, 1))
        await asyncio.sleep(0.25)
        for name in ("e1", "e2"):
            if environment.servers[name].received_requests:
                environment.servers[name].fall_silent(60.0)
        assert count_complete(await asyncio.wait_for(streams, 4)) == 1

    run_scenario(scenario)


# A replacement that asked for a pause when it refused a request got the next ones all the same.
def test_replacement_that_asks_for_a_pause_gets_nothing_until_its_end() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        plain = [environment.servers[name] for name in ("p1", "p2")]
        for server in plain:
            server.fall_silent(0.5)
        answer = asyncio.create_task(environment.send_request("/look/1", request_id="first"))
        await asyncio.sleep(0.1)
        (other,) = [server for server in plain if not server.received_requests]
        other.retry_after = "5"
        assert (await answer).status == 200
        assert other.calls == 1
        answers = await asyncio.gather(
            *(environment.send_request("/look/1", request_id=f"r{n}") for n in range(REQUEST_COUNT))
        )
        assert count_outcomes(answers) == {(200, None): REQUEST_COUNT}
        assert other.calls == 1

    run_scenario(scenario)
