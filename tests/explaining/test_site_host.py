"""Test explanations of complete hosts against stand-ins of the store and of servers."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.explaining.support import (
    ENGINE_QUESTION,
    PLAIN_QUESTION,
    ask,
    capture_state,
    list_changes,
    send_question,
)
from tests.host.support import HostEnvironment, run_scenario, start_environment
from turmericproxy.core import Refusal, ResultCode
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.crashes.blocks import Block
from turmericproxy.explaining.explanation import explain
from turmericproxy.explaining.questions import MAX_BODY_BYTES
from turmericproxy.limits.permits import Applicant
from turmericproxy.placement.notices import UpstreamNotice
from turmericproxy.placement.registry import Work
from turmericproxy.releases.orders import ReleaseBounds, ReleaseOrder

Scenario = Callable[[HostEnvironment], Awaitable[None]]
SECRET = "key-1"


def explain_directly(environment: HostEnvironment, question: dict[str, Any]) -> dict[str, Any]:
    """Return an explanation without a turn of the event loop, so that nothing else can happen."""
    host = environment.hosts[0]
    state = host._explaining._state
    body = json.dumps(question).encode()
    explanation = explain(body, host._settings.host, state, is_draining=False, is_closed=False)
    assert not isinstance(explanation, Refusal), explanation
    return explanation


def find_executed(environment: HostEnvironment, request_id: str) -> list[str]:
    return [
        name
        for name, server in environment.servers.items()
        for received in server.received_requests
        if received.was_executed and received.get("X-Attempt-Id") == request_id
    ]


async def check_next(environment: HostEnvironment, question: dict[str, Any]) -> dict[str, Any]:
    """Check that a question changes nothing, and that the next request goes where it said."""
    before = capture_state(environment.hosts[0])
    explanation = explain_directly(environment, question)
    assert list_changes(before, capture_state(environment.hosts[0])) == []
    request_id = str(question["request_id"])
    if "model" in question:
        answer = await environment.send_stream_request(request_id=request_id)
    else:
        answer = await environment.send_request(str(question["path"]), request_id=request_id)
    decision = explanation["decision"]
    if refusal := decision.get("refusal"):
        assert int(answer.fields["x-result-code"]) == refusal["code"]
        assert find_executed(environment, request_id) == []
    else:
        assert answer.status == 200
        assert find_executed(environment, request_id) == [decision["upstream"]]
    return explanation


@pytest.mark.parametrize("question", [ENGINE_QUESTION, PLAIN_QUESTION])
def test_next_request_goes_where_the_explanation_said(question: dict[str, Any]) -> None:
    """Guards against a decision of its own for explanations, and against traces that it leaves."""

    async def scenario(environment: HostEnvironment) -> None:
        for n in range(6):
            # Work at one upstream after the other moves the choice.
            explanation = await check_next(environment, {**question, "request_id": f"r{n}"})
            chosen = InstanceId(explanation["decision"]["upstream"])
            environment.hosts[0]._registry.add_work(chosen, Work(3, 4000, 4000))

    run_scenario(scenario)


def test_terms_of_candidates_and_reasons_of_others_are_shown() -> None:
    """Guards against an explanation that lacks a term, or an upstream that was left out."""

    async def scenario(environment: HostEnvironment) -> None:
        await environment.send_stream_request()
        registry = environment.hosts[0]._registry
        explanation = await ask(environment, ENGINE_QUESTION)
        chosen, other = explanation["candidates"]
        assert chosen["is_chosen"]
        assert chosen["cached_parts"] == 2
        assert chosen["cached_tokens"] == 40
        assert chosen["score_seconds"] <= other["score_seconds"]
        assert explanation["request"]["route"] == "r-stream"
        assert explanation["request"]["account"] == "sese880"
        assert explanation["request"]["cost"] == 65
        assert explanation["quota"]["level"] > 0
        assert explanation["configuration"]["revision"] == 7
        assert explanation["configuration"]["age_seconds"] >= 0
        state = registry.find(InstanceId(chosen["upstream"]))
        assert state is not None
        registry.mark_leaving(InstanceId(chosen["upstream"]), state.entry.started_at)
        explanation = await ask(environment, ENGINE_QUESTION)
        assert explanation["excluded"] == [
            {"upstream": chosen["upstream"], "reason": "it has announced to leave"}
        ]
        assert explanation["decision"]["upstream"] == other["upstream"]

    run_scenario(scenario)


def test_pauses_and_paused_upstreams_are_named() -> None:
    """Guards against a refusal without the upstreams that led to it."""

    async def scenario(environment: HostEnvironment) -> None:
        registry, now = environment.hosts[0]._registry, asyncio.get_running_loop().time()
        registry.record_notice(InstanceId("p1"), UpstreamNotice(pause_seconds=30.0), now)
        explanation = await check_next(environment, PLAIN_QUESTION)
        assert explanation["decision"]["upstream"] == "p2"
        (excluded,) = explanation["excluded"]
        assert excluded["upstream"] == "p1"
        assert excluded["reason"].startswith("it asks for a pause of ")
        registry.record_notice(InstanceId("p2"), UpstreamNotice(pause_seconds=30.0), now)
        explanation = await check_next(environment, {**PLAIN_QUESTION, "request_id": "r2"})
        assert explanation["decision"]["refusal"]["code"] == ResultCode.OVERLOADED
        assert explanation["decision"]["refusal"]["retry_after"] > 20

    run_scenario(scenario)


def test_no_permit_is_taken_and_no_demand_counted() -> None:
    """Guards against explanations that use up permits, or claim a larger part of a limit."""

    async def scenario(environment: HostEnvironment) -> None:
        limits = environment.hosts[0]._limits
        for name in ("p1", "p2"):
            state = environment.hosts[0]._registry.find(InstanceId(name))
            assert state is not None
            start = state.entry.started_at
            limits.record_notice(InstanceId(name), start, UpstreamNotice(request_limit=0.01), 0.0)
        before = capture_state(environment.hosts[0])
        explanation = explain_directly(environment, PLAIN_QUESTION)
        assert explanation["decision"]["refusal"]["code"] == ResultCode.UPSTREAMS_LIMITED
        assert {c["passed_over"] for c in explanation["candidates"]} == {"its limit is reached"}
        assert explanation["candidates"][0]["limit"]["per_second"] == 0.01
        assert list_changes(before, capture_state(environment.hosts[0])) == []
        pool = limits._upstreams[InstanceId("p2")].pool
        pool.add(1, limits._read_clock())
        explanation = await check_next(environment, PLAIN_QUESTION)
        assert explanation["decision"]["upstream"] == "p2"
        assert pool.used == 1
        assert not pool.may_send(Applicant("r2", 2, None), limits._read_clock())  # type: ignore[arg-type]

    run_scenario(scenario)


def test_trial_of_a_block_is_left_to_a_request() -> None:
    """Guards against an explanation that takes the only trial of a blocked part."""

    async def scenario(environment: HostEnvironment) -> None:
        now = asyncio.get_running_loop().time()
        crashes = environment.hosts[0]._crashes
        crashes.blocks.add(Block("m", frozenset({"aa"}), now - 1.0))  # type: ignore[arg-type]
        explanation = await check_next(environment, ENGINE_QUESTION)
        assert "upstream" in explanation["decision"]
        crashes.blocks.add(Block("m", frozenset({"aa"}), now + 100.0))  # type: ignore[arg-type]
        explanation = await check_next(environment, {**ENGINE_QUESTION, "request_id": "r2"})
        assert explanation["decision"]["refusal"]["code"] == ResultCode.PROMPT_BLOCKED

    run_scenario(scenario)


def test_rollout_counts_no_explanation_and_draws_the_same_version() -> None:
    """Guards against explanations that shift which requests go to a new version."""

    async def scenario(environment: HostEnvironment) -> None:
        await environment.add_server("p3", "kafi81c", software="v2")
        await asyncio.sleep(0.3)
        releases = environment.hosts[0]._dispatcher.releases
        assert releases is not None
        order = ReleaseOrder(ServiceName("kafi81c"), "v2", 60.0, 1)
        releases.record_order(order, is_new=True)
        releases.is_loaded = True
        for n in range(4):
            explanation = await check_next(environment, {**PLAIN_QUESTION, "request_id": f"r{n}"})
            assert explanation["release"]["version"] == "v2"
            assert explanation["release"]["is_for_new_version"] is False
            assert explanation["excluded"] == [
                {"upstream": "p3", "reason": "its software version v2 is not used for this request"}
            ]
        (release,) = releases.releases
        assert release.counts.requests == 4

    run_scenario(scenario, releases=ReleaseBounds(0.1, 50.0, 3.0))


def test_admission_control_measures_only_requests() -> None:
    """Guards against explanations that count as demand or raise the measured pressure."""

    async def main() -> None:
        environment = await start_environment()
        await environment.add_host("h0", has_admission_control=True)
        await asyncio.sleep(0.3)
        try:
            host = environment.hosts[0]
            for n in range(20):
                if n == 8:
                    for name in ("e1", "e2"):
                        host._registry.add_work(InstanceId(name), Work(200, 300_000, 1000))
                await check_next(environment, {**ENGINE_QUESTION, "request_id": f"r{n}"})
                await asyncio.sleep(0.03)
            explanation = await check_next(environment, {**ENGINE_QUESTION, "request_id": "last"})
            assert explanation["decision"]["refusal"]["code"] == ResultCode.OVERLOADED
            assert explanation["log"][-1]["message"] == "routing: admission refused"
        finally:
            await environment.close()

    asyncio.run(main())


def test_account_over_its_rate_is_refused_without_a_charge() -> None:
    """Guards against explanations that use up an account's quota."""

    async def scenario(environment: HostEnvironment) -> None:
        question = {**ENGINE_QUESTION, "prompt_tokens": 70_000}
        del question["key"]
        question["account"] = "sese880"
        for _ in range(3):
            assert "upstream" in explain_directly(environment, question)["decision"]
        host = environment.hosts[0]
        site = host._follower.site
        assert site is not None
        assert host._quotas.admit(site.accounts[0], 70_000) is None
        before = capture_state(host)
        refusal = explain_directly(environment, question)["decision"]["refusal"]
        assert refusal["code"] == ResultCode.RATE_EXCEEDED
        assert refusal["retry_after"] > 0
        assert list_changes(before, capture_state(host)) == []

    run_scenario(scenario)


