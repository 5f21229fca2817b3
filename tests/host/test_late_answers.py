"""Check that hosts wait for engines and a store that are silent for a while and then answer."""

import asyncio
import time

from tests.host.support import HostEnvironment, run_scenario

# Seconds for which a sound upstream may be silent.
SILENCE_SECONDS = 1.2
VERSION_2 = {"model": "m", "version": 2}


def test_engines_that_are_silent_before_each_answer_load_new_weights() -> None:
    """Guard against refusals of all requests: engines that answer reports and orders late never
    got new weights, and were out of use once their old ones were too old.
    """

    async def scenario(environment: HostEnvironment) -> None:
        engines = [environment.servers[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.silence_seconds = SILENCE_SECONDS
        environment.store.put("op", "version/m", VERSION_2)
        await asyncio.sleep(7.0)
        assert [engine.version for engine in engines] == [2, 2]
        assert [len(engine.orders) for engine in engines] == [1, 1]
        assert (await environment.send_stream_request()).status == 200

    run_scenario(scenario)


def test_engines_load_new_weights_while_the_store_is_silent_before_each_answer() -> None:
    """Guard against leases that have expired by the time at which a slow store grants them."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.store.silence_seconds = SILENCE_SECONDS
        environment.store.put("op", "version/m", VERSION_2)
        await asyncio.sleep(7.0 + SILENCE_SECONDS)
        assert [environment.servers[name].version for name in ("e1", "e2")] == [2, 2]

    run_scenario(scenario)


def test_request_does_not_wait_for_the_report_of_a_silent_engine() -> None:
    """Guard against requests that wait for a late report before they go to another engine."""

    async def scenario(environment: HostEnvironment) -> None:
        for engine in (environment.servers["e1"], environment.servers["e2"]):
            engine.silence_seconds = SILENCE_SECONDS
        environment.servers["e1"].version = 2
        started = time.monotonic()
        for _ in range(3):
            assert (await environment.send_stream_request("/lepu270/deep/2f")).status == 200
        assert time.monotonic() - started < SILENCE_SECONDS

    run_scenario(scenario)


def test_host_starts_while_the_store_is_silent_before_each_answer() -> None:
    """Guard against hosts that refuse all requests, since no read of a slow store ever ended."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.store.silence_seconds = SILENCE_SECONDS
        await environment.add_host("late")
        await asyncio.sleep(4.0)
        assert (await environment.send_request("/book/1", index=1)).status == 200
        # The host is in the table of hosts, and has connected to the other one.
        assert environment.store.find("hosts", "late") is not None
        assert environment.hosts[1]._links.peers.list_reachable() == ["h0"]

    run_scenario(scenario)


def test_upstreams_whose_registrations_lapsed_in_a_short_silence_stay_in_use() -> None:
    """Guard against refusals for want of an upstream: registrations lapse three heartbeats after
    the last one, so already 2.4 s after the store falls silent, and are back a little after it.
    """

    async def scenario(environment: HostEnvironment) -> None:
        store = environment.store
        store.put("servers", "p1", environment.servers["p1"].describe())
        await asyncio.sleep(0.05)  # a new call for changes is open
        store.running.clear()
        await asyncio.sleep(2.4)
        for name in environment.servers:
            store.delete("servers", name)
        store.running.set()
        await asyncio.sleep(0.5)
        assert (await environment.send_request("/book/1")).status == 200
        for name, server in environment.servers.items():
            store.put("servers", name, server.describe())
        await asyncio.sleep(2.0)
        assert (await environment.send_request("/book/2")).status == 200
        assert (await environment.send_stream_request()).status == 200

    run_scenario(scenario)
