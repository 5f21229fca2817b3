"""Listen for callers and run their requests through the filter chain."""

import logging
import time
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from turmericproxy.bookings import ClaimController
from turmericproxy.callers.calls import Call, ChatCall, PlainCall
from turmericproxy.callers.chat import ChatRelay
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Answer, Exchange, call_when_sent, compose_chain
from turmericproxy.callers.filters import (
    AdmissionFilter,
    ClaimFilter,
    IdentificationFilter,
    ParsingFilter,
    QueueFilter,
    get_call,
)
from turmericproxy.callers.plain import PlainParts, PlainRelay
from turmericproxy.callers.streams import ChatParts
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import Refusal, RequestId, ResultCode, RunState, create_id, read_boottime
from turmericproxy.core.results import refuse
from turmericproxy.keys import KeyController
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.rates import RateController
from turmericproxy.routing import FairQueue, RetryBudget, Selector
from turmericproxy.settings import HostSettings
from turmericproxy.web import HttpRequest, HttpResponse, HttpServer, create_json_response
from turmericproxy.web.refusals import create_refusal_response

DRAIN_POLL_SECONDS = 0.02
DRAIN_RETRY_SECONDS = 1.0
RETRIES_PER_REQUEST = 0.2
RETRY_RESERVE = 100.0


@dataclass(frozen=True)
class CallerDependencies:
    """Name the components that the caller API depends on."""

    configuration: ConfigurationController
    keys: KeyController
    rates: RateController
    claims: ClaimController
    selector: Selector
    queue: FairQueue
    metrics: Metrics


class CallerApi:
    """Answer callers on one address until it is drained and closed."""

    def __init__(self, settings: HostSettings, parts: CallerDependencies) -> None:
        self._settings = settings
        self._metrics = parts.metrics
        self._clients = UpstreamClients(settings.upstreams)
        budget = RetryBudget(RETRIES_PER_REQUEST, RETRY_RESERVE)
        self._chat = ChatRelay(
            ChatParts(
                parts.selector,
                parts.keys,
                self._clients,
                budget,
                parts.metrics,
                settings.upstreams,
            )
        )
        self._plain = PlainRelay(
            PlainParts(
                parts.selector, parts.keys, parts.claims, self._clients, budget, parts.metrics
            )
        )
        self._chain = compose_chain(
            (
                IdentificationFilter(parts.configuration, parts.keys),
                ParsingFilter(parts.configuration, parts.selector, settings.limits.body_bytes),
                AdmissionFilter(parts.rates, parts.claims),
                ClaimFilter(parts.claims),
                QueueFilter(parts.queue),
            ),
            self._relay,
        )
        self._server = HttpServer(
            settings.listen.callers,
            self.handle,
            threads=settings.limits.threads,
            timeout=max(1, round(settings.limits.header_timeout)),
            body_bytes=settings.limits.body_bytes,
        )
        self._is_draining = False
        self._is_refusing = False

    def start(self) -> None:
        """Listen for callers."""
        self._server.start()

    def drain(self) -> bool:
        """Report not ready, let every request finish, and return whether all did in time.

        New requests are served until the grace has passed, then refused as not run.
        """
        self._is_draining = True
        log_event(Part.CALLERS, "draining", in_flight=self._server.active)
        time.sleep(self._settings.shutdown.grace)
        self._is_refusing = True
        deadline = read_boottime() + self._settings.shutdown.drain_timeout
        while self._server.active and read_boottime() < deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        return self._server.active == 0

    def close(self) -> None:
        """Stop listening and close the connections to upstreams."""
        self._server.close()
        self._clients.close()

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.path == "/healthz":
            return create_json_response(200, {"alive": True})
        if request.path == "/readyz":
            return create_json_response(
                503 if self._is_draining else 200, {"ready": not self._is_draining}
            )
        received = read_boottime()
        exchange = Exchange(
            request_id=RequestId(create_id()),
            request=request,
            received=received,
            deadline=received + self._settings.limits.first_token_deadline,
        )
        answer = call_when_sent(self._run_chain(exchange), lambda: self._record_end(received))
        return self._finish_answer(exchange, answer)

    def _run_chain(self, exchange: Exchange) -> Answer:
        if self._is_refusing:
            reason = "the host is shutting down"
            return refuse(ResultCode.DRAINING, reason, retry_after=DRAIN_RETRY_SECONDS)
        try:
            return self._chain(exchange)
        except Exception as error:  # the caller gets an answer whatever fails here
            log_event(
                Part.CALLERS,
                "request failed",
                level=logging.ERROR,
                request_id=exchange.request_id,
                reason=repr(error),
            )
            return refuse(
                ResultCode.INTERNAL_ERROR, "the host failed; see its log", RunState.UNKNOWN
            )

    def _finish_answer(self, exchange: Exchange, answer: Answer) -> HttpResponse:
        name = answer.code.name.lower() if isinstance(answer, Refusal) else "ok"
        self._metrics.count("requests", result=name)
        response = create_refusal_response(answer) if isinstance(answer, Refusal) else answer
        headers = {**response.headers, "X-Request-Id": exchange.request_id}
        if self._is_draining:
            headers["Connection"] = "close"
        return replace(response, headers=headers)

    def _record_end(self, received: float) -> None:
        self._metrics.record_latency("requests", read_boottime() - received)

    def _relay(self, exchange: Exchange) -> Answer:
        return self._relay_call(get_call(exchange), exchange)

    @singledispatchmethod
    def _relay_call(self, call: Call, exchange: Exchange) -> Answer:
        raise TypeError(f"no relay takes {type(call).__name__}")

    @_relay_call.register
    def _(self, call: ChatCall, exchange: Exchange) -> Answer:
        return self._chat(exchange)

    @_relay_call.register
    def _(self, call: PlainCall, exchange: Exchange) -> Answer:
        return self._plain(exchange)
