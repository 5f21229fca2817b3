"""Check with a whole host that requests which come too late under load are refused as not run."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.host.support import Answer, HostEnvironment, run_scenario
from turmericproxy.admission.ceilings import Ceiling, CeilingMonitor
from turmericproxy.core import HostName, RequestId
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.host.site_daemon import SiteHost
from turmericproxy.placement.registry import Work

ENGINES = (InstanceId("e1"), InstanceId("e2"))
PEER = HostName("h9")
# Prompts of 600 ms targets wait for 1.25 s at the default rate.
QUEUED = Work(6, 50_000, 50_000)
# All but 50 tokens of an engine's memory.
FULL = Work(10, 0, 94_553)
# Time after which the smoothed pressure of an idle service has ended.
CALM_SECONDS = 0.6


def run_host(
    scenario: Callable[[HostEnvironment, SiteHost], Awaitable[None]], *, is_on: bool = True
) -> None:
    async def run(environment: HostEnvironment) -> None:
        host = await environment.add_host("h0", has_admission_control=is_on)
        await asyncio.sleep(0.3)
        await scenario(environment, host)

    run_scenario(run, hosts=0)


def set_peer_work(host: SiteHost, work: Work) -> None:
    host._registry.set_peer_work(PEER, dict.fromkeys(ENGINES, work))


def count_runs(environment: HostEnvironment) -> int:
    return sum(len(environment.servers[name].received_requests) for name in ENGINES)


def check_refused(environment: HostEnvironment, host: SiteHost, answer: Answer) -> None:
    assert (answer.status, answer.fields.get("x-result-code")) == (503, "302")
    assert 0 < float(answer.fields["retry-after"]) <= 4.0 / 3
    assert count_runs(environment) == 0
    assert sum(host._quotas.list_spent().values()) == 0


def test_late_prompt_is_refused_as_not_run_and_refunded() -> None:
    """Load: prompts of other hosts that keep both engines busy for 1.25 s; the target is 0.6 s.

    Guards against a refusal that may have run, or that the account has paid for.
    """

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        set_peer_work(host, QUEUED)
        answer = await environment.send_stream_request(wait_ms=4000)
        check_refused(environment, host, answer)
        counters = host._metrics.list_counters()
        labels = (("priority", "1"), ("reason", "late"))
        assert counters[("admission_refusals", labels)] == 1
        set_peer_work(host, Work())
        await asyncio.sleep(CALM_SECONDS)
        answers = [
            await environment.send_stream_request(request_id=f"r{n}", wait_ms=4000)
            for n in range(3)
        ]
        # The first one measures that the queue is gone.
        assert [a.status for a in answers] == [200, 200, 200]

    run_host(scenario)


@pytest.mark.parametrize("work", [QUEUED, FULL])
def test_host_without_admission_control_sends_the_same_prompts(work: Work) -> None:
    """Load: as in the other tests, at a host whose settings don't ask for admission control.

    Guards against changes where nothing was asked for.
    """

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        set_peer_work(host, work)
        answer = await environment.send_stream_request(wait_ms=4000)
        assert answer.status == 200
        assert not any("admission" in name for name, _ in host._metrics.list_counters())

    run_host(scenario, is_on=False)


def test_prompt_waits_while_engines_may_hold_the_work_of_a_lost_peer() -> None:
    """Load: a peer that was lost while its requests filled the memory of both engines.

    Guards against engines that die of one more prompt.
    """

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        set_peer_work(host, FULL)
        host._updates.forget_peer(PEER)
        answer = await environment.send_stream_request(wait_ms=4000)
        check_refused(environment, host, answer)
        labels = (("priority", "1"), ("reason", "memory"))
        assert host._metrics.list_counters()[("admission_refusals", labels)] == 1

    run_host(scenario)


@pytest.mark.parametrize(("is_on", "expected"), [(True, "e2"), (False, "e1")])
def test_prompt_goes_to_another_engine_if_the_best_one_has_no_memory(
    is_on: bool, expected: str
) -> None:
    """Load: one engine without memory that is otherwise idle, one with a queue.

    Guards against refusals while another engine has room, and against a changed choice where the
    settings don't ask for admission control.
    """

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        works = {ENGINES[0]: FULL, ENGINES[1]: Work(1, 10_000, 10_000)}
        host._registry.set_peer_work(PEER, works)
        answer = await environment.send_stream_request(wait_ms=4000)
        assert answer.status == 200
        assert len(environment.servers[expected].received_requests) == 1

    run_host(scenario, is_on=is_on)


def test_prompt_beyond_a_ceiling_is_refused_as_not_run_and_refunded() -> None:
    """Load: one running request of a priority whose ceiling allows a single one.

    Guards against a refusal that may have run, or that the account has paid for.
    """

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        assert host._admission is not None
        service = ServiceName("huvo11a")
        monitor = CeilingMonitor([Ceiling(service, None, 1, 0.001)])
        host._admission._ceilings = monitor
        running = (RequestId("x"), ENGINES[0])
        monitor.record_start(running, service, None, 1)
        check_refused(environment, host, await environment.send_stream_request(wait_ms=4000))
        monitor.record_end(running)
        # The end of each request makes room for the next one.
        for n in range(3):
            answer = await environment.send_stream_request(request_id=f"r{n}", wait_ms=4000)
            assert answer.status == 200

    run_host(scenario)


def test_pressure_is_exported_by_service() -> None:
    """Load: as above. Guards against refusals whose cause operators can't see."""

    async def scenario(environment: HostEnvironment, host: SiteHost) -> None:
        set_peer_work(host, QUEUED)
        await environment.send_stream_request(wait_ms=4000)
        assert host._admission is not None
        host._admission.export_gauges()
        label, values = host._metrics.list_gauges()["admission_pressure"]
        assert label == "service"
        assert values["huvo11a"] > 1

    run_host(scenario)
