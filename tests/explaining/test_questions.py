"""Test the decoder of described requests."""

import json

import pytest

from turmericproxy.core import Refusal, ResultCode
from turmericproxy.explaining.questions import read_question

VALID = {"host": "a.example", "path": "/x?y", "model": "m", "parts": ["a:b:3", "c:4"]}


def test_tokens_of_the_prompt_are_those_of_its_parts() -> None:
    """Guards against part identifiers with a colon that are split in the wrong place."""
    question = read_question(json.dumps(VALID).encode())
    assert not isinstance(question, Refusal)
    assert question.prompt is not None
    assert [(p.part_id, p.tokens) for p in question.prompt.parts] == [("a:b", 3), ("c", 4)]
    assert question.prompt.prompt_tokens == 7
    assert question.path == "/x"


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"host": None}, "host"),
        ({"host": 3}, "host"),
        ({"path": "x"}, "path"),
        ({"account": "a", "key": "secret"}, "account"),
        ({"key": "secret\r\n"}, "key"),
        ({"model": None}, "parts"),
        ({"parts": "a:3"}, "parts"),
        ({"parts": ["a:-3"]}, "parts"),
        ({"parts": ["a:\u0663"]}, "parts"),
        ({"parts": [["a", 3]]}, "parts"),
        ({"prompt_tokens": -1}, "prompt_tokens"),
        ({"prompt_tokens": 1.5}, "prompt_tokens"),
        ({"output_tokens": True}, "output_tokens"),
        ({"output_tokens": 10**30}, "output_tokens"),
        ({"priority": "1"}, "priority"),
        ({"priority": 10}, "priority"),
        ({"deadline_seconds": float("nan")}, "deadline_seconds"),
        ({"deadline_seconds": float("inf")}, "deadline_seconds"),
        ({"deadline_seconds": 601}, "deadline_seconds"),
    ],
)
def test_fault_names_the_field_and_not_its_value(changes: dict[str, object], field: str) -> None:
    """Guards against faults of the program, and keys in error messages."""
    refusal = read_question(json.dumps({**VALID, **changes}).encode())
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.BAD_REQUEST
    assert refusal.reason.startswith(f"{field}: ")
    assert "secret" not in refusal.reason


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[]", b"[" * 60_000, b'{"secret": 1}'])
def test_body_that_is_no_description_is_refused(body: bytes) -> None:
    """Guards against faults of the program on any bytes."""
    refusal = read_question(body)
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.BAD_REQUEST
    assert "secret" not in refusal.reason
