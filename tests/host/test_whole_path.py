"""Check the whole path of a request, from the client's bytes to the upstream's and back."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from tests.host.support import Stage, play
from turmericproxy.bench.processes import pick_addresses
from turmericproxy.standins.platform_wire_server import SeenRequest


def list_runs(stage: Stage) -> list[SeenRequest]:
    return [seen for server in stage.servers.values() for seen in server.seen if seen.has_run]


EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6))
Scene = Callable[[Stage], Awaitable[None]]


def test_plain_call_runs_once_for_the_key_s_account() -> None:
    async def scene(stage: Stage) -> None:
        answer = await stage.ask("/book/x%2fy", body=b"visit")
        assert (answer.status, answer.body, answer.is_whole) == (200, b"done:visit", True)
        assert answer.fields["x-attempt-id"] == "r1"
        assert "x-response-signature" in answer.fields
        (run,) = list_runs(stage)
        assert run.request.target == "/book/x%2fy"
        assert run.get("X-Tenant") == "sese880"
        assert run.get("Authorization") is None

    play(scene)


def test_stream_comes_whole_and_in_order() -> None:
    async def scene(stage: Stage) -> None:
        answer = await stage.ask_stream()
        assert (answer.status, answer.body, answer.is_whole) == (200, EVENTS, True)
        (run,) = list_runs(stage)
        assert run.get("X-Cache-Salt") == "/m/1"
        assert run.get("X-Expect-Version") == "1"

    play(scene)


@pytest.mark.parametrize(
    ("target", "key", "status"),
    [
        ("/book/1", None, 401),
        ("/book/1", "none", 401),
        ("/nowhere/", "key-1", 404),
        ("/open/", None, 200),
    ],
)
def test_keys_and_routes_decide(target: str, key: str | None, status: int) -> None:
    async def scene(stage: Stage) -> None:
        assert (await stage.ask(target, key=key)).status == status

    play(scene)


@pytest.mark.parametrize("fault", ["crash", "foreign"])
def test_booking_is_never_sent_twice(fault: str) -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            setattr(stage.servers[name].faults, fault, 1)
        answer = await stage.ask("/book/1")
        assert answer.status == 502
        assert len(list_runs(stage)) == 1

    play(scene)


def test_booking_that_was_shed_goes_elsewhere() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            stage.servers[name].faults.refuse = 1
        assert (await stage.ask("/book/1")).status == 503
        assert list_runs(stage) == []
        stage.servers["p1"].faults.refuse = 1
        stage.servers["p2"].faults.refuse = 0
        assert (await stage.ask("/book/2", request_id="r2")).status == 200

    play(scene)


def test_refusal_of_what_has_not_run_tells_when_to_come_back() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            stage.store.delete("servers", name)
        await asyncio.sleep(0.1)
        answer = await stage.ask("/book/1")
        assert answer.status == 503
        assert 0 < float(answer.fields["retry-after"]) < 1

    play(scene)


def test_lookup_is_repeated_after_a_failure() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            stage.servers[name].faults.fail = 1
        first = await stage.ask("/look/1", method="GET")
        assert first.status == 500
        stage.servers["p1"].faults.crash = 1
        assert (await stage.ask("/look/1", method="GET", request_id="r2")).status == 200
        assert (await stage.ask("/look/1", method="GET", request_id="r3")).status == 200

    play(scene)


def test_failure_of_an_upstream_is_passed_on() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            stage.servers[name].faults.fail = 1
        answer = await stage.ask("/book/1")
        assert (answer.status, answer.body) == (500, b"failed")
        assert "x-response-signature" in answer.fields

    play(scene)


def test_resumable_stream_goes_on_at_another_engine() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("e1", "e2"):
            stage.servers[name].faults.break_stream = 1
        answer = await stage.ask_stream("/lepu270/deep/1", request_id="r1")
        assert not answer.is_whole
        stage.servers["e1"].faults.break_stream = 1
        stage.servers["e2"].faults.break_stream = 0
        for n in range(2):
            answer = await stage.ask_stream("/lepu270/deep/1", request_id=f"again{n}")
            assert answer.is_whole
            assert answer.body == EVENTS

    play(scene)


def test_stream_that_may_not_be_resumed_breaks_off_visibly() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("e1", "e2"):
            stage.servers[name].faults.break_stream = 1
        answer = await stage.ask_stream()
        assert answer.body == EVENTS[: len(answer.body)]
        assert not answer.is_whole
        assert len(list_runs(stage)) == 1

    play(scene)


def test_deadline_ends_a_silent_call() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("p1", "p2"):
            stage.servers[name].faults.silent = 1
        answer = await stage.ask("/book/1", wait_ms=300)
        assert answer.status == 504

    play(scene)


def test_engine_that_was_left_gets_no_request() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.put("servers", "p1", stage.servers["p1"].describe("draining"))
        stage.store.delete("servers", "e1")
        await asyncio.sleep(0.1)
        for n in range(6):
            assert (await stage.ask("/book/1", request_id=f"b{n}")).status == 200
            assert (await stage.ask_stream(request_id=f"s{n}")).status == 200
        assert not stage.servers["p1"].seen
        assert not stage.servers["e1"].seen

    play(scene)


def test_new_configuration_and_withdrawn_key_are_in_force_at_once() -> None:
    async def scene(stage: Stage) -> None:
        assert (await stage.ask("/book/1")).status == 200
        tenants = [{"name": "sese880", "api_keys": ["key-2"], "unit": "token_accounting"}]
        stage.configure(version=9, tenants=tenants)
        await asyncio.sleep(0.1)
        assert (await stage.ask("/book/1")).status == 401
        assert (await stage.ask("/book/1", key="key-2")).status == 200
        stage.configure(version=8)
        await asyncio.sleep(0.1)
        assert (await stage.ask("/book/1")).status == 401

    play(scene)


def test_rate_is_kept_and_the_refusal_tells_when_to_come_back() -> None:
    async def scene(stage: Stage) -> None:
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
        stage.configure(version=9, tenants=tenants)
        await asyncio.sleep(0.1)
        statuses = [(await stage.ask("/book/1", request_id=f"r{n}")).status for n in range(4)]
        assert statuses.count(429) >= 1
        answer = await stage.ask("/book/1", request_id="last")
        assert answer.status == 429
        assert float(answer.fields["retry-after"]) > 0
        assert len(list_runs(stage)) == statuses.count(200)

    play(scene)


def test_named_weights_are_loaded_by_one_host_everywhere() -> None:
    async def scene(stage: Stage) -> None:
        await asyncio.sleep(0.5)
        stage.store.put("op", "version/m", {"model": "m", "version": 2})
        await asyncio.sleep(2.0)
        engines = [stage.servers[name] for name in ("e1", "e2")]
        assert [engine.version for engine in engines] == [2, 2]
        orders = [order for engine in engines for order in engine.orders]
        assert len({order["holder"] for order in orders}) == 1
        assert len(orders) == 2
        answer = await stage.ask_stream()
        assert answer.status == 200
        assert list_runs(stage)[-1].get("X-Cache-Salt") == "/m/2"

    play(scene, hosts=2)


def test_order_without_an_answer_is_given_again_with_the_same_count() -> None:
    async def scene(stage: Stage) -> None:
        stage.servers["e1"].faults.unanswered_orders = 2
        stage.store.put("op", "version/m", {"model": "m", "version": 2})
        await asyncio.sleep(2.0)
        assert stage.servers["e1"].version == 2
        assert stage.servers["e1"].orders[0]["expected"] == 0

    play(scene)


def test_host_without_a_store_answers_503_until_it_is_back() -> None:
    async def scene(stage: Stage) -> None:
        address = pick_addresses(1)[0]
        await stage.add_host("alone", store=address)
        answer = await stage.ask("/book/1", index=1)
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0
        ip, _, port = stage.settings[1].readiness.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        assert (await reader.read(-1)).startswith(b"HTTP/1.1 503 ")
        writer.close()

    play(scene)


def test_host_goes_on_without_the_store() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.refusal = 503
        await asyncio.sleep(0.5)
        assert (await stage.ask("/book/1")).status == 200
        assert (await stage.ask_stream()).status == 200

    play(scene)


def test_denied_version_is_asked_for_at_the_engine() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.refusal = 503
        await asyncio.sleep(0.3)
        for name in ("e1", "e2"):
            stage.servers[name].version = 2
        answer = await stage.ask_stream()
        assert answer.status == 200
        (run,) = list_runs(stage)
        assert run.get("X-Cache-Salt") == "/m/2"

    play(scene)


def test_successor_of_an_engine_is_adopted_while_the_store_is_away() -> None:
    async def scene(stage: Stage) -> None:
        stage.store.refusal = 503
        await asyncio.sleep(3.0)
        for name in ("e1", "e2"):
            stage.servers[name].instance = f"{name}-new"
            stage.servers[name].born = 2000
        statuses = [(await stage.ask_stream(request_id=f"r{n}")).status for n in range(4)]
        assert statuses[-2:] == [200, 200]

    play(scene)


def test_client_that_leaves_stops_its_stream_at_the_engine() -> None:
    async def scene(stage: Stage) -> None:
        for name in ("e1", "e2"):
            stage.servers[name].events = 1000
        ip, _, port = stage.settings[0].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = "POST /lepu270/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: r1\r\n"
        head += "Authorization: Bearer key-1\r\nX-Model: m\r\nX-Token-Count: 5,5\r\n"
        writer.write((head + "Content-Length: 0\r\n\r\n").encode())
        await reader.readuntil(b"data: t3")
        sock = writer.get_extra_info("socket")
        sock.shutdown(socket.SHUT_RDWR)
        writer.close()
        await asyncio.sleep(0.2)
        (run,) = list_runs(stage)
        assert not run.is_complete
        assert sum(server._server.active for server in stage.servers.values()) == 0

    play(scene)


def test_fleet_shares_what_it_has_placed() -> None:
    async def scene(stage: Stage) -> None:
        await asyncio.sleep(1.0)
        await stage.ask_stream(request_id="r1", index=0)
        await asyncio.sleep(0.2)
        await stage.ask_stream(request_id="r2", index=1)
        engines = [server for server in stage.servers.values() if server.seen and server.model]
        assert len(engines) == 1

    play(scene, hosts=2)


def test_hosts_tell_each_other_of_a_server_that_is_no_longer_at_its_address() -> None:
    async def scene(stage: Stage) -> None:
        await asyncio.sleep(0.5)
        gone = stage.servers["p1"]
        gone.instance = "another"
        for n in range(4):
            answer = await stage.ask(f"/look/{n}", method="GET", request_id=f"first{n}")
            assert answer.status == 200
        assert len(gone.seen) == 1
        await asyncio.sleep(0.3)
        for n in range(8):
            answer = await stage.ask(f"/look/{n}", method="GET", request_id=f"r{n}", index=1)
            assert answer.status == 200
        assert len(gone.seen) == 1

    play(scene, hosts=2)
