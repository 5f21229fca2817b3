"""Check what callers are told by the filters."""

from dataclasses import replace
from typing import Any

import pytest

from turmericproxy.bookings import Outcome, StoredOutcome
from turmericproxy.callers.calls import ChatCall, PlainCall
from turmericproxy.callers.exchange import Exchange
from turmericproxy.callers.filters import AdmissionFilter, ClaimFilter, QueueFilter
from turmericproxy.configuration import Route
from turmericproxy.core import (
    AccountName,
    KeyId,
    ModelName,
    Refusal,
    RequestId,
    ResultCode,
    RouteName,
    RunState,
    read_boottime,
    refuse,
)
from turmericproxy.keys import Identity
from turmericproxy.routing import FairQueue
from turmericproxy.web import HttpResponse

ROUTE = Route(name="visits", upstreams=("booking-1",))
CALL = PlainCall(RouteName("visits"), ROUTE, "POST", "/book", (), b"{}", "visit-7")
IDENTITY = Identity(AccountName("workshop"), KeyId("k1"))
NO_REQUEST: Any = None
EXCHANGE = Exchange(RequestId("r"), NO_REQUEST, 0.0, 10.0, "secret", IDENTITY, CALL)
OVER_RATE = refuse(ResultCode.RATE_EXCEEDED, "the rate is used up", retry_after=1.0)


class RefusingRates:
    """Refuse every request."""

    def admit(self, *_: object) -> Refusal:
        return OVER_RATE


class RecordingClaims:
    """Answer look-ups with a fixed result and record how claims end."""

    def __init__(self, earlier: StoredOutcome | Refusal | None = None) -> None:
        self.earlier = earlier
        self.endings: list[str] = []

    def look_up(self, *_: object) -> StoredOutcome | Refusal | None:
        return self.earlier

    def claim(self, *_: object) -> str:
        return "claim"

    def finish(self, *_: object) -> None:
        self.endings.append("finished")

    def mark_unknown(self, *_: object) -> None:
        self.endings.append("unknown")

    def release(self, *_: object) -> None:
        self.endings.append("released")


def admit(earlier: StoredOutcome | Refusal | None) -> HttpResponse | Refusal:
    rates: Any = RefusingRates()
    claims: Any = RecordingClaims(earlier)
    return AdmissionFilter(rates, claims)(EXCHANGE, lambda _: HttpResponse(200))


def test_a_repeat_over_the_rate_gets_the_outcome_of_its_first_call() -> None:
    answer = admit(StoredOutcome(Outcome(201, (), b"booked")))
    assert isinstance(answer, HttpResponse) and answer.body == b"booked"


def test_a_repeat_over_the_rate_is_not_told_that_a_lost_call_did_not_run() -> None:
    unknown = refuse(ResultCode.OUTCOME_UNKNOWN, "the answer is lost", RunState.UNKNOWN)
    assert admit(unknown) is unknown
    assert admit(None) is OVER_RATE


def test_a_claim_ends_by_what_became_of_the_call() -> None:
    broken = refuse(ResultCode.OUTCOME_UNKNOWN, "broke off", RunState.UNKNOWN)
    answers = {
        "finished": HttpResponse(200, b"booked"),
        "released": replace(OVER_RATE),
        "unknown": broken,
    }
    for ending, answer in answers.items():
        claims: Any = RecordingClaims()
        assert ClaimFilter(claims)(EXCHANGE, lambda _, a=answer: a) is answer
        assert claims.endings == [ending]


def test_a_fault_of_the_program_leaves_no_place_of_the_queue_taken() -> None:
    queue = FairQueue(running=1, waiting=1)
    chat = ChatCall(ModelName("m"), "1", (), "", 1, 1, is_streamed=True)
    exchange = replace(EXCHANGE, call=chat, deadline=read_boottime() + 5)
    with pytest.raises(RuntimeError):
        QueueFilter(queue)(exchange, fail)
    assert not isinstance(queue.enter(IDENTITY.account, 1, read_boottime() + 0.1), Refusal)


def test_the_same_key_and_body_on_another_route_is_another_call() -> None:
    assert replace(CALL, name=RouteName("hours")).body_digest != CALL.body_digest
    assert replace(CALL, path="/cancel").body_digest != CALL.body_digest
    assert replace(CALL, idempotency_key="other").body_digest == CALL.body_digest


def fail(_: Exchange) -> HttpResponse:
    raise RuntimeError("fault")


def test_a_fault_of_the_program_leaves_the_claim_unknown() -> None:
    claims: Any = RecordingClaims()
    with pytest.raises(RuntimeError):
        ClaimFilter(claims)(EXCHANGE, fail)
    assert claims.endings == ["unknown"]
