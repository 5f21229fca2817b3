"""Relay calls to plain services, each at most once unless it is repeatable."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import HTTPError

from turmericproxy.bookings import ClaimController
from turmericproxy.callers.calls import PlainCall
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Answer, Exchange
from turmericproxy.callers.secrets import HOP_BY_HOP, select_headers
from turmericproxy.core import Refusal, ResultCode, RunState, UpstreamName, read_boottime, refuse
from turmericproxy.core.results import NOT_RUN_STATUSES
from turmericproxy.keys import KeyController
from turmericproxy.metrics import Metrics
from turmericproxy.routing import AttemptOutcome, RetryBudget, Selector, UpstreamChoice
from turmericproxy.web import CallFailure, HttpResponse

MAX_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class PlainDependencies:
    """Name the components that a plain call depends on."""

    selector: Selector
    keys: KeyController
    claims: ClaimController
    clients: UpstreamClients
    budget: RetryBudget
    metrics: Metrics


@dataclass(frozen=True)
class _Failure:
    """Describe why an attempt gave no answer."""

    outcome: AttemptOutcome
    reason: str

    @property
    def is_unsent(self) -> bool:
        """Return whether no byte of the call can have reached the service."""
        return self.outcome is AttemptOutcome.UNREACHABLE


class PlainRelay:
    """Answer a plain call with the complete answer of an upstream."""

    def __init__(self, dependencies: PlainDependencies) -> None:
        self._dependencies = dependencies

    def __call__(self, exchange: Exchange) -> Answer:
        call = exchange.call
        assert isinstance(call, PlainCall)
        self._dependencies.budget.record_request()
        excluded: frozenset[UpstreamName] = frozenset()
        failure: _Failure | None = None
        for _ in range(MAX_ATTEMPTS):
            choice = self._choose_upstream(exchange, call, excluded)
            if isinstance(choice, Refusal):
                return choice if failure is None else _refuse_failed(failure)
            if failure is not None and not self._dependencies.budget.take():
                break
            answer = self._run_attempt(exchange, call, choice)
            if isinstance(answer, HttpResponse):
                exchange.usage.tokens = call.cost
                return answer
            self._dependencies.metrics.count("attempt_failures", kind=answer.outcome.value)
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
        refusal = self._dependencies.keys.check(exchange.identity) if exchange.identity else None
        if refusal is None and read_boottime() > exchange.deadline:
            # If the process was paused for a long time, the claim of the call may have expired.
            refusal = refuse(
                ResultCode.REQUEST_TIMEOUT, "the deadline passed before the call was sent"
            )
        return refusal or self._dependencies.selector.choose_upstream(call.route, excluded)

    def _run_attempt(
        self, exchange: Exchange, call: PlainCall, choice: UpstreamChoice
    ) -> HttpResponse | _Failure:
        self._dependencies.selector.record_dispatch(choice)
        outcome = AttemptOutcome.FAILED
        try:
            result = self._send(exchange, call, choice)
            outcome = result.outcome if isinstance(result, _Failure) else AttemptOutcome.DONE
            return result
        finally:
            self._dependencies.selector.record_finish(choice, outcome)

    def _send(
        self, exchange: Exchange, call: PlainCall, choice: UpstreamChoice
    ) -> HttpResponse | _Failure:
        headers = select_headers(call.headers, exchange.key)
        headers["X-Request-Id"] = exchange.request_id
        # An idle pooled connection may have been lost unnoticed: each call opens a new one.
        answer = self._dependencies.clients.get(choice.address).open(
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            read_timeout=call.route.timeout,
            fresh=True,
        )
        if isinstance(answer, CallFailure) and answer.is_unsent:
            reason = f"the upstream is unreachable: {answer.reason}"
            return _Failure(AttemptOutcome.UNREACHABLE, reason)
        if exchange.claim is not None:
            self._dependencies.claims.record_dispatch(exchange.claim)
        if isinstance(answer, CallFailure):
            return _Failure(AttemptOutcome.TIMEOUT, f"the upstream did not answer: {answer.reason}")
        return _read_answer(answer, exchange)


def _read_answer(answer: urllib3.BaseHTTPResponse, exchange: Exchange) -> HttpResponse | _Failure:
    try:
        body = answer.read(MAX_ANSWER_BYTES + 1)
        answer.release_conn()
        if len(body) > MAX_ANSWER_BYTES:
            answer.close()
            return _Failure(AttemptOutcome.FAILED, "the upstream's answer is too large")
    except (HTTPError, OSError) as error:
        answer.close()
        reason = f"reading the upstream's answer failed: {type(error).__name__}"
        return _Failure(AttemptOutcome.FAILED, reason)
    answered_id = answer.headers.get("X-Request-Id")
    if answered_id is not None and answered_id != exchange.request_id:
        answer.close()
        return _Failure(AttemptOutcome.MISMATCHED, "the upstream's answer has another request ID")
    if answer.status in NOT_RUN_STATUSES:
        reason = f"the upstream answered with status {answer.status}, and may have run the call"
        return _Failure(AttemptOutcome.FAILED, reason)
    headers = {n: v for n, v in answer.headers.items() if n.lower() not in HOP_BY_HOP}
    headers.pop("X-Request-Id", None)
    return HttpResponse(answer.status, body, headers)


def _merge_failures(earlier: _Failure | None, later: _Failure) -> _Failure:
    """Return the later failure, which counts as unsent only if both attempts sent nothing."""
    if earlier is None or earlier.is_unsent:
        return later
    return _Failure(earlier.outcome, later.reason)


def _refuse_failed(failure: _Failure) -> Refusal:
    run = RunState.NOT_RUN if failure.is_unsent else RunState.UNKNOWN
    return refuse(ResultCode.UPSTREAM_FAILED, failure.reason, run, RETRY_AFTER_SECONDS)
