"""Check that hosts learn the speeds that engines report, tell each other, and place by them."""

import asyncio

from tests.host.support import HostEnvironment, run_scenario
from turmericproxy.core.ids import InstanceId


async def send_streams(environment: HostEnvironment, count: int, name: str = "s") -> None:
    for number in range(count):
        answer = await environment.send_stream_request(request_id=f"{name}{number}")
        assert (answer.status, answer.is_complete) == (200, True)


def list_slowdowns(environment: HostEnvironment, index: int) -> dict[InstanceId, int]:
    registry = environment.hosts[index]._registry
    return {report.instance: report.percent for report in registry.list_speeds()}


def test_other_hosts_learn_the_speeds_and_a_new_host_with_its_introduction() -> None:
    """Guard against a host that uses only what it has seen itself, which is one answer in 20 s."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.servers["e1"].load = environment.servers["e2"].load = "1,0,16,160"
        await send_streams(environment, 8)
        environment.servers["e2"].load = "1,0,16,60"
        await send_streams(environment, 8, "t")
        await asyncio.sleep(0.3)
        known = list_slowdowns(environment, 0)
        assert known
        assert set(known.values()) <= {60, 160}
        assert list_slowdowns(environment, 1) == known
        await environment.add_host("h2")
        await asyncio.sleep(1.0)
        assert list_slowdowns(environment, 2) == known

    run_scenario(scenario, hosts=2, start_seconds=0.6)


def test_faster_engine_gets_more_streams() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.servers["e1"].load = "1,0,16,400"
        environment.servers["e2"].load = "1,0,16,60"
        # Streams at the same time reach both engines, so that both are known.
        await asyncio.gather(*(send_streams(environment, 1, f"p{n}-") for n in range(8)))
        before = [len(environment.servers[name].received_requests) for name in ("e1", "e2")]
        assert min(before) > 0
        await send_streams(environment, 24)
        counts = [len(environment.servers[name].received_requests) for name in ("e1", "e2")]
        assert counts[1] - before[1] > counts[0] - before[0]

    run_scenario(scenario)


def test_three_figures_change_nothing() -> None:
    """Guard against updates between hosts and gauges where no engine reports its speed."""

    async def scenario(environment: HostEnvironment) -> None:
        for server in environment.servers.values():
            server.load = "1,0,16"
        await send_streams(environment, 6)
        for host in environment.hosts:
            assert not host._registry.list_service_speeds()
            assert not host._registry.take_speeds()
            assert "engine_slowdown" not in host._metrics.list_gauges()

    run_scenario(scenario, hosts=2)
