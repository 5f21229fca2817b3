"""Take each request of a client through the filters and its exchange."""

import asyncio
from collections.abc import Callable

from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.edge import AnswerWriter, ClientRequest
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.logs import Part, log_decision
from turmericproxy.metrics import Metrics
from turmericproxy.traffic.exchange import Exchange, ExchangeDependencies
from turmericproxy.traffic.filters import find_route, identify_account, measure_cost
from turmericproxy.traffic.passage import Passage
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.site import Site


class Router:
    """Answer client requests by the site's configuration in force."""

    def __init__(
        self,
        parts: ExchangeDependencies,
        quotas: QuotaController,
        get_site: Callable[[], Site | None],
        metrics: Metrics,
    ) -> None:
        self._parts = parts
        self._quotas = quotas
        self._get_site = get_site
        self._metrics = metrics

    async def handle(self, request: ClientRequest, writer: AnswerWriter) -> None:
        """Answer one request; a fault of the program ends in a failure that promises nothing."""
        inquiry: ParsedRequest | None = None
        try:
            read = self._parts.codec.read_request(request)
            if isinstance(read, Refusal):
                self._refuse(None, read, writer)
                return
            inquiry = read
            refusal = await self._serve(inquiry, writer)
            if refusal:
                self._refuse(inquiry, refusal, writer)
        except Exception as error:  # the client gets an answer whatever fails here
            reason = repr(error)
            self._refuse(
                inquiry, refuse(ResultCode.INTERNAL_ERROR, reason, RunState.UNKNOWN), writer
            )

    async def _serve(self, inquiry: ParsedRequest, writer: AnswerWriter) -> Refusal | None:
        passage = find_route(self._get_site(), inquiry, writer)
        if isinstance(passage, Refusal):
            return passage
        refusal = identify_account(passage) or self._admit(passage)
        if refusal:
            return refusal
        started = asyncio.get_running_loop().time()
        result = await self._exchange(passage)
        seconds = asyncio.get_running_loop().time() - started
        self._metrics.record_latency("exchange", seconds)
        if isinstance(result, Refusal):
            if passage.account and result.run is RunState.NOT_RUN:
                self._quotas.refund(passage.account, passage.cost)
            return result
        return None

    async def _exchange(self, passage: Passage) -> Refusal | None:
        try:
            async with asyncio.timeout_at(passage.deadline):
                result = await Exchange(passage, self._parts).run()
        except TimeoutError:
            reason = f"no answer within the time limit of {passage.route.name}"
            return refuse(ResultCode.UPSTREAM_TIMEOUT, reason, RunState.UNKNOWN)
        if isinstance(result, Refusal):
            return result
        self._metrics.count("answers", status=str(result.status), route=passage.route.name)
        return None

    def _admit(self, passage: Passage) -> Refusal | None:
        if passage.account is None:
            return None
        passage.cost = measure_cost(passage.account, passage.inquiry)
        return self._quotas.admit(passage.account, passage.cost)

    def _refuse(
        self, inquiry: ParsedRequest | None, refusal: Refusal, writer: AnswerWriter
    ) -> None:
        log_decision(
            Part.CALLERS,
            "refused",
            request_id=inquiry.request_id if inquiry else None,
            code=int(refusal.code),
            reason=refusal.reason,
            run=refusal.run.value,
            retry_after=refusal.retry_after,
            stream_started=writer.is_started,
        )
        self._metrics.count("refusals", code=refusal.code.name.lower())
        if writer.is_finished:
            return
        if writer.is_started:
            writer.abort()
            return
        status, fields = self._parts.codec.write_refusal(inquiry, refusal)
        writer.send(status, fields)
