"""Answer questions for the placement of a request on the metrics address of a host."""

import json
import logging
from collections.abc import Callable
from typing import Any

from turmericproxy.core import HostName, Refusal, ResultCode, refuse
from turmericproxy.core.bucket import MICRO, Bucket, measure_wait, spend
from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeLimits
from turmericproxy.explaining.questions import MAX_BODY_BYTES
from turmericproxy.explaining.state import DecisionState
from turmericproxy.logs import Part, log_event

# Questions that a host answers, as a rate and at once; each looks at all upstreams of a service.
MAX_PER_SECOND = 5
# Limits of connections to the metrics address, which get no other bodies than questions.
QUESTION_LIMITS = EdgeLimits(body_bytes=MAX_BODY_BYTES)


class QuestionLimit:
    """Admit a bounded number of questions in each second; ``read_clock`` returns seconds."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        depth = MAX_PER_SECOND * MICRO
        self._bucket = Bucket(depth, depth, depth, self._read_microseconds())

    def admit(self) -> Refusal | None:
        """Count a question, or refuse it with the seconds until the next one is admitted."""
        now = self._read_microseconds()
        taken = spend(self._bucket, MICRO, now)
        if taken is None:
            wait = measure_wait(self._bucket, MICRO, now) or 0.0
            reason = f"a host explains at most {MAX_PER_SECOND} placements per second"
            return refuse(ResultCode.RATE_EXCEEDED, reason, retry_after=max(0.01, wait))
        self._bucket = taken[0]
        return None

    def _read_microseconds(self) -> int:
        return int(self._read_clock() * MICRO)


class ExplainEndpoint:
    """Answer questions of one host.

    ``is_closed`` is set when the host no longer accepts requests, and ``is_draining`` while it asks
    load balancers to send it no more.
    """

    def __init__(self, host: HostName, state: DecisionState) -> None:
        self._state = state
        self._host = host
        self._limit = QuestionLimit(state.read_clock)
        self.is_draining = False
        self.is_closed = False

    def answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        """Answer one request to the path for questions."""
        try:
            result = self._explain(request)
        except Exception as error:  # the operator must get a numbered error
            # The text of an exception may contain a part of the question, which may be a key.
            reason = f"a fault of the program: {type(error).__name__}"
            log_event(Part.ROUTING, "explanation failed", level=logging.ERROR, reason=reason)
            result = refuse(ResultCode.INTERNAL_ERROR, reason)
        if isinstance(result, Refusal):
            fields = [("Content-Type", "application/json")]
            if result.retry_after is not None:
                fields.append(("Retry-After", f"{result.retry_after:.2f}"))
            writer.send(result.http_status, fields, write_error(result))
            return
        writer.send(200, [("Content-Type", "application/json")], json.dumps(result).encode())

    def _explain(self, request: ClientRequest) -> dict[str, Any] | Refusal:
        if refusal := self._limit.admit():
            return refusal
        if request.method != "POST":
            return refuse(ResultCode.METHOD_NOT_ALLOWED, "questions are sent with POST")
        # Imported with the first question: the start of a host must not take longer for it.
        from turmericproxy.explaining.explanation import explain

        return explain(
            request.body,
            self._host,
            self._state,
            is_draining=self.is_draining,
            is_closed=self.is_closed,
        )


def write_error(refusal: Refusal) -> bytes:
    """Return the body of a refused question."""
    error = {"code": int(refusal.code), "name": refusal.code.name.lower(), "reason": refusal.reason}
    return json.dumps({"error": error}).encode()


def build_unreadable(status: int) -> tuple[list[tuple[str, str]], bytes]:
    """Return fields and body of the answer to a request on the metrics address that isn't read."""
    code = {
        413: ResultCode.BODY_TOO_LARGE,
        408: ResultCode.REQUEST_TIMEOUT,
        503: ResultCode.OVERLOADED,
    }.get(status, ResultCode.BAD_REQUEST)
    fields = [("Content-Type", "application/json")]
    if code is ResultCode.OVERLOADED:
        fields.append(("Retry-After", "1"))
    return fields, write_error(
        refuse(code, f"the request was not read; bodies have at most {MAX_BODY_BYTES} bytes")
    )
