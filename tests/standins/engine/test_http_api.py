"""Check the HTTP API of the engine stand-in, its crashes and its mismatched answers."""

import json
import time
from collections.abc import Iterator
from typing import Any

import pytest

from turmericproxy.bench.processes import pick_addresses
from turmericproxy.standins.engine import (
    EngineOptions,
    EngineStandIn,
    create_engine,
    generate_text,
)
from turmericproxy.web import CallFailure, HttpClient

PREFIX = "shared rules " * 1_300
MESSAGES = [{"role": "user", "content": PREFIX + "Which notes are flat?"}]
PROMPT = f"user:{PREFIX}Which notes are flat?\n"


@pytest.fixture
def engine() -> Iterator[EngineStandIn]:
    # After a crash, an engine bound to port 0 can't rebind its port while old connections linger.
    address = pick_addresses(1)[0]
    stand_in = create_engine(
        EngineOptions(address=address, event_lag=0.0, load_lag=0.0, load_time=0.05)
    )
    stand_in.start()
    yield stand_in
    stand_in.close()


@pytest.fixture
def client(engine: EngineStandIn) -> HttpClient:
    return HttpClient(engine.address, read_timeout=3.0)


def build_body(request_id: str, **changes: object) -> dict[str, Any]:
    return {
        "request_id": request_id,
        "model": "verdict",
        "version": "1",
        "messages": MESSAGES,
        "max_tokens": 8,
        "cache_salt": "afinaciones",
        **changes,
    }


def read_stream(client: HttpClient, path: str, body: dict[str, Any]) -> list[dict[str, Any]]:
    answer = client.open("POST", path, body=json.dumps({**body, "stream": True}).encode())
    assert not isinstance(answer, CallFailure) and answer.status == 200
    events = []
    try:
        for chunk in answer.stream(decode_content=False):
            for line in chunk.split(b"\n\n"):
                if line.startswith(b"data: {"):
                    events.append(json.loads(line[6:]))
    except Exception as error:
        events.append({"broken": type(error).__name__})
    return events


def join_text(events: list[dict[str, Any]]) -> str:
    return "".join(event.get("text", "") for event in events)


def test_repeat_hits_cache_and_other_account_does_not(client: HttpClient) -> None:
    first = client.call_json("POST", "/v1/chat/completions", build_body("a"))
    again = client.call_json("POST", "/v1/chat/completions", build_body("b"))
    other = client.call_json("POST", "/v1/chat/completions", build_body("c", cache_salt="x"))
    for answer in (first, again, other):
        assert not isinstance(answer, CallFailure) and answer[0] == 200
    assert [answer[1]["usage"]["cached_tokens"] for answer in (first, again, other)] == [0, 4000, 0]
    assert again[1]["text"] == generate_text(PROMPT, "verdict", "1", 8)
    events = client.call_json("GET", "/v1/events?after=0&wait=1")
    assert [event["seq"] for event in events[1]["events"]] == [1, 2, 3, 4]


def test_broken_stream_is_resumed_to_its_end(engine: EngineStandIn, client: HttpClient) -> None:
    client.call_json("POST", "/control", {"break_stream_after": 3})
    events = read_stream(client, "/v1/chat/completions", build_body("a"))
    assert [event.get("index") for event in events] == [0, 1, 2, None]
    events = events[:3] + read_stream(client, "/v1/resume", {"request_id": "a", "after": 2})
    assert join_text(events) == generate_text(PROMPT, "verdict", "1", 8)
    assert events[-1]["usage"]["completion_tokens"] == 8


def test_crash_cuts_streams_and_empties_cache(engine: EngineStandIn, client: HttpClient) -> None:
    before = client.call_json("GET", "/control")[1]
    client.call_json("POST", "/v1/chat/completions", build_body("a"))
    client.call_json("POST", "/control", {"crash": 0.1})
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        answer = client.call_json("GET", "/control")
        if (
            not isinstance(answer, CallFailure)
            and answer[1]["incarnation"] != before["incarnation"]
        ):
            break
    assert answer[1]["cached"] == [] and answer[1]["incarnation"] != before["incarnation"]
    assert client.call_json("POST", "/v1/resume", {"request_id": "a", "after": 0})[0] == 404


def test_mismatched_answer_has_another_id_and_text(client: HttpClient) -> None:
    client.call_json("POST", "/control", {"crossed": 1, "crossed_after": 2})
    events = read_stream(client, "/v1/chat/completions", build_body("a"))
    assert [event["id"] == "a" for event in events[:4]] == [True, True, False, False]
    assert join_text(events) != generate_text(PROMPT, "verdict", "1", 8)


def test_old_fence_is_refused_and_newer_loads(client: HttpClient) -> None:
    order = {"kind": "load", "model": "verdict", "version": "2"}
    assert client.call_json("POST", "/v1/orders", {**order, "fence": 5})[0] == 200
    assert client.call_json("POST", "/v1/orders", {**order, "fence": 4, "version": "1"}) == (
        409,
        {"accepted": False, "fence": 5},
    )
    deadline = time.monotonic() + 5
    while client.call_json("GET", "/v1/load")[1]["versions"] != {"verdict": "2"}:
        assert time.monotonic() < deadline
    assert client.call_json("POST", "/v1/chat/completions", build_body("a"))[0] == 409


def test_cancel_frees_the_slot(client: HttpClient) -> None:
    body = build_body("a", max_tokens=1_000)
    answer = client.open(
        "POST", "/v1/chat/completions", body=json.dumps({**body, "stream": True}).encode()
    )
    assert client.call_json("GET", "/v1/load")[1]["running"] == 1
    assert client.call_json("POST", "/v1/cancel", {"request_id": "a"})[1] == {"cancelled": True}
    assert client.call_json("GET", "/v1/load")[1]["running"] == 0
    answer.close()


# A resumed request was cancelled because the connection that it replaced was closed afterwards.
def test_resumed_stream_outlasts_the_connection_that_it_replaced() -> None:
    engine = create_engine(EngineOptions(resume_hold=0.2))
    engine.start()
    client = HttpClient(engine.address, read_timeout=3.0)
    body = json.dumps({**build_body("a", max_tokens=80), "stream": True}).encode()
    replaced = client.open("POST", "/v1/chat/completions", body=body)
    resume = json.dumps({"request_id": "a", "after": -1}).encode()
    resumed = client.open("POST", "/v1/resume", body=resume)
    assert not isinstance(replaced, CallFailure) and not isinstance(resumed, CallFailure)
    replaced.close()
    content = b"".join(resumed.stream(decode_content=False))
    engine.close()
    assert content.endswith(b"data: [DONE]\n\n")
