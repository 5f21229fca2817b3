"""Serve HTTP requests of callers by running them through the filter chain."""

import logging
import time
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from turmericproxy.bookings import ClaimController
from turmericproxy.callers.calls import Call, ChatCall, PlainCall
from turmericproxy.callers.chat import ChatRelay
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Answer, Exchange, call_at_end, compose_chain
from turmericproxy.callers.filters import (
    AdmissionFilter,
    ClaimFilter,
    IdentificationFilter,
    ParsingFilter,
    QueueFilter,
    get_call,
)
from turmericproxy.callers.plain import PlainDependencies, PlainRelay
from turmericproxy.callers.streams import ChatDependencies
from turmericproxy.configuration.controller import ConfigurationController
from turmericproxy.core import Refusal, RequestId, ResultCode, RunState, create_id, read_boottime
from turmericproxy.core.memory import MemoryAccount
from turmericproxy.core.results import refuse
from turmericproxy.edge import EdgeResources
from turmericproxy.edge.causes import CauseReporter
from turmericproxy.edge.connection_table import ConnectionTable
from turmericproxy.edge.resources import compute_client_connections, read_descriptor_limit
from turmericproxy.keys import KeyController
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.rates import RateController
from turmericproxy.routing import FairQueue, RetryBudget, Selector
from turmericproxy.settings import HostSettings
from turmericproxy.settings.schema import LimitSettings
from turmericproxy.web import HttpRequest, HttpResponse, HttpServer, create_json_response
from turmericproxy.web.refusals import create_refusal_response

DRAIN_POLL_SECONDS = 0.02
DRAINING_RETRY_AFTER_SECONDS = 1.0
# Retry budget: each request earns a fraction of a retry, up to the reserve.
RETRIES_PER_REQUEST = 0.2
RETRY_BUDGET_RESERVE = 100.0


@dataclass(frozen=True)
class CallerDependencies:
    """Name the components that ``CallerApi`` depends on."""

    configuration: ConfigurationController
    keys: KeyController
    rates: RateController
    claims: ClaimController
    selector: Selector
    queue: FairQueue
    metrics: Metrics


class CallerApi:
    """Serve callers on one listening address until it is drained and closed."""

    def __init__(self, settings: HostSettings, dependencies: CallerDependencies) -> None:
        self._settings = settings
        self._configuration = dependencies.configuration
        self._metrics = dependencies.metrics
        self._clients = UpstreamClients(settings.upstreams)
        budget = RetryBudget(RETRIES_PER_REQUEST, RETRY_BUDGET_RESERVE)
        self._chat = ChatRelay(
            ChatDependencies(
                dependencies.selector,
                dependencies.keys,
                self._clients,
                budget,
                dependencies.metrics,
                settings.upstreams,
            )
        )
        self._plain = PlainRelay(
            PlainDependencies(
                dependencies.selector,
                dependencies.keys,
                dependencies.claims,
                self._clients,
                budget,
                dependencies.metrics,
            )
        )
        self._chain = compose_chain(
            (
                IdentificationFilter(dependencies.configuration, dependencies.keys),
                ParsingFilter(
                    dependencies.configuration, dependencies.selector, settings.limits.body_bytes
                ),
                AdmissionFilter(dependencies.rates, dependencies.claims),
                ClaimFilter(dependencies.claims),
                QueueFilter(dependencies.queue),
            ),
            self._relay,
        )
        self._server = HttpServer(
            settings.listen.callers,
            self.handle,
            threads=settings.limits.threads,
            timeout=max(1, round(settings.limits.header_timeout)),
            body_bytes=settings.limits.body_bytes,
            resources=_create_resources(settings.limits, self._metrics),
        )
        self._is_draining = False
        self._is_refusing = False

    def start(self) -> None:
        """Start listening for callers."""
        self._server.start()

    def drain(self) -> bool:
        """Report not ready, wait for running requests, and return whether all finished in time.

        New requests are served during the grace period and refused as not run after it.
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
            # Without a configuration each request would be refused.
            is_ready = self._configuration.is_loaded and not self._is_draining
            return create_json_response(200 if is_ready else 503, {"ready": is_ready})
        received_at = read_boottime()
        exchange = Exchange(
            request_id=RequestId(create_id()),
            request=request,
            received_at=received_at,
            deadline=received_at + self._settings.limits.first_token_deadline,
        )
        answer = call_at_end(self._run_chain(exchange), lambda: self._record_latency(received_at))
        return self._finish_answer(exchange, answer)

    def _run_chain(self, exchange: Exchange) -> Answer:
        if self._is_refusing:
            reason = "the host is shutting down"
            return refuse(ResultCode.DRAINING, reason, retry_after=DRAINING_RETRY_AFTER_SECONDS)
        try:
            return self._chain(exchange)
        except Exception as error:  # an internal error must still be answered
            log_event(
                Part.CALLERS,
                "request failed",
                level=logging.ERROR,
                request_id=exchange.request_id,
                reason=repr(error),
            )
            return refuse(
                ResultCode.INTERNAL_ERROR, "internal error; see the host's log", RunState.UNKNOWN
            )

    def _finish_answer(self, exchange: Exchange, answer: Answer) -> HttpResponse:
        result = answer.code.name.lower() if isinstance(answer, Refusal) else "ok"
        self._metrics.count("requests", result=result)
        response = create_refusal_response(answer) if isinstance(answer, Refusal) else answer
        headers = {**response.headers, "X-Request-Id": exchange.request_id}
        if self._is_draining:
            headers["Connection"] = "close"
        return replace(response, headers=headers)

    def _record_latency(self, received_at: float) -> None:
        self._metrics.record_latency("requests", read_boottime() - received_at)

    def _relay(self, exchange: Exchange) -> Answer:
        return self._relay_call(get_call(exchange), exchange)

    @singledispatchmethod
    def _relay_call(self, call: Call, exchange: Exchange) -> Answer:
        raise TypeError(f"no relay for {type(call).__name__}")

    @_relay_call.register
    def _(self, call: ChatCall, exchange: Exchange) -> Answer:
        return self._chat(exchange)

    @_relay_call.register
    def _(self, call: PlainCall, exchange: Exchange) -> Answer:
        return self._plain(exchange)


def _create_resources(limits: LimitSettings, metrics: Metrics) -> EdgeResources:
    reporter = CauseReporter(lambda cause: metrics.count("limited_clients", cause=cause.value))
    connections = limits.client_connections or compute_client_connections(read_descriptor_limit())
    return EdgeResources(
        MemoryAccount(limits.held_bytes),
        ConnectionTable(connections, reporter),
        reporter,
        limits.unread_answer_timeout,
    )
