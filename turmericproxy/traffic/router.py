"""Handle client requests: parse, find route and account, check the quota, and forward."""

import asyncio
from collections.abc import Callable

from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.edge import AnswerWriter, ClientRequest
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.logs import Part, log_decision
from turmericproxy.metrics import Metrics
from turmericproxy.traffic.confirmation import confirm_refusal
from turmericproxy.traffic.exchange import Exchange, ExchangeDependencies
from turmericproxy.traffic.filters import compute_cost, find_route, identify_account
from turmericproxy.traffic.requests import ParsedRequest
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import Site


class Router:
    """Answer client requests according to the current configuration."""

    def __init__(
        self,
        dependencies: ExchangeDependencies,
        quotas: QuotaController,
        get_site: Callable[[], Site | None],
        measure_site_age: Callable[[], float | None],
        metrics: Metrics,
    ) -> None:
        self._dependencies = dependencies
        self._quotas = quotas
        self._get_site = get_site
        self._measure_site_age = measure_site_age
        self._metrics = metrics

    async def handle(self, request: ClientRequest, writer: AnswerWriter) -> None:
        """Answer one request.

        An unexpected exception is answered with an internal error that doesn't say whether the
        request ran.
        """
        parsed: ParsedRequest | None = None
        try:
            result = self._dependencies.codec.read_request(request)
            if isinstance(result, Refusal):
                self._refuse(None, result, writer)
                return
            parsed = result
            refusal = await self._serve(parsed, writer)
            if refusal:
                self._refuse(parsed, refusal, writer)
        except Exception as error:  # the client must get an answer in any case
            reason = repr(error)
            self._refuse(
                parsed, refuse(ResultCode.INTERNAL_ERROR, reason, RunState.UNKNOWN), writer
            )

    async def _serve(self, parsed: ParsedRequest, writer: AnswerWriter) -> Refusal | None:
        request = find_route(self._get_site(), parsed, writer)
        if isinstance(request, Refusal):
            return confirm_refusal(request, self._measure_site_age())
        if refusal := identify_account(request):
            return confirm_refusal(refusal, self._measure_site_age())
        if refusal := self._admit(request):
            return refusal
        started = asyncio.get_running_loop().time()
        try:
            result = await self._exchange(request)
        finally:
            await request.release()
        seconds = asyncio.get_running_loop().time() - started
        self._metrics.record_latency("exchange", seconds)
        if isinstance(result, Refusal):
            if request.account and result.run is RunState.NOT_RUN:
                self._quotas.refund(request.account, request.cost)
            return result
        return None

    async def _exchange(self, request: RoutedRequest) -> Refusal | None:
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await Exchange(request, self._dependencies).run()
        except TimeoutError:
            reason = f"no answer within the time limit of {request.route.name}"
            return refuse(ResultCode.UPSTREAM_TIMEOUT, reason, RunState.UNKNOWN)
        if isinstance(result, Refusal):
            return result
        self._metrics.count("answers", status=str(result.status), route=request.route.name)
        return None

    def _admit(self, request: RoutedRequest) -> Refusal | None:
        if request.account is None:
            return None
        request.cost = compute_cost(request.account, request.parsed)
        return self._quotas.admit(request.account, request.cost)

    def _refuse(self, parsed: ParsedRequest | None, refusal: Refusal, writer: AnswerWriter) -> None:
        site, age = self._get_site(), self._measure_site_age()
        log_decision(
            Part.CALLERS,
            "refused",
            request_id=parsed.request_id if parsed else None,
            code=int(refusal.code),
            reason=refusal.reason,
            run=refusal.run.value,
            retry_after=refusal.retry_after,
            stream_started=writer.is_started,
            revision=site.revision if site else None,
            configuration_age=None if age is None else round(age, 2),
        )
        self._metrics.count("refusals", code=refusal.code.name.lower())
        if writer.is_finished:
            return
        if writer.is_started:
            writer.abort()
            return
        status, fields = self._dependencies.codec.write_refusal(parsed, refusal)
        writer.send(status, fields)
