"""Try the decision on a request on copies of all state that a decision changes.

The same code decides as for requests of callers, and it records as usual, but on the copies. No
line is logged and no metric is counted.
"""

import asyncio
from dataclasses import dataclass, field, replace

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge import AnswerWriter, ClientRequest
from turmericproxy.edge.messages import Headers
from turmericproxy.explaining.questions import DescribedPrompt, Question
from turmericproxy.explaining.state import DecisionState
from turmericproxy.logs import CollectedLine, collect_lines
from turmericproxy.placement.registry import UpstreamState
from turmericproxy.placement.selection import ScoredEngines, SelectionContext, score_engines
from turmericproxy.traffic.confirmation import confirm_refusal
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.filters import compute_cost, find_route, identify_account
from turmericproxy.traffic.optional_controllers import AdmissionController
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import ParsedRequest, Prompt, PromptPart
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import Site


class TrialDispatcher(Dispatcher):
    """Place a request, and remember which upstreams were looked at on the way."""

    def __init__(self, state: DecisionState, admission: AdmissionController | None) -> None:
        source = state.dispatcher
        self.trial_limits = state.limits.create_trial()
        super().__init__(
            state.registry,
            state.wanted,
            state.domains,
            state.domain,
            state.version_seconds,
            state.read_clock,
            state.crashes.create_trial(),
            self.trial_limits,
        )
        self.set_kept_store_check(state.is_kept_store_reachable)
        self.kept_prefixes = source.kept_prefixes
        self.isolation = source.isolation
        self.admission = admission
        self.connections = source.connections.create_trial() if source.connections else None
        self.releases = source.releases.create_trial() if source.releases else None
        # The upstreams of the versions that the request may use, as they were first asked for.
        self.ready: list[UpstreamState] = []
        # The upstreams among which each choice was made, and those that were left out of it.
        self.choices: list[tuple[list[UpstreamState], frozenset[InstanceId]]] = []

    def score(self, request: RoutedRequest) -> tuple[ScoredEngines | None, SelectionContext | None]:
        """Return the scores of all engines of the first choice, as at its time."""
        traits, prompt = request.service.engine, request.parsed.prompt
        if traits is None or prompt is None or not self.choices:
            return None, None
        states, excluded = self.choices[0]
        context = self._create_context(request, traits, prompt)
        return score_engines(states, prompt, context, excluded), context

    def _list_ready(
        self, request: RoutedRequest, excluded: frozenset[InstanceId]
    ) -> list[UpstreamState]:
        self.ready = list(super()._list_ready(request, excluded))
        return self.ready

    def _choose(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        self.choices.append((states, excluded))
        return super()._choose(request, states, excluded, resume_after)


@dataclass
class Trial:
    """Hold the outcome of a decision that was tried, and what it was based on."""

    result: Placement | Refusal
    site: Site | None = None
    request: RoutedRequest | None = None
    dispatcher: TrialDispatcher | None = None
    quota: dict[str, float] | None = None
    lines: list[CollectedLine] = field(default_factory=list)


def try_decision(question: Question, state: DecisionState) -> Trial | Refusal:
    """Return the decision on a described request; a refusal if its account doesn't exist."""
    site = state.get_site()
    parsed = _create_request(question, state.read_clock())
    with collect_lines() as lines:
        request = find_route(site, parsed, _create_writer())
        if isinstance(request, Refusal):
            return Trial(confirm_refusal(request, state.measure_site_age()), site, lines=lines)
        if refusal := _set_account(request, question):
            if question.account is not None:
                return refusal
            return Trial(confirm_refusal(refusal, state.measure_site_age()), site, request)
        _set_priority(request, question)
        trial = Trial(refuse(ResultCode.INTERNAL_ERROR, ""), site, request, lines=lines)
        trial.quota = state.quotas.describe(request.account) if request.account else None
        _place(trial, request, state)
    return trial


def _place(trial: Trial, request: RoutedRequest, state: DecisionState) -> None:
    if request.account:
        request.cost = compute_cost(request.account, request.parsed)
        refusal = state.quotas.create_trial().admit(request.account, request.cost)
        if refusal:
            trial.result = refusal
            return
    account = request.account.name if request.account else None
    admission = state.dispatcher.admission
    trial.dispatcher = TrialDispatcher(
        state, admission.create_trial(account) if admission else None
    )
    trial.result = trial.dispatcher.place(request)


def _create_request(question: Question, now: float) -> ParsedRequest:
    return ParsedRequest(
        request_id=question.request_id,
        raw=ClientRequest("POST", question.path, Headers(), b"", now),
        host=question.host,
        key=question.key,
        deadline=now + question.deadline_seconds,
        prompt=_create_prompt(question.prompt) if question.prompt else None,
        last_event_id=None,
    )


def _create_prompt(described: DescribedPrompt) -> Prompt:
    return Prompt(
        described.model,
        described.prompt_tokens,
        described.output_tokens,
        tuple(PromptPart(part.part_id, part.tokens) for part in described.parts),
    )


def _create_writer() -> AnswerWriter:
    """Return the writer of a request without a client; a decision only reads its state."""
    return AnswerWriter(asyncio.Transport(), may_keep_alive=lambda: False, is_http_10=False)


def _set_account(request: RoutedRequest, question: Question) -> Refusal | None:
    if question.account is None:
        return identify_account(request)
    accounts = [a for a in request.site.accounts if a.name == question.account]
    if not accounts:
        return refuse(ResultCode.RESOURCE_NOT_FOUND, "there is no such client account")
    request.account = accounts[0]
    return None


def _set_priority(request: RoutedRequest, question: Question) -> None:
    if question.priority is None:
        return
    if request.account:
        request.account = replace(request.account, priority=question.priority)
    request.route = replace(request.route, priority=question.priority)
