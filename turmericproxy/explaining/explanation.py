"""Describe a decision that was tried: the candidates, their terms, and the other upstreams."""

from typing import Any

from turmericproxy.core import HostName, Refusal, ResultCode, refuse
from turmericproxy.core.ids import InstanceId
from turmericproxy.explaining.questions import read_question
from turmericproxy.explaining.state import DecisionState
from turmericproxy.explaining.trial import Trial, TrialDispatcher, try_decision
from turmericproxy.limits.permits import Applicant
from turmericproxy.placement.engines import EngineCandidate, count_tokens
from turmericproxy.placement.plain import estimate_seconds
from turmericproxy.placement.registry import UpstreamState
from turmericproxy.placement.selection import (
    SelectionContext,
    create_plain_view,
    list_available,
)
from turmericproxy.traffic.dispatching import create_applicant
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import Prompt
from turmericproxy.traffic.routed_request import RoutedRequest

Terms = dict[str, Any]


def explain(
    body: bytes, host: HostName, state: DecisionState, *, is_draining: bool, is_closed: bool
) -> Terms | Refusal:
    """Return the explanation that a description of a request asks for, or a refusal.

    With ``is_closed``, the host accepts no requests any more.
    """
    question = read_question(body)
    if isinstance(question, Refusal):
        return question
    if is_closed:
        reason = "the host is shutting down and accepts no requests"
        trial: Trial | Refusal = Trial(refuse(ResultCode.DRAINING, reason), state.get_site())
    else:
        trial = try_decision(question, state)
    if isinstance(trial, Refusal):
        return trial
    return {"host": host, "is_draining": is_draining, **describe(trial, state)}


def describe(trial: Trial, state: DecisionState) -> Terms:
    """Return what a trial showed, ready to be encoded as JSON."""
    age, site = state.measure_site_age(), trial.site
    explanation: Terms = {
        "decision": _describe_result(trial.result),
        "request": _describe_request(trial.request),
        "candidates": [],
        "excluded": [],
        "quota": trial.quota,
        "release": None,
        "configuration": {
            "revision": site.revision if site else None,
            "age_seconds": None if age is None else round(age, 2),
        },
        "log": [{"message": line.text, **line.fields} for line in trial.lines],
    }
    if trial.request and trial.dispatcher:
        view = _CandidateView(state, trial, trial.request, trial.dispatcher)
        explanation["candidates"] = view.list_candidates()
        explanation["excluded"] = view.list_excluded()
        explanation["release"] = _describe_release(trial.request, trial.dispatcher)
    return explanation


