"""Determine from log lines how a request ended, and why."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from turmericproxy.core import ResultCode


class RequestResult(Enum):
    """How a request ended; the ``explain`` command prints the values."""

    ANSWERED = "answered"
    REFUSED = "refused; it has not run"
    MAY_HAVE_RUN = "failed; it may have run"
    INTERRUPTED = "interrupted in the middle of its answer"
    UNKNOWN = "no log line shows how it ended"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of the log of a host."""

    host: str
    time: str
    message: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Explanation:
    """The log lines of a request in order of time, how it ended, and the cause."""

    lines: tuple[LogLine, ...]
    result: RequestResult
    cause: str


_STANDARD_FIELDS = frozenset({"asctime", "levelname", "message", "host", "decision", "request_id"})


def read_lines(lines: Iterable[str], request_id: str) -> tuple[LogLine, ...]:
    """Return the log lines of a request by time; other and truncated lines are ignored."""
    found = []
    for text in lines:
        content = _decode(text) if request_id in text else None
        if content and content.get("request_id") == request_id:
            found.append(_create_line(content))
    return tuple(sorted(found, key=lambda line: line.time))


def read_block_lines(
    texts: Sequence[str], request_lines: tuple[LogLine, ...]
) -> tuple[LogLine, ...]:
    """Return the lines on the block of prompt parts under which a request was refused, by time.

    They include the ends of engines that led to the block.
    """
    blocks = {name for line in request_lines if (name := line.fields.get("block"))}
    if not blocks:
        return ()
    told = (text for text in texts if '"block"' in text or "engine ended" in text)
    contents = [content for text in told if (content := _decode(text))]
    # A block may follow from a wider one, whose line tells the engines.
    blocks |= {c["previous"] for c in contents if c.get("block") in blocks and c.get("previous")}
    decisions = [c for c in contents if c.get("block") in blocks and not c.get("request_id")]
    engines = {engine for c in decisions for engine in c.get("engines", ())}
    ends = [c for c in contents if c.get("engine") in engines]
    lines = [_create_line(content) for content in [*ends, *decisions]]
    return tuple(sorted(lines, key=lambda line: line.time))


def _decode(text: str) -> dict[str, Any] | None:
    # A log collector may have added a prefix, such as a time or a host name.
    start = text.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(text[start:])
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def explain_request(lines: tuple[LogLine, ...]) -> Explanation:
    """Return how a request ended and the cause, from its last refusal or attempt."""
    refusals = [line for line in lines if line.message.endswith("refused")]
    attempts = [line for line in lines if line.message.endswith("attempt ended")]
    if refusals:
        last = refusals[-1].fields
        code = ResultCode(last["code"])
        cause = f"result {int(code)} ({code.name.lower()}): {last['reason']}"
        return Explanation(lines, _classify_refusal(last), _append_attempt(cause, attempts))
    if attempts and attempts[-1].fields.get("step") == "answer":
        fields = attempts[-1].fields
        cause = f"status {fields['status']} of {fields['upstream']} was relayed"
        return Explanation(lines, RequestResult.ANSWERED, cause)
    return Explanation(
        lines,
        RequestResult.UNKNOWN,
        "the client disconnected, or the host stopped, before an answer",
    )


def _create_line(content: dict[str, Any]) -> LogLine:
    fields = {name: value for name, value in content.items() if name not in _STANDARD_FIELDS}
    return LogLine(
        host=str(content.get("host", "")),
        time=str(content.get("asctime", "")),
        message=str(content.get("message", "")),
        fields=fields,
    )


def _classify_refusal(fields: dict[str, Any]) -> RequestResult:
    if fields.get("stream_started"):
        return RequestResult.INTERRUPTED
    return RequestResult.REFUSED if fields.get("run") == "not_run" else RequestResult.MAY_HAVE_RUN


def _append_attempt(cause: str, attempts: list[LogLine]) -> str:
    if not attempts:
        return f"{cause}; nothing was sent"
    fields = attempts[-1].fields
    reason = fields.get("reason") or f"status {fields.get('status')}"
    return (
        f"{cause}; attempt {fields['tries']} at {fields['upstream']}: {fields['outcome']}, {reason}"
    )
