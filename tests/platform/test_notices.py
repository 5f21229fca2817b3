"""Check that announcements of servers are decoded, and that absurd values are bounded."""

import pytest

from turmericproxy.edge import AnswerHead, Headers
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice
from turmericproxy.platform.notices import (
    MAX_PAUSE_SECONDS,
    UNREADABLE_PAUSE_SECONDS,
    read_notice,
)


def read(status: int, *fields: tuple[str, str]) -> UpstreamNotice:
    return read_notice(AnswerHead(status, Headers(fields)))


@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_every_answer_may_announce_that_the_server_leaves(status: int) -> None:
    assert read(status, ("server-leaving", "1")) == UpstreamNotice(is_leaving=True)


@pytest.mark.parametrize("value", ["0", "", "no"])
def test_other_values_announce_nothing(value: str) -> None:
    assert read(200, ("Server-Leaving", value)) == NO_NOTICE


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        (" 0.25 ", 0.25),
        ("0", 0.0),
        ("1e12", MAX_PAUSE_SECONDS),
        ("inf", MAX_PAUSE_SECONDS),
        ("-3", UNREADABLE_PAUSE_SECONDS),
        ("nan", UNREADABLE_PAUSE_SECONDS),
        ("", UNREADABLE_PAUSE_SECONDS),
        ("Fri, 04 Dec 2026 08:00:00 GMT", UNREADABLE_PAUSE_SECONDS),
    ],
)
def test_pause_is_read_within_bounds(text: str, seconds: float) -> None:
    assert read(503, ("Retry-After", text)) == UpstreamNotice(pause_seconds=seconds)


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_of_other_answers_asks_for_no_pause(status: int) -> None:
    assert read(status, ("Retry-After", "2")) == NO_NOTICE


@pytest.mark.parametrize("status", [200, 202, 409, 421, 429, 500, 503])
def test_every_answer_may_name_a_limit(status: int) -> None:
    assert read(status, ("server-limit", "1.7")) == UpstreamNotice(request_limit=1.7)


@pytest.mark.parametrize(
    ("text", "limit"), [("0", 0.0), (" 2.5 ", 2.5), (".5", 0.5), ("3.", 3.0), ("0.0001", 0.0001)]
)
def test_limit_is_a_decimal_number(text: str, limit: float) -> None:
    assert read(200, ("Server-Limit", text)).request_limit == limit


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "1_0", "2, 3", "two", "9" * 41])
def test_other_limits_are_unreadable(text: str) -> None:
    assert read(200, ("Server-Limit", text)) == UpstreamNotice(is_limit_unreadable=True)


def test_refusal_may_name_a_limit_and_a_pause() -> None:
    notice = read(503, ("Server-Limit", "2"), ("Retry-After", "1.5"), ("Server-Leaving", "1"))
    assert notice == UpstreamNotice(is_leaving=True, pause_seconds=1.5, request_limit=2.0)