class _CandidateView:
    """List the upstreams of a service for one trial, with what was decided about each."""

    def __init__(
        self,
        state: DecisionState,
        trial: Trial,
        request: RoutedRequest,
        dispatcher: TrialDispatcher,
    ) -> None:
        self._state = state
        self._request = request
        self._dispatcher = dispatcher
        self._now = state.read_clock()
        self._chosen = trial.result.instance if isinstance(trial.result, Placement) else None
        self._applicant: Applicant = create_applicant(request)
        states, excluded = dispatcher.choices[0] if dispatcher.choices else ([], frozenset())
        self._usable = [s for s in states if s.entry.instance not in excluded]
        self._available = {
            s.entry.instance
            for s in list_available(self._usable, state.domains.is_unreachable, self._now)
        }
        self._limited = {
            InstanceId(str(line.fields["upstream"]))
            for line in trial.lines
            if line.text == "routing: limit reached"
        }
        later = [excluded for _, excluded in dispatcher.choices]
        self._full = frozenset[InstanceId]().union(*later) - self._limited
        self._scored, self._context = dispatcher.score(request)

    @property
    def _is_for_engine(self) -> bool:
        return self._request.service.engine is not None and self._request.parsed.prompt is not None

    def list_candidates(self) -> list[Terms]:
        """Return the upstreams that were compared, the best first."""
        if self._is_for_engine:
            candidates = self._scored.candidates if self._scored else []
            terms = [self._describe_engine(c) for c in candidates]
        else:
            terms = [
                self._describe_plain(s) for s in self._usable if s.entry.instance in self._available
            ]
        return sorted(terms, key=lambda t: (not t["is_chosen"], t["score_seconds"]))

    def list_excluded(self) -> list[Terms]:
        """Return the other upstreams of the service, each with the reason."""
        compared = {terms["upstream"] for terms in self.list_candidates()}
        service = self._request.service.name
        return [
            {"upstream": s.entry.instance, "reason": self._find_reason(s)}
            for s in sorted(self._state.registry.list_states(), key=lambda s: s.entry.instance)
            if s.entry.service == service and s.entry.instance not in compared
        ]

    def _find_reason(self, state: UpstreamState) -> str:
        """Return why an upstream was not among the candidates, in the order of the decision."""
        entry, now = state.entry, self._now
        if not state.is_ready:
            return _find_unready_reason(state)
        if all(s is not state for s in self._dispatcher.ready):
            return f"its software version {entry.software} is not used for this request"
        if state.health.must_be_silent(now):
            return f"it asks for a pause of {state.health.silent_until - now:.2f} s"
        if self._context and self._is_too_old(state, self._context):
            return "its weights are too old"
        if self._state.domains.is_unreachable(entry.domain):
            return f"its failure domain {entry.domain} can't be reached"
        if state.health.is_paused(now):
            return f"paused for {state.health.paused_until - now:.2f} s after failures"
        if state.is_suspended(now):
            return "one request probes it after a pause"
        return "the decision was made before upstreams were compared"

    def _is_too_old(self, state: UpstreamState, context: SelectionContext) -> bool:
        version = state.versions.get(context.model, 0)
        return context.measure_age(version) >= context.oldest_age

    def _describe_engine(self, candidate: EngineCandidate) -> Terms:
        view, prompt = candidate.view, self._request.parsed.prompt
        state = self._state.registry.find(view.instance)
        assert prompt is not None and state is not None and self._scored is not None
        is_timely = any(c is candidate for c in self._scored.timely)
        return {
            **self._describe_upstream(state, is_timely=is_timely),
            "expected_seconds": round(candidate.expected_seconds, 4),
            "score_seconds": round(candidate.score, 4),
            "queue_seconds": round(candidate.queue_seconds, 4),
            "prefill_seconds": round(candidate.prefill_seconds, 4),
            "memory_seconds": round(candidate.memory_seconds, 4),
            "other_seconds": round(candidate.other_seconds, 4),
            "pause_cost_seconds": round(candidate.pause_cost_seconds, 4),
            "cached_parts": view.cached_parts,
            "cached_tokens": count_tokens(prompt.shared_parts[: view.cached_parts]),
            "fetched_tokens": _count_fetched(candidate, prompt),
            "fetch_from": candidate.fetch_from,
            "queued_tokens": view.pending_prefill_tokens,
            "reserved_tokens": view.reserved_tokens,
            "capacity_tokens": view.capacity_tokens,
            "tokens_per_second": round(view.tokens_per_second),
            "slowdown": round(view.slowdown, 2),
            "lasting_slowdown": round(view.lasting_slowdown, 2),
            "weights_version": view.version,
            "weights_delay_seconds": round(view.weights_delay_seconds, 3),
        }

    def _describe_plain(self, state: UpstreamState) -> Terms:
        view = create_plain_view(state, self._state.domain, self._now)
        expected = round(estimate_seconds(view), 4)
        return {
            **self._describe_upstream(state, is_timely=True),
            "expected_seconds": expected,
            "score_seconds": expected,
            "call_seconds": round(view.call_seconds, 4),
        }

    def _describe_upstream(self, state: UpstreamState, *, is_timely: bool) -> Terms:
        entry, limits = state.entry, self._dispatcher.trial_limits
        limit = limits.describe(entry.instance, entry.started_at)
        return {
            "upstream": entry.instance,
            "address": entry.address,
            "domain": entry.domain,
            "is_chosen": entry.instance == self._chosen,
            "passed_over": self._find_passed_over(entry.instance, is_timely=is_timely),
            "requests": state.requests,
            "slots": entry.slots,
            "reported_slowdown": _find_reported_slowdown(state),
            "failure_share": round(state.health.estimate_failure_share(self._now), 3),
            "software": entry.software,
            "limit": limit or None,
        }

    def _find_passed_over(self, instance: InstanceId, *, is_timely: bool) -> str | None:
        """Return why a candidate can't be chosen, whatever its score."""
        if not is_timely:
            return "its weights will be too old when the request begins"
        if instance in self._limited:
            return "its limit is reached"
        if instance in self._full:
            return "it has no memory for the prompt"
        return None


def _find_unready_reason(state: UpstreamState) -> str:
    if state.is_leaving:
        return "it has announced to leave"
    if state.is_superseded:
        return "another upstream has taken its address"
    return f"it is registered as {state.entry.state.value}"


def _find_reported_slowdown(state: UpstreamState) -> float | None:
    if state.speed is None:
        return None
    return round(state.speed.raised if state.speed.raised_reports else state.speed.lasting, 2)


def _count_fetched(candidate: EngineCandidate, prompt: Prompt) -> int:
    source, cached = candidate.view.source, candidate.view.cached_parts
    if candidate.fetch_from is None or source is None:
        return 0
    return count_tokens(prompt.shared_parts[cached : source.held_parts])


def _describe_result(result: Placement | Refusal) -> Terms:
    if isinstance(result, Refusal):
        return {
            "refusal": {
                "code": int(result.code),
                "name": result.code.name.lower(),
                "reason": result.reason,
                "retry_after": result.retry_after,
            }
        }
    return {
        "upstream": result.instance,
        "address": result.address,
        "expected_seconds": round(result.expected_seconds, 4),
        "weights_version": result.dispatch.version,
        "fetch_from": result.dispatch.fetch_from,
        "save_to": result.dispatch.save_to,
    }


def _describe_request(request: RoutedRequest | None) -> Terms | None:
    if request is None:
        return None
    return {
        "id": request.parsed.request_id,
        "route": request.route.name,
        "service": request.service.name,
        "account": request.account.name if request.account else None,
        "priority": request.priority,
        "cost": request.cost,
        "seconds_left": round(request.deadline - request.parsed.raw.received_at, 3),
    }


def _describe_release(request: RoutedRequest, dispatcher: TrialDispatcher) -> Terms | None:
    for release in dispatcher.releases.releases if dispatcher.releases else ():
        if release.order.service == request.service.name:
            state = release.state
            return {
                "version": release.order.version,
                "phase": state.phase.value if state else None,
                "step": state.step if state else None,
                "share": state.share if state else None,
                "is_for_new_version": request.is_for_new_version,
            }
    return None
