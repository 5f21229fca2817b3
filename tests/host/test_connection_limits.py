"""Check that all hosts together open no more connections to a server than it takes."""

import asyncio

from tests.host.limited_servers import run_limit_scenario
from tests.host.support import HostEnvironment
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
