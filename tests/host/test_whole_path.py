"""Test complete hosts end to end, from the bytes of a client to those of the upstreams."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from tests.host.support import HostEnvironment, run_scenario
from turmericproxy.bench.processes import pick_addresses
from turmericproxy.standins.platform_wire_server import ReceivedRequest


def list_runs(environment: HostEnvironment) -> list[ReceivedRequest]:
    return [
        received
        for server in environment.servers.values()
        for received in server.received_requests
        if received.was_executed
    ]


EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
Scenario = Callable[[HostEnvironment], Awaitable[None]]


def test_plain_call_runs_once_for_the_account_of_the_key() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        answer = await environment.send_request("/book/x%2fy", body=b"visit")
        assert (answer.status, answer.body, answer.is_complete) == (200, b"done:visit", True)
        assert answer.fields["x-attempt-id"] == "r1"
        assert "x-response-signature" in answer.fields
        (run,) = list_runs(environment)
        assert run.request.target == "/book/x%2fy"
        assert run.get("X-Tenant") == "sese880"
        assert run.get("Authorization") is None

    run_scenario(scenario)


def test_stream_is_relayed_completely_and_in_order() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        answer = await environment.send_stream_request()
        assert (answer.status, answer.body, answer.is_complete) == (200, EVENTS, True)
        (run,) = list_runs(environment)
        assert run.get("X-Cache-Salt") == "/m/1"
        assert run.get("X-Expect-Version") == "1"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [
        ("/book/1", None, 401),
        ("/book/1", "none", 401),
        ("/nowhere/", "key-1", 404),
        ("/open/", None, 200),
    ],
)
def test_status_depends_on_key_and_route(target: str, key: str | None, status: int) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        assert (await environment.send_request(target, key=key)).status == status

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["crash", "foreign"])
def test_booking_is_never_sent_twice(fault: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            setattr(environment.servers[name].faults, fault, 1)
        answer = await environment.send_request("/book/1")
        assert answer.status == 502
        assert len(list_runs(environment)) == 1

    run_scenario(scenario)


def test_shed_booking_is_retried_at_another_upstream() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].faults.refuse = 1
        assert (await environment.send_request("/book/1")).status == 503
        assert list_runs(environment) == []
        environment.servers["p1"].faults.refuse = 1
        environment.servers["p2"].faults.refuse = 0
        assert (await environment.send_request("/book/2", request_id="r2")).status == 200

    run_scenario(scenario)


def test_refusal_without_an_attempt_has_retry_after() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(0.1)
        answer = await environment.send_request("/book/1")
        assert answer.status == 503
        assert 0 < float(answer.fields["retry-after"]) < 1

    run_scenario(scenario)


def test_lookup_is_retried_after_a_failure() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].faults.fail = 1
        first = await environment.send_request("/look/1", method="GET")
        assert first.status == 500
        environment.servers["p1"].faults.crash = 1
        assert (
            await environment.send_request("/look/1", method="GET", request_id="r2")
        ).status == 200
        assert (
            await environment.send_request("/look/1", method="GET", request_id="r3")
        ).status == 200

    run_scenario(scenario)


def test_upstream_failure_is_relayed_to_the_client() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].faults.fail = 1
        answer = await environment.send_request("/book/1")
        assert (answer.status, answer.body) == (500, b"failed")
        assert "x-response-signature" in answer.fields

    run_scenario(scenario)


def test_resumable_stream_is_resumed_at_another_engine() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("e1", "e2"):
            environment.servers[name].faults.break_stream = 1
        answer = await environment.send_stream_request("/lepu270/deep/1", request_id="r1")
        assert not answer.is_complete
        environment.servers["e1"].faults.break_stream = 1
        environment.servers["e2"].faults.break_stream = 0
        for n in range(2):
            answer = await environment.send_stream_request(
                "/lepu270/deep/1", request_id=f"again{n}"
            )
            assert answer.is_complete
            assert answer.body == EVENTS

    run_scenario(scenario)


def test_stream_that_is_not_resumable_ends_incomplete() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("e1", "e2"):
            environment.servers[name].faults.break_stream = 1
        answer = await environment.send_stream_request()
        assert answer.body == EVENTS[: len(answer.body)]
        assert not answer.is_complete
        assert len(list_runs(environment)) == 1

    run_scenario(scenario)


def test_unanswered_call_ends_at_its_deadline() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.servers[name].faults.silent = 1
        answer = await environment.send_request("/book/1", wait_ms=300)
        assert answer.status == 504

    run_scenario(scenario)


def test_draining_and_removed_upstreams_receive_no_requests() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.store.put("servers", "p1", environment.servers["p1"].describe("draining"))
        environment.store.delete("servers", "e1")
        await asyncio.sleep(0.1)
        for n in range(6):
            assert (await environment.send_request("/book/1", request_id=f"b{n}")).status == 200
            assert (await environment.send_stream_request(request_id=f"s{n}")).status == 200
        assert not environment.servers["p1"].received_requests
        assert not environment.servers["e1"].received_requests

    run_scenario(scenario)


def test_new_configuration_and_withdrawn_key_take_effect_immediately() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        assert (await environment.send_request("/book/1")).status == 200
        tenants = [{"name": "sese880", "api_keys": ["key-2"], "unit": "token_accounting"}]
        environment.configure(version=9, tenants=tenants)
        await asyncio.sleep(0.1)
        assert (await environment.send_request("/book/1")).status == 401
        assert (await environment.send_request("/book/1", key="key-2")).status == 200
        environment.configure(version=8)
        await asyncio.sleep(0.1)
        assert (await environment.send_request("/book/1")).status == 401

    run_scenario(scenario)


def test_rate_limit_is_enforced_and_refusals_have_retry_after() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        tenants = [
            {
                "name": "sese880",
                "api_keys": ["key-1"],
                "unit": "token_accounting",
                "uncached_tokens": 200,
                "rate_per_s": 100,
                "burst": 400,
            }
        ]
        environment.configure(version=9, tenants=tenants)
        await asyncio.sleep(0.1)
        statuses = [
            (await environment.send_request("/book/1", request_id=f"r{n}")).status for n in range(4)
        ]
        assert statuses.count(429) >= 1
        answer = await environment.send_request("/book/1", request_id="last")
        assert answer.status == 429
        assert float(answer.fields["retry-after"]) > 0
        assert len(list_runs(environment)) == statuses.count(200)

    run_scenario(scenario)


def test_one_host_loads_a_requested_version_at_all_engines() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        await asyncio.sleep(0.5)
        environment.store.put("op", "version/m", {"model": "m", "version": 2})
        await asyncio.sleep(2.0)
        engines = [environment.servers[name] for name in ("e1", "e2")]
        assert [engine.version for engine in engines] == [2, 2]
        orders = [order for engine in engines for order in engine.orders]
        assert len({order["holder"] for order in orders}) == 1
        assert len(orders) == 2
        answer = await environment.send_stream_request()
        assert answer.status == 200
        assert list_runs(environment)[-1].get("X-Cache-Salt") == "/m/2"

    run_scenario(scenario, hosts=2)


def test_unanswered_load_order_is_repeated_with_the_same_count() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.servers["e1"].faults.unanswered_orders = 2
        environment.store.put("op", "version/m", {"model": "m", "version": 2})
        await asyncio.sleep(2.0)
        assert environment.servers["e1"].version == 2
        assert environment.servers["e1"].orders[0]["expected"] == 0

    run_scenario(scenario)


def test_host_that_starts_without_a_store_answers_503() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        address = pick_addresses(1)[0]
        await environment.add_host("alone", store=address)
        answer = await environment.send_request("/book/1", index=1)
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0
        ip, _, port = environment.settings[1].readiness.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        assert (await reader.read(-1)).startswith(b"HTTP/1.1 503 ")
        writer.close()

    run_scenario(scenario)


def test_host_keeps_serving_during_a_store_outage() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.store.refusal = 503
        await asyncio.sleep(0.5)
        assert (await environment.send_request("/book/1")).status == 200
        assert (await environment.send_stream_request()).status == 200

    run_scenario(scenario)


def test_version_is_read_from_the_engine_after_a_version_mismatch() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        environment.store.refusal = 503
        await asyncio.sleep(0.3)
        for name in ("e1", "e2"):
            environment.servers[name].version = 2
        answer = await environment.send_stream_request()
        assert answer.status == 200
        (run,) = list_runs(environment)
        assert run.get("X-Cache-Salt") == "/m/2"

    run_scenario(scenario)


def test_client_disconnect_cancels_the_stream_at_the_engine() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        for name in ("e1", "e2"):
            environment.servers[name].events = 1000
        ip, _, port = environment.settings[0].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = "POST /lepu270/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: r1\r\n"
        head += "Authorization: Bearer key-1\r\nX-Model: m\r\nX-Token-Count: 5,5\r\n"
        writer.write((head + "Content-Length: 0\r\n\r\n").encode())
        await reader.readuntil(b"data: t3")
        sock = writer.get_extra_info("socket")
        sock.shutdown(socket.SHUT_RDWR)
        writer.close()
        await asyncio.sleep(0.2)
        (run,) = list_runs(environment)
        assert not run.is_complete
        assert sum(server._server.active for server in environment.servers.values()) == 0

    run_scenario(scenario)


def test_hosts_share_prompt_placements() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        await asyncio.sleep(1.0)
        await environment.send_stream_request(request_id="r1", index=0)
        await asyncio.sleep(0.2)
        await environment.send_stream_request(request_id="r2", index=1)
        engines = [
            server
            for server in environment.servers.values()
            if server.received_requests and server.model
        ]
        assert len(engines) == 1

    run_scenario(scenario, hosts=2)


def test_hosts_share_that_an_upstream_was_superseded() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        await asyncio.sleep(0.5)
        superseded = environment.servers["p1"]
        superseded.instance = "another"
        for n in range(4):
            answer = await environment.send_request(
                f"/look/{n}", method="GET", request_id=f"first{n}"
            )
            assert answer.status == 200
        assert len(superseded.received_requests) == 1
        await asyncio.sleep(0.3)
        for n in range(8):
            answer = await environment.send_request(
                f"/look/{n}", method="GET", request_id=f"r{n}", index=1
            )
            assert answer.status == 200
        assert len(superseded.received_requests) == 1

    run_scenario(scenario, hosts=2)
