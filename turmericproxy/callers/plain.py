"""Relay calls to plain services, each at most once unless it may be repeated."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import HTTPError

from turmericproxy.bookings import ClaimController
from turmericproxy.callers.calls import PlainCall
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Answer, Exchange
from turmericproxy.callers.secrets import HOP_BY_HOP, select_headers
from turmericproxy.core import Refusal, ResultCode, RunState, UpstreamName, read_boottime, refuse
from turmericproxy.keys import KeyController
from turmericproxy.metrics import Metrics
from turmericproxy.routing import AttemptOutcome, RetryBudget, Selector, UpstreamChoice
from turmericproxy.web import CallFailure, HttpResponse

MAXIMUM_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
LARGEST_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class PlainParts:
    """Name the parts that a plain call needs."""

    selector: Selector
    keys: KeyController
    claims: ClaimController
    clients: UpstreamClients
    budget: RetryBudget
    metrics: Metrics


@dataclass(frozen=True)
class _Failure:
    """Say why an attempt gave no answer, and whether the service may have run the call."""

    kind: AttemptOutcome
    reason: str

    @property
    def is_unsent(self) -> bool:
        """Return whether nothing can have reached the service."""
        return self.kind is AttemptOutcome.UNREACHABLE


class PlainRelay:
    """Answer a plain call with the whole answer of one upstream."""

    def __init__(self, parts: PlainParts) -> None:
        self._parts = parts

    def __call__(self, exchange: Exchange) -> Answer:
        call = exchange.call
        assert isinstance(call, PlainCall)
        self._parts.budget.record_request()
        excluded: frozenset[UpstreamName] = frozenset()
        failure: _Failure | None = None
        for _ in range(MAXIMUM_ATTEMPTS):
            choice = self._choose_upstream(exchange, call, excluded)
            if isinstance(choice, Refusal):
                return choice if failure is None else _refuse_failed(failure)
            if failure is not None and not self._parts.budget.take():
                break
            answer = self._run_attempt(exchange, call, choice)
            if isinstance(answer, HttpResponse):
                exchange.usage.tokens = call.cost
                return answer
            self._parts.metrics.count("attempt_failures", kind=answer.kind.value)
            if not answer.is_unsent and not call.is_repeatable:
                exchange.usage.tokens = call.cost
                return refuse(ResultCode.OUTCOME_UNKNOWN, answer.reason, RunState.UNKNOWN)
            failure = _merge_failures(failure, answer)
            excluded |= {choice.upstream}
        assert failure is not None
        return _refuse_failed(failure)

    def _choose_upstream(
        self, exchange: Exchange, call: PlainCall, excluded: frozenset[UpstreamName]
    ) -> UpstreamChoice | Refusal:
        refusal = self._parts.keys.check(exchange.identity) if exchange.identity else None
        if refusal is None and read_boottime() > exchange.deadline:
            # The process may have been paused for longer than the claim of the call is kept.
            refusal = refuse(ResultCode.REQUEST_TIMEOUT, "the call was not sent in time")
        return refusal or self._parts.selector.choose_upstream(call.route, excluded)

    def _run_attempt(
        self, exchange: Exchange, call: PlainCall, choice: UpstreamChoice
    ) -> HttpResponse | _Failure:
        self._parts.selector.record_dispatch(choice)
        kind = AttemptOutcome.FAILED
        try:
            result = self._send(exchange, call, choice)
            kind = result.kind if isinstance(result, _Failure) else AttemptOutcome.DONE
            return result
        finally:
            self._parts.selector.record_finish(choice, kind)

    def _send(
        self, exchange: Exchange, call: PlainCall, choice: UpstreamChoice
    ) -> HttpResponse | _Failure:
        headers = select_headers(call.headers, exchange.key)
        headers["X-Request-Id"] = exchange.request_id
        # An idle pooled connection may have gone silent: every call has a connection of its own.
        answer = self._parts.clients.get(choice.address).open(
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            read_timeout=call.route.timeout,
            fresh=True,
        )
        if isinstance(answer, CallFailure) and answer.is_unsent:
            reason = f"the upstream can't be reached: {answer.reason}"
            return _Failure(AttemptOutcome.UNREACHABLE, reason)
        if exchange.claim is not None:
            self._parts.claims.record_dispatch(exchange.claim)
        if isinstance(answer, CallFailure):
            return _Failure(AttemptOutcome.TIMEOUT, f"no answer from the upstream: {answer.reason}")
        return _read_answer(answer, exchange)


def _read_answer(answer: urllib3.BaseHTTPResponse, exchange: Exchange) -> HttpResponse | _Failure:
    try:
        body = answer.read(LARGEST_ANSWER_BYTES + 1)
        answer.release_conn()
        if len(body) > LARGEST_ANSWER_BYTES:
            answer.close()
            return _Failure(AttemptOutcome.FAILED, "the upstream's answer is too large")
    except (HTTPError, OSError) as error:
        answer.close()
        reason = f"the upstream's answer broke off: {type(error).__name__}"
        return _Failure(AttemptOutcome.FAILED, reason)
    echoed = answer.headers.get("X-Request-Id")
    if echoed is not None and echoed != exchange.request_id:
        answer.close()
        return _Failure(AttemptOutcome.MISMATCHED, "the upstream answered another request")
    headers = {n: v for n, v in answer.headers.items() if n.lower() not in HOP_BY_HOP}
    headers.pop("X-Request-Id", None)
    return HttpResponse(answer.status, body, headers)


def _merge_failures(earlier: _Failure | None, later: _Failure) -> _Failure:
    """Return the last failure; nothing was sent only if no attempt sent anything."""
    if earlier is None or earlier.is_unsent:
        return later
    return _Failure(earlier.kind, later.reason)


def _refuse_failed(failure: _Failure) -> Refusal:
    run = RunState.NOT_RUN if failure.is_unsent else RunState.UNKNOWN
    return refuse(ResultCode.UPSTREAM_FAILED, failure.reason, run, RETRY_AFTER_SECONDS)
