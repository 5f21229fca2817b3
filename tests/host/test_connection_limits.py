"""Check that all hosts together open no more connections to a server than it takes."""

import asyncio

from tests.host.limited_servers import run_limit_scenario
from tests.host.support import HostEnvironment, count_outcomes
from tests.platform.support import CONFIGURATION

CONNECTIONS = 6


# A server resets connections beyond those that it takes from all hosts together; a request whose
# connection is reset may have run, so that its caller gets 502.
def test_hosts_together_open_no_more_connections_than_a_server_takes() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        services = [{**s, "max_connections": CONNECTIONS} for s in CONFIGURATION["services"]]
        environment.configure(services=services, version=99)
        await asyncio.sleep(0.5)
        servers = [environment.servers[name] for name in ("p1", "p2")]
        for server in servers:
            server.fall_silent(1.0)
        await asyncio.gather(
            *(
                environment.send_request("/book/1", request_id=f"b{n}", index=n % 3)
                for n in range(60)
            )
        )
        for server in servers:
            arrivals = sorted(r.request.received_at for r in server.received_requests)
            at_once = [at for at in arrivals if at < arrivals[0] + 0.9]
            assert len(at_once) <= CONNECTIONS

    run_limit_scenario(scenario)


def test_requests_beyond_the_connections_wait_or_are_refused_as_not_run() -> None:
    """Guard against 502 for requests that another host's connections leave no room for."""

    async def scenario(environment: HostEnvironment) -> None:
        services = [{**s, "max_connections": CONNECTIONS} for s in CONFIGURATION["services"]]
        environment.configure(services=services, version=99)
        await asyncio.sleep(0.5)
        for name in ("p1", "p2"):
            environment.servers[name].fall_silent(0.1)
        answers = await asyncio.gather(
            *(
                environment.send_request("/book/1", request_id=f"b{n}", index=n % 3)
                for n in range(60)
            )
        )
        outcomes = count_outcomes(answers)
        assert set(outcomes) <= {(200, None), (200, "0"), (503, "306")}, outcomes
        refused = [answer for answer in answers if answer.status == 503]
        assert all(float(answer.fields["retry-after"]) > 0 for answer in refused)
        # More than fit at once were served: requests waited for connections that became free.
        assert len(answers) - len(refused) > 2 * CONNECTIONS, outcomes

    run_limit_scenario(scenario)


def test_no_request_is_refused_where_servers_accept_many_connections() -> None:
    """Guard against refusals in a burst on one host, while most connections are free."""

    async def scenario(environment: HostEnvironment) -> None:
        services = [{**s, "max_connections": 370} for s in CONFIGURATION["services"]]
        environment.configure(services=services, version=99)
        await asyncio.sleep(0.5)
        answers = await asyncio.gather(
            *(environment.send_request("/book/1", request_id=f"b{n}") for n in range(100))
        )
        outcomes = count_outcomes(answers)
        assert {status for status, _ in outcomes} == {200}, outcomes
        metrics = environment.hosts[0]._metrics.render_text()
        assert "connection_limited_requests" not in metrics

    run_limit_scenario(scenario)
