"""Check that hosts learn of changes in time after the store or connections to it fell silent.

A call for changes that nobody will answer looks like a table that doesn't change. A host that waits
for it handles requests by an outdated configuration, or sends them to a server that has left, long
after the store answers other calls again.
"""

import asyncio
import copy
import json
import logging
from collections.abc import Callable

import pytest

from tests.host.support import HostEnvironment, run_scenario
from tests.platform.support import CONFIGURATION
from turmericproxy.standins.platform_wire_store import WireStore
from turmericproxy.traffic.confirmation import MAX_CERTAIN_AGE_SECONDS

# Time in which a change must be in force on hosts that reach the store, and time after a silence
# from which on they count as reaching it.
IN_FORCE_SECONDS = 2.0
RECOVERY_SECONDS = 3.0
# Moments of the silence within the call for changes that is open when it begins, and lengths of the
# silence.
MOMENTS = (0.1, 0.9)
LENGTHS = (0.2, 3.3)
OTHER_HOSTS = [pytest.param((), id="alone"), pytest.param(("h1", "h2"), id="three")]


def add_key(environment: HostEnvironment) -> None:
    (tenant,) = CONFIGURATION["tenants"]
    changed = {**copy.deepcopy(tenant), "api_keys": ["key-1", "key-3"]}
    environment.configure(version=8, tenants=[changed])


async def count_hosts_with_key(environment: HostEnvironment) -> int:
    answers = await asyncio.gather(
        *(
            environment.send_request("/look/1", key="key-3", index=index)
            for index in range(len(environment.hosts))
        )
    )
    return sum(answer.status == 200 for answer in answers)


async def add_hosts(environment: HostEnvironment, *names: str) -> None:
    for name in names:
        await environment.add_host(name)
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("hosts", OTHER_HOSTS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_change_is_in_force_after_open_calls_fell_silent(
    hosts: tuple[str, ...], moment: float
) -> None:
    """Guard against hosts that wait up to nine seconds for a call on a connection gone silent."""

    async def scenario(environment: HostEnvironment) -> None:
        await add_hosts(environment, *hosts)
        await asyncio.sleep(moment)
        environment.store.abandon_calls()
        await asyncio.sleep(RECOVERY_SECONDS - IN_FORCE_SECONDS)
        add_key(environment)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert await count_hosts_with_key(environment) == len(environment.hosts)

    run_scenario(scenario)


@pytest.mark.parametrize("hosts", OTHER_HOSTS)
@pytest.mark.parametrize("seconds", LENGTHS)
def test_change_is_in_force_after_the_store_was_silent(
    hosts: tuple[str, ...], seconds: float
) -> None:
    """Guard against hosts that wait for calls which the store swallowed before it came back."""

    async def scenario(environment: HostEnvironment) -> None:
        await add_hosts(environment, *hosts)
        environment.store.fall_silent()
        await asyncio.sleep(seconds)
        environment.store.end_silence()
        await asyncio.sleep(RECOVERY_SECONDS - IN_FORCE_SECONDS)
        add_key(environment)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert await count_hosts_with_key(environment) == len(environment.hosts)

    run_scenario(scenario)


def test_change_is_in_force_while_another_table_stays_silent() -> None:
    """Guard against hosts that wait with one table until they reach another one."""

    async def scenario(environment: HostEnvironment) -> None:
        await add_hosts(environment, "h1", "h2")
        environment.store.fall_silent()
        await asyncio.sleep(4.0)
        environment.store.end_silence("servers")
        add_key(environment)
        await asyncio.sleep(RECOVERY_SECONDS)
        assert await count_hosts_with_key(environment) == len(environment.hosts)

    run_scenario(scenario)


def test_change_reaches_a_host_whose_own_call_is_lost_by_way_of_its_domain() -> None:
    """Guard against a host that alone misses a change which all others of its domain know."""

    async def scenario(environment: HostEnvironment) -> None:
        await add_hosts(environment, "h1", "h2")
        await asyncio.sleep(0.5)
        environment.store.abandon_calls()
        await asyncio.sleep(RECOVERY_SECONDS)
        add_key(environment)
        await asyncio.sleep(0.3)
        assert await count_hosts_with_key(environment) == len(environment.hosts)

    run_scenario(scenario)


@pytest.mark.parametrize("silence", [WireStore.abandon_calls, WireStore.fall_silent])
@pytest.mark.parametrize("moment", MOMENTS)
def test_leaving_server_gets_no_requests_after_a_silence(
    silence: Callable[[WireStore], None], moment: float
) -> None:
    """Guard against requests to a server whose registration has said for long that it leaves."""

    async def scenario(environment: HostEnvironment) -> None:
        store, server = environment.store, environment.servers["p1"]
        await asyncio.sleep(moment)
        silence(store)
        await asyncio.sleep(2.5)
        store.end_silence()
        store.put("servers", "p1", server.describe("draining"))
        await asyncio.sleep(RECOVERY_SECONDS)
        before = len(server.received_requests)
        for number in range(6):
            assert (await environment.send_request(f"/look/{number}")).status == 200
        assert len(server.received_requests) == before

    run_scenario(scenario)


def test_new_key_is_not_denied_while_the_store_is_silent() -> None:
    """Guard against 401 for a key of which a host that reaches no store can't know."""

    async def scenario(environment: HostEnvironment) -> None:
        store = environment.store
        store.fall_silent()
        add_key(environment)
        await asyncio.sleep(MAX_CERTAIN_AGE_SECONDS + 0.2)
        assert (await environment.send_request("/look/1")).status == 200
        answer = await environment.send_request("/look/1", key="key-3")
        assert (answer.status, "retry-after" in answer.fields) == (503, True)
        assert (await environment.send_request("/look/1", key=None)).status == 401
        store.end_silence()
        await asyncio.sleep(RECOVERY_SECONDS)
        assert (await environment.send_request("/look/1", key="key-3")).status == 200
        assert (await environment.send_request("/look/1", key="key-4")).status == 401

    run_scenario(scenario)


def test_logs_and_metrics_tell_when_the_store_last_answered(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against hosts of which nobody can tell whether they are up to date or blind."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.configure(version=8)
        environment.store.put("servers", "p1", environment.servers["p1"].describe())
        await asyncio.sleep(0.1)
        environment.store.fall_silent()
        await asyncio.sleep(0.6)
        answer = await environment.send_request("/look/1", key="key-3")
        assert answer.status == 401
        await asyncio.sleep(2.0)
        text = environment.hosts[0]._metrics.render_text()
        assert "turmericproxy_upstream_table_gap_seconds" in text
        assert "turmericproxy_configuration_table_gap_seconds" in text

    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        run_scenario(scenario)
    refused = find_fields(caplog, "callers: refused")
    assert refused["revision"] == 8
    assert 0.5 < refused["configuration_age"] < 2.0
    lost = find_fields(caplog, "configuration: store unreachable")
    assert lost["call_seconds"] > 1.0 and lost["last_answer_seconds"] > 1.0


def find_fields(caplog: pytest.LogCaptureFixture, message: str) -> dict[str, float]:
    """Return the fields of the first record with a message."""
    record = next(r for r in caplog.records if r.getMessage() == message)
    fields: dict[str, float] = json.loads(json.dumps(vars(record), default=repr))
    return fields
