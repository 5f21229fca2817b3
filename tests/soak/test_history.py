"""Check that each violation is found, and that valid histories yield none."""

from dataclasses import replace

import pytest

from tests.soak.history import Call, History, Kind, LoadOrder, ReceivedRequest, find_violations

CALL = Call(
    "r1",
    Kind.BOOKING,
    "h0",
    sent_at=1.0,
    limit_seconds=0.8,
    status=200,
    answer_id="r1",
    body=b"done:visit",
    expected_body=b"done:visit",
    is_complete=True,
    ended_at=1.1,
)
REQUEST = ReceivedRequest("r1", "p1", 1.05, "acct", key=None, is_rejected=False)
REJECTED = replace(REQUEST, is_rejected=True)
ORDER = LoadOrder("e1", "h0", 2)


def create_history(
    call: Call = CALL, *received: ReceivedRequest, orders: tuple[LoadOrder, ...] = ()
) -> History:
    return History("acct", [call], list(received), list(orders))


@pytest.mark.parametrize(
    "history",
    [
        create_history(CALL, REQUEST),
        create_history(CALL, REJECTED, REQUEST),
        create_history(replace(CALL, status=503, body=b""), REJECTED),
        create_history(replace(CALL, kind=Kind.LOOKUP), REQUEST, REQUEST),
        create_history(replace(CALL, body=b"done", is_complete=False), REQUEST),
        create_history(replace(CALL, status=None, body=b"", was_host_disrupted=True), REQUEST),
        create_history(CALL, REQUEST, orders=(ORDER, ORDER, LoadOrder("e2", "h1", 3))),
    ],
)
def test_valid_histories_yield_no_violations(history: History) -> None:
    assert find_violations(history) == []


@pytest.mark.parametrize(
    ("history", "expected"),
    [
        (create_history(CALL, REQUEST, REQUEST), "ran 2 times"),
        (create_history(replace(CALL, status=503, body=b""), REQUEST), "got 503 and ran"),
        (create_history(replace(CALL, answer_id="r2"), REQUEST), "answer of r2"),
        (create_history(replace(CALL, body=b"done:vis"), REQUEST), "as a complete body"),
        (
            create_history(replace(CALL, body=b"visit", is_complete=False), REQUEST),
            "not a prefix of the expected body",
        ),
        (
            create_history(CALL, REQUEST, replace(REQUEST, request_id="r9")),
            "which no caller sent",
        ),
        (create_history(CALL, replace(REQUEST, account="other")), "as 'other'"),
        (create_history(CALL, replace(REQUEST, key="Bearer k")), "with key"),
        (create_history(replace(CALL, ended_at=4.0), REQUEST), "ended after 3.0 s"),
        (create_history(replace(CALL, status=None, body=b""), REQUEST), "got no answer"),
        (create_history(CALL, REQUEST, orders=(ORDER, LoadOrder("e1", "h1", 2))), "was used by"),
        (
            create_history(CALL, REQUEST, orders=(ORDER, LoadOrder("e1", "h0", 1))),
            "got fence 1 after 2",
        ),
    ],
)
def test_violations_are_reported(history: History, expected: str) -> None:
    assert any(expected in line for line in find_violations(history))


def test_requests_after_a_drain_are_reported() -> None:
    history = create_history(CALL, REQUEST)
    history.drain_times["p1"] = REQUEST.started_at - 2.5
    assert "after its drain" in find_violations(history)[0]


def test_drains_during_a_store_fault_are_not_checked() -> None:
    history = create_history(CALL, REQUEST)
    history.drain_times["p1"] = drained_at = REQUEST.started_at - 2.5
    history.store_faults.append((drained_at - 1, drained_at + 1))
    assert find_violations(history) == []
    history.store_faults[0] = (drained_at - 9, drained_at - 4)
    assert find_violations(history) != []
