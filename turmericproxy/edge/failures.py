"""Answer and log the requests that a handler has not answered."""

from http import HTTPStatus

from turmericproxy.edge.messages import ClientRequest
from turmericproxy.edge.writer import AnswerWriter
from turmericproxy.logs import Part, log_decision


def refuse_unhandled(request: ClientRequest, writer: AnswerWriter) -> None:
    """Refuse a request that the stopping host has not begun."""
    log_decision(
        Part.CALLERS,
        "request not handled",
        method=request.method,
        path=request.path,
        reason="the host stops",
    )
    writer.send(HTTPStatus.SERVICE_UNAVAILABLE, ())


def answer_failure(request: ClientRequest, writer: AnswerWriter, reason: str) -> None:
    """Send an answer that doesn't say whether the request ran, or break a started one off."""
    is_started = writer.is_started
    log_decision(
        Part.CALLERS,
        "handler failed",
        method=request.method,
        path=request.path,
        reason=reason,
        answer_started=is_started,
    )
    if is_started:
        writer.abort()
    else:
        writer.send(HTTPStatus.INTERNAL_SERVER_ERROR, ())


def log_dropped(requests: int, reason: str) -> None:
    """Log that requests get no answer, if there are any."""
    if requests:
        log_decision(Part.CALLERS, "requests dropped", requests=requests, reason=reason)
