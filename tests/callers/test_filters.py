"""Check the admission, queue and claim filters."""

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
    """Answer lookups with a fixed result, and record how claims end."""

    def __init__(self, stored: StoredOutcome | Refusal | None = None) -> None:
        self.stored = stored
        self.settlements: list[str] = []

    def look_up(self, *_: object) -> StoredOutcome | Refusal | None:
        return self.stored

    def claim(self, *_: object) -> str:
        return "claim"

    def finish(self, *_: object) -> None:
        self.settlements.append("finished")

    def mark_unknown(self, *_: object) -> None:
        self.settlements.append("unknown")

    def release(self, *_: object) -> None:
        self.settlements.append("released")


def admit(stored: StoredOutcome | Refusal | None) -> HttpResponse | Refusal:
    rates: Any = RefusingRates()
    claims: Any = RecordingClaims(stored)
    return AdmissionFilter(rates, claims)(EXCHANGE, lambda _: HttpResponse(200))


def test_repeat_that_exceeds_the_rate_gets_the_stored_outcome() -> None:
    answer = admit(StoredOutcome(Outcome(201, (), b"booked")))
    assert isinstance(answer, HttpResponse) and answer.body == b"booked"


def test_refused_repeat_reports_unknown_if_its_first_call_may_have_run() -> None:
    unknown = refuse(ResultCode.OUTCOME_UNKNOWN, "the answer is lost", RunState.UNKNOWN)
    assert admit(unknown) is unknown
    assert admit(None) is OVER_RATE


def test_claim_is_settled_by_the_outcome_of_the_call() -> None:
    broken = refuse(ResultCode.OUTCOME_UNKNOWN, "connection lost", RunState.UNKNOWN)
    answers = {
        "finished": HttpResponse(200, b"booked"),
        "released": replace(OVER_RATE),
        "unknown": broken,
    }
    for settlement, answer in answers.items():
        claims: Any = RecordingClaims()
        assert ClaimFilter(claims)(EXCHANGE, lambda _, a=answer: a) is answer
        assert claims.settlements == [settlement]


def test_exception_in_the_relay_releases_the_queue_slot() -> None:
    queue = FairQueue(running=1, waiting=1)
    chat = ChatCall(ModelName("m"), "1", (), "", 1, 1, is_streamed=True)
    exchange = replace(EXCHANGE, call=chat, deadline=read_boottime() + 5)
    with pytest.raises(RuntimeError):
        QueueFilter(queue)(exchange, raise_error)
    assert not isinstance(queue.enter(IDENTITY.account, 1, read_boottime() + 0.1), Refusal)


def test_body_digest_covers_the_route_and_path_but_not_the_idempotency_key() -> None:
    assert replace(CALL, name=RouteName("hours")).body_digest != CALL.body_digest
    assert replace(CALL, path="/cancel").body_digest != CALL.body_digest
    assert replace(CALL, idempotency_key="other").body_digest == CALL.body_digest


def raise_error(_: Exchange) -> HttpResponse:
    raise RuntimeError("fault")


def test_exception_in_the_relay_marks_the_claim_unknown() -> None:
    claims: Any = RecordingClaims()
    with pytest.raises(RuntimeError):
        ClaimFilter(claims)(EXCHANGE, raise_error)
    assert claims.settlements == ["unknown"]