def test_nothing_is_logged_and_no_key_is_shown(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against decision lines of requests that don't exist, and keys in logs or answers."""

    async def scenario(environment: HostEnvironment) -> None:
        caplog.clear()
        bodies = []
        for key in (SECRET, "key-unknown-77"):
            answer = await send_question(
                environment, json.dumps({**ENGINE_QUESTION, "key": key}).encode()
            )
            bodies.append(answer.body)
        bodies.append((await send_question(environment, b'{"key": "key-unknown-77", "x": 1}')).body)
        bodies.append((await send_question(environment, b'{"key-unknown-77": 1}')).body)
        text = b"".join(bodies).decode() + caplog.text
        assert SECRET not in text
        assert "key-unknown-77" not in text
        assert not [r for r in caplog.records if getattr(r, "decision", False)]

    with caplog.at_level(logging.INFO, logger="turmericproxy"):
        logging.getLogger("turmericproxy").propagate = True
        run_scenario(scenario)


def test_rate_is_bounded() -> None:
    """Guards against explanations that take the time of requests."""

    async def scenario(environment: HostEnvironment) -> None:
        body = json.dumps(PLAIN_QUESTION).encode()
        answers = [await send_question(environment, body) for _ in range(8)]
        assert [a.status for a in answers[:5]] == [200] * 5
        assert answers[-1].status == 429
        assert 0 < float(answers[-1].fields["retry-after"]) <= 0.2
        assert json.loads(answers[-1].body)["error"]["code"] == ResultCode.RATE_EXCEEDED
        await asyncio.sleep(0.3)
        assert (await send_question(environment, body)).status == 200

    run_scenario(scenario)


def test_size_is_bounded() -> None:
    """Guards against memory that descriptions of any length take."""

    async def scenario(environment: HostEnvironment) -> None:
        question = json.dumps(PLAIN_QUESTION).encode()
        largest = question + b" " * (MAX_BODY_BYTES - len(question))
        assert (await send_question(environment, largest)).status == 200
        answer = await send_question(environment, largest + b" ")
        assert answer.status == 413
        assert json.loads(answer.body)["error"]["code"] == ResultCode.BODY_TOO_LARGE

    run_scenario(scenario)


def test_bad_input_gets_numbered_errors() -> None:
    """Guards against faults of the program, and explanations of something else than asked for."""

    async def scenario(environment: HostEnvironment) -> None:
        for body, status, code in (
            (b"{", 400, 100),
            (json.dumps({**PLAIN_QUESTION, "account": "none", "key": None}).encode(), 404, 601),
        ):
            answer = await send_question(environment, body)
            assert (answer.status, json.loads(answer.body)["error"]["code"]) == (status, code)
        assert (await send_question(environment, b"", method="GET")).status == 405

    run_scenario(scenario)


def test_fault_of_the_program_is_answered_without_its_text(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a closed connection, and a key in the text of an exception."""

    def fail(*_arguments: object, **_options: object) -> None:
        raise ValueError(SECRET)

    monkeypatch.setattr("turmericproxy.explaining.explanation.try_decision", fail)

    async def scenario(environment: HostEnvironment) -> None:
        answer = await send_question(environment, json.dumps(PLAIN_QUESTION).encode())
        assert answer.status == 500
        assert json.loads(answer.body)["error"]["code"] == ResultCode.INTERNAL_ERROR
        assert SECRET not in answer.body.decode() + caplog.text

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"path": "/nowhere/"}, ResultCode.UNKNOWN_ROUTE),
        ({"key": None}, ResultCode.KEY_MISSING),
        ({"key": "none"}, ResultCode.KEY_UNKNOWN),
    ],
)
def test_refusal_by_route_or_key_is_the_decision(
    changes: dict[str, object], code: ResultCode
) -> None:
    """Guards against an error of the command in place of the refusal that a request would get."""

    async def scenario(environment: HostEnvironment) -> None:
        explanation = await ask(environment, {**PLAIN_QUESTION, **changes})
        assert explanation["decision"]["refusal"]["code"] == code

    run_scenario(scenario)


def test_host_without_configuration_says_so() -> None:
    """Guards against a fault while the store can't be read at the start."""

    async def main() -> None:
        environment = await start_environment()
        environment.store.refusal = 503
        await environment.add_host("h0")
        await asyncio.sleep(0.2)
        try:
            explanation = await ask(environment, PLAIN_QUESTION)
            assert explanation["decision"]["refusal"]["code"] == ResultCode.NO_UPSTREAM
            assert explanation["configuration"] == {"revision": None, "age_seconds": None}
        finally:
            await environment.close()

    asyncio.run(main())


def test_unavailable_store_shows_in_the_age_of_the_configuration() -> None:
    """Guards against an explanation that fails with the store, or hides how old its basis is."""

    async def scenario(environment: HostEnvironment) -> None:
        environment.store.close()
        await asyncio.sleep(1.0)
        explanation = await ask(environment, PLAIN_QUESTION)
        assert explanation["decision"]["upstream"] in ("p1", "p2")
        assert explanation["configuration"]["age_seconds"] >= 0.5

    run_scenario(scenario)


def test_service_without_upstreams_is_refused_with_retry_after() -> None:
    """Guards against a fault where no candidate is left."""

    async def scenario(environment: HostEnvironment) -> None:
        for name in ("p1", "p2"):
            environment.store.delete("servers", name)
        await asyncio.sleep(0.2)
        explanation = await check_next(environment, PLAIN_QUESTION)
        refusal = explanation["decision"]["refusal"]
        assert refusal["code"] == ResultCode.NO_UPSTREAM
        assert 0 < refusal["retry_after"] < 1
        assert explanation["candidates"] == []

    run_scenario(scenario)


def test_draining_host_says_so() -> None:
    """Guards against an upstream named by a host that accepts no requests any more."""

    async def scenario(environment: HostEnvironment) -> None:
        drain = asyncio.create_task(environment.hosts[0]._drain())
        await asyncio.sleep(0.1)
        explanation = await ask(environment, PLAIN_QUESTION)
        assert explanation["is_draining"]
        assert "upstream" in explanation["decision"]
        await drain
        explanation = await ask(environment, PLAIN_QUESTION)
        assert explanation["decision"]["refusal"]["code"] == ResultCode.DRAINING

    run_scenario(scenario)
