"""Check that a refusal status reaches a client only if the request surely has not run.

408, 421, 429 and 503 tell clients that a request has not run and never will, so they send it again.
A server may execute a booking, fail afterwards, and answer with its own 503: that says nothing
about whether the booking was made.
"""

import asyncio

import pytest

from tests.host.raw_servers import RawServer, build
from tests.host.support import Answer, HostEnvironment, run_scenario

UNCERTAIN = 502
STATUSES = ["408 Late", "429 Busy", "503 Failed"]


def fail(status: str, request_id: str, **fields: str) -> bytes:
    signed = {"X_Attempt_Id": request_id, "X_Response_Signature": "s"}
    return build(status, b"mail not sent", **signed, **fields)


async def start_failing_server(
    environment: HostEnvironment, status: str, like: str = "p1", **fields: str
) -> RawServer:
    """Replace all servers of a service by one that executes requests and fails them."""
    server = RawServer(lambda request_id, _: fail(status, request_id, **fields))
    await server.start(environment, like, "x1")
    for name in ("e1", "e2") if like == "e1" else ("p1", "p2"):
        environment.store.delete("servers", name)
    await asyncio.sleep(1.5)
    return server


def check_uncertain(answer: Answer) -> None:
    assert answer.status == UNCERTAIN
    assert "x-response-signature" not in answer.fields
    assert "retry-after" not in answer.fields
    assert answer.is_complete


# Guards against bookings made twice: review case REFUSED, a status of the server itself was passed
# on, and the client took it for the host's word that nothing had run.
@pytest.mark.parametrize("status", STATUSES)
def test_refusal_status_of_a_server_that_may_have_run_a_booking_is_not_passed_on(
    status: str,
) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = await start_failing_server(environment, status)
        check_uncertain(await environment.send_request("/book/1", request_id="b1"))
        assert server.received == ["b1"]
        server.close()

    run_scenario(scenario)


def test_refusal_status_without_an_id_is_not_passed_on() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = RawServer(lambda _id, _count: build("503 Failed", b""))
        await server.start(environment, "p1", "x1")
        for name in ("p1", "p2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(1.5)
        check_uncertain(await environment.send_request("/book/1", request_id="b1"))
        server.close()

    run_scenario(scenario)


def test_refusal_status_with_a_pause_is_not_passed_on_and_the_pause_is_kept() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = await start_failing_server(environment, "503 Failed", Retry_After="20")
        check_uncertain(await environment.send_request("/book/1", request_id="b1"))
        for number in range(2, 12):
            await environment.send_request("/book/1", request_id=f"b{number}")
        assert server.received == ["b1"]
        server.close()

    run_scenario(scenario)


@pytest.mark.parametrize("target", ["/lepu270/2f", "/lepu270/deep/2f"])
def test_refusal_status_of_an_engine_is_not_passed_on_before_its_stream(target: str) -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = await start_failing_server(environment, "503 Failed", "e1")
        check_uncertain(await environment.send_stream_request(target, request_id="s1"))
        server.close()

    run_scenario(scenario)


def test_refusal_status_on_a_repeatable_route_costs_no_retry() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = RawServer(lambda request_id, _: fail("503 Failed", request_id))
        await server.start(environment, "p1", "x1")
        environment.store.delete("servers", "p2")
        await asyncio.sleep(1.5)
        ids = [f"l{number}" for number in range(8)]  # within the retry budget
        answers = await asyncio.gather(
            *(environment.send_request("/look/1", request_id=i) for i in ids)
        )
        assert {answer.status for answer in answers} == {200}
        assert server.received
        await server.start(environment, "p1", "x2")
        environment.store.delete("servers", "p1")
        await asyncio.sleep(1.5)
        check_uncertain(await environment.send_request("/look/1", request_id="last"))
        server.close()

    run_scenario(scenario)


def test_other_failures_are_passed_on_as_they_are() -> None:
    async def scenario(environment: HostEnvironment) -> None:
        server = await start_failing_server(environment, "500 Failed")
        answer = await environment.send_request("/book/1", request_id="b1")
        assert (answer.status, answer.body) == (500, b"mail not sent")
        assert answer.fields["x-response-signature"] == "s"
        server.close()

    run_scenario(scenario)
