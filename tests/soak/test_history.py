"""Check that each violation is found, and that valid histories yield none."""

from dataclasses import replace

import pytest

from tests.soak.history import (
    GRACE_SECONDS,
    PLAIN_SERVICE,
    Call,
    History,
    Kind,
    LoadOrder,
    ReceivedRequest,
    Stop,
    find_violations,
)

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
        create_history(
            replace(CALL, body=b"done", is_complete=False), replace(REQUEST, was_faulty=True)
        ),
        create_history(replace(CALL, status=502, body=b"", ended_at=1.8), REQUEST),
        create_history(replace(CALL, status=None, body=b"", is_complete=False, ended_at=1.1)),
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
        (create_history(replace(CALL, body=b"", is_complete=False), REQUEST), "closed after 0.10"),
        (
            create_history(
                replace(CALL, status=None, body=b"", is_complete=False, ended_at=1.3), REJECTED
            ),
            "closed after 0.30",
        ),
        (create_history(replace(CALL, status=502, body=b""), REQUEST), "was lost: 502"),
        (create_history(replace(CALL, status=504, body=b"")), "was lost: 504"),
        (
            create_history(replace(CALL, status=502, body=b""), replace(REJECTED, was_faulty=True)),
            "was lost: 502",
        ),
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


def test_answers_may_be_lost_if_a_server_broke_off_meanwhile() -> None:
    history = create_history(replace(CALL, is_complete=False), REQUEST)
    history.break_offs += [(PLAIN_SERVICE, CALL.sent_at - 0.1), ("other", CALL.sent_at)]
    assert "was lost" in find_violations(history)[0]
    history.break_offs.append((PLAIN_SERVICE, CALL.sent_at))
    assert find_violations(history) == []


@pytest.mark.parametrize(
    ("sent_after", "ended_after", "is_lost"),
    [(-0.1, 0.5, True), (2.9, 3.2, True), (2.9, 3.4, False), (3.1, 3.4, True)],
)
def test_answers_may_be_lost_at_the_end_of_the_grace(
    sent_after: float, ended_after: float, *, is_lost: bool
) -> None:
    call = replace(CALL, sent_at=5 + sent_after, ended_at=5 + ended_after, is_complete=False)
    history = create_history(call, REQUEST)
    history.stops.append(Stop(CALL.host, 5, 5 + GRACE_SECONDS))
    assert bool(find_violations(history)) is is_lost


def create_crashing_history(
    late_count: int, *, ends: int = 5, host_disturbed_at: float = 0.0
) -> History:
    """Return a history of engines that ended at 10 s, and of prompts that reach engines at 14 s."""
    calls = [
        replace(
            CALL,
            request_id=f"c{number}",
            kind=Kind.STREAM,
            sent_at=14.0,
            ended_at=14.1,
            status=502,
            ends_engines=True,
            host_disturbed_at=host_disturbed_at,
        )
        for number in range(late_count)
    ]
    received = [
        replace(REQUEST, request_id=call.request_id, started_at=14.0, was_faulty=True)
        for call in calls
    ]
    return History("acct", calls, received, engine_ends=[10.0] * ends)


def test_prompts_on_which_engines_end_are_counted_after_the_fifth_end() -> None:
    (line,) = find_violations(create_crashing_history(4))
    assert line == "4 prompts on which engines end reached engines late"
    assert find_violations(create_crashing_history(3)) == []
    assert find_violations(create_crashing_history(4, ends=4)) == []
    assert find_violations(create_crashing_history(4, host_disturbed_at=12.0)) == []


def test_sound_prompt_that_is_refused_for_a_part_is_found() -> None:
    call = replace(CALL, kind=Kind.STREAM, status=503, result_code="305", is_complete=True)
    (line,) = find_violations(create_history(call))
    assert "refused for a part" in line
    assert find_violations(create_history(replace(call, ends_engines=True))) == []
