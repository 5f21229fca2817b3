"""Tell from log lines what happened to one request, and why."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from turmericproxy.core import ResultCode


class RequestResult(Enum):
    """Tell how a request ended."""

    ANSWERED = "answered"
    REFUSED = "refused; it has not run"
    UNCLEAR = "failed; it may have run"
    BROKEN_OFF = "broken off in the middle of its answer"
    UNKNOWN = "no line tells the end"


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line of a host's log."""

    host: str
    time: str
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Hold the lines of a request in order, how it ended, and the cause."""

    lines: tuple[LogLine, ...]
    result: RequestResult
    cause: str


_STANDARD_FIELDS = frozenset({"asctime", "levelname", "message", "host", "decision", "request_id"})


def read_lines(lines: Iterable[str], request_id: str) -> tuple[LogLine, ...]:
    """Return the lines that tell of a request; other lines and torn ones are passed over."""
    found = []
    for text in lines:
        # A line may stand behind a time or a name that a collector has put before it.
        start = text.find("{")
        if start < 0 or request_id not in text:
            continue
        try:
            content = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(content, dict) and content.get("request_id") == request_id:
            found.append(_create_line(content))
    return tuple(sorted(found, key=lambda line: line.time))


def explain_request(lines: tuple[LogLine, ...]) -> Explanation:
    """Return how a request ended and the line that decided it."""
    refusals = [line for line in lines if line.message.endswith("refused")]
    attempts = [line for line in lines if line.message.endswith("attempt ended")]
    if refusals:
        last = refusals[-1].fields
        code = ResultCode(last["code"])
        cause = f"result {int(code)} ({code.name.lower()}): {last['reason']}"
        return Explanation(lines, _judge_refusal(last), _add_attempt(cause, attempts))
    if attempts and attempts[-1].fields.get("step") == "answer":
        fields = attempts[-1].fields
        cause = f"status {fields['status']} of {fields['upstream']} was passed on"
        return Explanation(lines, RequestResult.ANSWERED, cause)
    return Explanation(
        lines, RequestResult.UNKNOWN, "the client left, or the host ended, before an answer"
    )


def _create_line(content: dict[str, Any]) -> LogLine:
    fields = {name: value for name, value in content.items() if name not in _STANDARD_FIELDS}
    return LogLine(
        host=str(content.get("host", "")),
        time=str(content.get("asctime", "")),
        message=str(content.get("message", "")),
        fields=fields,
    )


def _judge_refusal(fields: dict[str, Any]) -> RequestResult:
    if fields.get("stream_started"):
        return RequestResult.BROKEN_OFF
    return RequestResult.REFUSED if fields.get("run") == "not_run" else RequestResult.UNCLEAR


def _add_attempt(cause: str, attempts: list[LogLine]) -> str:
    if not attempts:
        return f"{cause}; nothing was sent"
    fields = attempts[-1].fields
    reason = fields.get("reason") or f"status {fields.get('status')}"
    return (
        f"{cause}; attempt {fields['tries']} at {fields['upstream']}: {fields['outcome']}, {reason}"
    )
