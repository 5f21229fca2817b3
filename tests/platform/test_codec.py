"""Test the decoding and encoding of the platform's requests and answers."""

import pytest

from turmericproxy.core import AccountName, Refusal, ResultCode, RunState, refuse
from turmericproxy.edge import AnswerHead, ClientRequest, Headers
from turmericproxy.platform.codec import PlatformCodec
from turmericproxy.traffic.requests import Dispatch, ParsedRequest, Verdict

CODEC = PlatformCodec()
ID = ("X-Attempt-Id", "9c41d07be2a35f68")


def create_request(*fields: tuple[str, str], body: bytes = b"") -> ClientRequest:
    return ClientRequest("POST", "/a%2fb?x=1", Headers([("Host", "H:80"), *fields]), body, 50.0)


def read(*fields: tuple[str, str], body: bytes = b"") -> ParsedRequest:
    parsed = CODEC.read_request(create_request(ID, *fields, body=body))
    assert isinstance(parsed, ParsedRequest)
    return parsed


def write(parsed: ParsedRequest, **fields: object) -> tuple[str, dict[str, str], bytes]:
    dispatch = Dispatch("i-1", 1.5, AccountName("acc"), 1, **fields)  # type: ignore[arg-type]
    head, _, body = CODEC.write_request(parsed, dispatch).partition(b"\r\n\r\n")
    line, *lines = head.decode().split("\r\n")
    return line, dict(field.split(": ", 1) for field in lines), body


def test_request_is_parsed() -> None:
    parsed = read(
        ("X-Request-Deadline", "4000"),
        ("X-Model", "m"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"),
        ("Authorization", "Bearer key"),
    )
    assert (parsed.host, parsed.key, parsed.deadline) == ("h", "key", 54.0)
    assert parsed.prompt is not None
    assert (parsed.prompt.prompt_tokens, parsed.prompt.output_tokens) == (1460, 80)
    assert [part.part_id for part in parsed.prompt.shared_parts] == ["5c1e", "91bd"]


@pytest.mark.parametrize(
    "field",
    [
        ("X-Request-Deadline", "soon"),
        ("X-Request-Deadline", "nan"),
        ("X-Request-Deadline", "-1"),
        ("X-Token-Count", "12"),
        ("X-Token-Count", "-1,2"),
        ("X-Prompt-Prefix", "5c1e"),
    ],
)
def test_invalid_fields_are_refused(field: tuple[str, str]) -> None:
    fields = {"X-Model": "m", "X-Token-Count": "1,2"} | dict([field])
    refusal = CODEC.read_request(create_request(ID, *fields.items()))
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.BAD_REQUEST


def test_request_without_an_id_is_refused() -> None:
    assert isinstance(CODEC.read_request(create_request()), Refusal)


def test_target_body_and_id_are_forwarded_unchanged() -> None:
    line, fields, body = write(read(("X-Own", "1"), body=b"\x00bytes"))
    assert line == "POST /a%2fb?x=1 HTTP/1.1"
    assert fields["X-Attempt-Id"] == ID[1]
    assert fields["X-Own"] == "1"
    assert body == b"\x00bytes"
    assert fields["Content-Length"] == "6"


@pytest.mark.parametrize(
    "name",
    [
        "Authorization",
        "X-Tenant",
        "X_Tenant",
        "x-cache-salt",
        "X-Kv-Fetch",
        "X-Kv-Save",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "X-Expect-Version",
        "X-Request-Priority",
        "Transfer-Encoding",
        "Connection",
    ],
)
def test_reserved_fields_of_a_client_are_not_forwarded(name: str) -> None:
    _, fields, _ = write(read((name, "forged")))
    assert "forged" not in fields.values()


def test_field_named_by_connection_is_dropped() -> None:
    _, fields, _ = write(read(("Connection", "close, X-Hop"), ("X-Hop", "1")))
    assert "X-Hop" not in fields


def test_fields_of_the_dispatch_are_added() -> None:
    _, fields, _ = write(
        read(("X-Request-Deadline", "4000")),
        version=3,
        cache_space="w/m/3",
        fetch_from="10.0.0.1:80",
        save_to="10.0.0.2:80",
        resume_after="7",
    )
    assert fields["X-Request-Deadline"] == "1500"
    assert fields["X-Expect-Instance"] == "i-1"
    assert fields["X-Expect-Version"] == "3"
    assert fields["X-Tenant"] == "acc"
    assert fields["X-Cache-Salt"] == "w/m/3"
    assert fields["X-Kv-Fetch"] == "10.0.0.1:80"
    assert fields["X-Kv-Save"] == "10.0.0.2:80"
    assert fields["Last-Event-Id"] == "7"


SIGNED = {"X-Attempt-Id": ID[1], "X-Response-Signature": "s"}


@pytest.mark.parametrize(
    ("status", "fields", "verdict"),
    [
        (200, SIGNED, Verdict.SUCCESS),
        (200, {"X-Attempt-Id": ID[1]}, Verdict.FOREIGN),
        (200, {**SIGNED, "X-Attempt-Id": "other"}, Verdict.FOREIGN),
        (200, {**SIGNED, "Content-Encoding": "gzip"}, Verdict.FOREIGN),
        (500, SIGNED, Verdict.FAILURE),
        (500, {"X-Attempt-Id": "other"}, Verdict.FOREIGN),
        (503, {"X-Not-Executed": "1"}, Verdict.NOT_RUN),
        (503, {}, Verdict.FAILURE),
        (421, {"X-Instance-Id": "i-2"}, Verdict.WRONG_INSTANCE),
    ],
)
def test_answers_are_classified_by_their_head(
    status: int, fields: dict[str, str], verdict: Verdict
) -> None:
    head = AnswerHead(status, Headers(fields.items()))
    answer = CODEC.read_answer(read(), Dispatch("i-1", 1.0, None, 1), head)
    assert answer.verdict is verdict


def test_retry_after_is_sent_only_if_the_request_has_not_run() -> None:
    unknown = refuse(ResultCode.OVERLOADED, "x", RunState.UNKNOWN, retry_after=1.0)
    status, fields = CODEC.write_refusal(read(), unknown)
    assert status == 502
    assert "Retry-After" not in dict(fields)
    status, fields = CODEC.write_refusal(
        read(), refuse(ResultCode.RATE_EXCEEDED, "x", retry_after=0.25)
    )
    assert status == 429
    assert dict(fields)["Retry-After"] == "0.25"
