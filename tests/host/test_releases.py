"""Check rollouts of software with complete hosts, stand-ins of upstreams and of the store."""

import asyncio
import itertools
import json

from tests.host.support import Answer, HostEnvironment, count_outcomes, run_scenario
from turmericproxy.releases.orders import ReleaseBounds

SERVICE = "kafi81c"
BOUNDS = ReleaseBounds(exposure_share=0.1, exposure_slack=50, rollback_seconds=5.0)
DURATION_SECONDS = 20
# Time between two requests, which all hosts get in turn.
INTERVAL_SECONDS = 0.012


class Traffic:
    """Send requests to all hosts in turn until told to stop."""

    def __init__(self, environment: HostEnvironment) -> None:
        self._environment = environment
        self._tasks: list[asyncio.Task[Answer]] = []
        self.is_stopped = False

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if self.is_stopped:
                return
            call = self._environment.send_request(
                "/look/1", request_id=f"r{number}", index=number % len(self._environment.hosts)
            )
            self._tasks.append(loop.create_task(call))
            await asyncio.sleep(INTERVAL_SECONDS)

    async def collect(self) -> list[Answer]:
        return list(await asyncio.gather(*self._tasks))


def read_status(environment: HostEnvironment) -> dict[str, object]:
    value = environment.store.find("status", f"rollout/{SERVICE}")
    return json.loads(value) if value else {}


async def wait_until_decided(environment: HostEnvironment) -> float:
    """Wait for a verdict, at most until the deadline; return the seconds it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() < started + DURATION_SECONDS:
        if read_status(environment).get("state") in ("completed", "rolled_back"):
            break
        await asyncio.sleep(0.01)
    return loop.time() - started


async def start_rollout(environment: HostEnvironment, bad_share: float) -> Traffic:
    for name in ("n1", "n2"):
        server = await environment.add_server(name, SERVICE, software="v2")
        server.bad_share = bad_share
    order = {"service": SERVICE, "to": "v2", "duration_s": DURATION_SECONDS}
    environment.store.put("op", f"rollout/{SERVICE}", order)
    await asyncio.sleep(0.1)
    return Traffic(environment)


def count_new(environment: HostEnvironment) -> int:
    return sum(len(environment.servers[name].received_requests) for name in ("n1", "n2"))


def test_good_version_is_completed_and_no_request_is_lost() -> None:
    """Guard against requests that are lost as old upstreams stop at the moment of completion."""

    async def scenario(environment: HostEnvironment) -> None:
        traffic = await start_rollout(environment, bad_share=0.0)
        sender = asyncio.get_running_loop().create_task(traffic.run())
        await wait_until_decided(environment)
        # As the platform does: without draining, and before the registrations are gone.
        for name in ("p1", "p2"):
            environment.servers[name].end()
        sent_before = [len(environment.servers[n].received_requests) for n in ("p1", "p2")]
        assert read_status(environment)["state"] == "completed"
        await asyncio.sleep(1.0)
        traffic.is_stopped = True
        await sender
        assert set(count_outcomes(await traffic.collect())) == {(200, None)}
        old = [environment.servers[n] for n in ("p1", "p2")]
        assert [len(server.received_requests) for server in old] == sent_before
        assert all(r.is_complete for server in old for r in server.received_requests)

    run_scenario(scenario, hosts=3, releases=BOUNDS)


def test_bad_version_is_rolled_back_with_under_half_of_the_allowed_exposure() -> None:
    """Guard against a bad version that is found too late, or used after it was found."""

    async def scenario(environment: HostEnvironment) -> None:
        traffic = await start_rollout(environment, bad_share=0.4)
        sender = asyncio.get_running_loop().create_task(traffic.run())
        await wait_until_decided(environment)
        assert read_status(environment)["state"] == "rolled_back"
        await asyncio.sleep(0.5)
        exposed = count_new(environment)
        await asyncio.sleep(2.0)
        traffic.is_stopped = True
        await sender
        await traffic.collect()
        assert count_new(environment) == exposed
        # Of the bound for the requests of the whole order, even those so far are enough.
        requests = sum(len(s.received_requests) for s in environment.servers.values())
        assert exposed <= 0.5 * (BOUNDS.exposure_share * requests + BOUNDS.exposure_slack)

    run_scenario(scenario, hosts=3, releases=BOUNDS)


def test_order_is_ignored_where_rollouts_are_not_in_force() -> None:
    """Guard against an effect of orders where the settings don't ask for it."""

    async def scenario(environment: HostEnvironment) -> None:
        traffic = await start_rollout(environment, bad_share=0.0)
        sender = asyncio.get_running_loop().create_task(traffic.run())
        await asyncio.sleep(2.0)
        traffic.is_stopped = True
        await sender
        answers = await traffic.collect()
        assert set(count_outcomes(answers)) == {(200, None)}
        assert count_new(environment) > 0.2 * len(answers)
        tables = {table for table, _ in environment.store.list_keys()}
        assert not tables & {"status", "releases", "release_leases"}

    run_scenario(scenario, hosts=2)
