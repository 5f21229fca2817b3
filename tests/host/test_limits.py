"""Check that a limit which an upstream names is kept and used by all hosts together."""

import asyncio

import pytest

from tests.host.limited_servers import (
    STABLE_SECONDS,
    WINDOW_SECONDS,
    Callers,
    check_limit_is_kept,
    check_limit_is_used,
    check_refusals,
    compute_allowed,
    list_arrivals,
    run_limit_scenario,
)
from tests.host.support import HostEnvironment

SECONDS = STABLE_SECONDS + 2 * WINDOW_SECONDS


# Incident 33: no host read the limit that a server named, so that it got requests as before.
@pytest.mark.parametrize(("name", "limit"), [("p1", "2.0"), ("e1", "2.0"), ("p1", "0.4")])
def test_limit_is_kept_while_another_upstream_has_room(name: str, limit: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        is_prompt, limited = name.startswith("e"), environment.servers[name]
        await Callers(environment, 2).send_steadily(1.0, is_prompt=is_prompt)
        limited.limit, named_at = limit, asyncio.get_running_loop().time()
        sent = await Callers(environment).send_steadily(SECONDS, is_prompt=is_prompt)
        check_limit_is_kept(limited, float(limit), named_at)
        assert all(s.is_served for s in sent)

    run_limit_scenario(scenario)


# Incident 33, the other half: a limit that is kept must also be used, by the hosts with the work.
@pytest.mark.parametrize(
    ("kind", "limit", "busy_hosts"),
    [("p", 3.0, [0, 1, 2]), ("e", 3.0, [0, 1, 2]), ("p", 3.0, [1]), ("p", 1.1, [0, 1, 2])],
)
def test_limits_of_all_upstreams_are_kept_and_used(
    kind: str, limit: float, busy_hosts: list[int]
) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        servers = [environment.servers[kind + n] for n in "12"]
        for server in servers:
            server.limit = str(limit)
        loop, callers = asyncio.get_running_loop(), Callers(environment, hosts=busy_hosts)
        named_at = loop.time()
        sent = await callers.send_steadily(SECONDS, is_prompt=kind == "e")
        for server in servers:
            check_limit_is_kept(server, limit, named_at)
            start = named_at + STABLE_SECONDS
            check_limit_is_used(server, limit, start, start + 2 * WINDOW_SECONDS)
        check_refusals(sent)

    run_limit_scenario(scenario)


# On call, an operator has to see which upstream is limited and what was decided for a request.
def test_limits_are_visible_to_operators() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].limit = "1.5"
        sent = await Callers(environment).send_steadily(2.0)
        refused = [s for s in sent if s.is_refused]
        assert refused
        assert {s.answer.fields["x-result-code"] for s in refused} == {"306"}
        ip, _, port = environment.settings[0].metrics.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        text = (await reader.read(-1)).decode()
        writer.close()
        assert 'turmericproxy_upstream_limit{upstream="p1"} 1.5' in text
        assert 'turmericproxy_limited_requests_total{upstream="p1"}' in text

    run_limit_scenario(scenario)


# A host that starts has had no answer of the server yet.
def test_host_that_starts_later_keeps_the_limit() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        servers = [environment.servers[name] for name in ("p1", "p2")]
        for server in servers:
            server.limit = "1"
        named_at = asyncio.get_running_loop().time()
        await Callers(environment).send_steadily(STABLE_SECONDS + 1)
        await environment.add_host("late")
        await asyncio.sleep(1.0)
        sent = await Callers(environment, 2, hosts=[3]).send_steadily(WINDOW_SECONDS + 1)
        for server in servers:
            check_limit_is_kept(server, 1.0, named_at)
        check_refusals(sent)

    run_limit_scenario(scenario)


# The first answer with the limit may be that to a poll for cache events, before any request.
def test_limit_named_in_an_answer_to_a_poll_is_kept_from_the_first_request() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        engines = [environment.servers[name] for name in ("e1", "e2")]
        for engine in engines:
            engine.limit = "1"
        await asyncio.sleep(2.5)
        sent = await Callers(environment).send_steadily(WINDOW_SECONDS, is_prompt=True)
        for engine in engines:
            assert len(list_arrivals(engine)) <= compute_allowed(1.0)
        check_refusals(sent)

    run_limit_scenario(scenario)


# A refusal tells the limit, too, and the request may run elsewhere.
def test_limit_named_in_a_refusal_is_kept() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        limited = environment.servers["p1"]
        limited.limit, limited.faults.refuse = "1", 1000
        named_at = asyncio.get_running_loop().time()
        sent = await Callers(environment).send_steadily(SECONDS)
        check_limit_is_kept(limited, 1.0, named_at)
        assert all(s.is_served for s in sent)

    run_limit_scenario(scenario)


# Decided: a server that takes nothing still gets trials.
@pytest.mark.parametrize(("value", "limit"), [("0", 0.0), ("0.01", 0.01)])
def test_servers_that_take_nearly_nothing_get_trials(value: str, limit: float) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        servers = [environment.servers[name] for name in ("p1", "p2")]
        for server in servers:
            server.limit = value
        named_at = asyncio.get_running_loop().time()
        sent = await Callers(environment).send_steadily(SECONDS)
        for server in servers:
            check_limit_is_kept(server, limit, named_at)
        check_refusals(sent)

    run_limit_scenario(scenario)


# Guards against a limit that nobody has named: with a field that can't be read in all answers, 6%
# of the requests were served.
def test_servers_whose_limit_cannot_be_read_are_used_as_without_one() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].limit = "soon"
        sent = await Callers(environment).send_steadily(SECONDS)
        assert all(s.is_served for s in sent)

    run_limit_scenario(scenario)


# With the end of a limit, the requests that were refused must not all arrive in one moment.
def test_end_of_a_limit_is_followed_step_by_step() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        servers = [environment.servers[name] for name in ("p1", "p2")]
        for server in servers:
            server.limit = "2"
        loop, callers = asyncio.get_running_loop(), Callers(environment)
        await callers.send_steadily(STABLE_SECONDS)
        for server in servers:
            server.limit = None
        ended_at = loop.time()
        sent = await callers.send_steadily(12.0)
        for server in servers:
            first = [at for at in list_arrivals(server) if ended_at <= at < ended_at + 1.0]
            assert len(first) <= 10
        late = [s for s in sent if s.at >= ended_at + 10.0]
        assert all(s.is_served for s in late)

    run_limit_scenario(scenario)


# A server that starts again has named nothing, whatever its predecessor said.
def test_restarted_server_is_not_limited() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        servers = [environment.servers[name] for name in ("p1", "p2")]
        for server in servers:
            server.limit = "1"
        callers = Callers(environment)
        await callers.send_steadily(2.0)
        for server in servers:
            server.limit, server.born = None, server.born + 1
            environment.store.put("servers", server.instance, server.describe())
        await asyncio.sleep(0.5)
        sent = await callers.send_steadily(2.0)
        assert all(s.is_served for s in sent)

    run_limit_scenario(scenario)
