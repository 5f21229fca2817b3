"""Choose the engine for a request as a pure function of the engines' estimated state."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.routing.policies import Policy, select
from turmericproxy.routing.requests import RoutingRequest
from turmericproxy.routing.scoring import NOTHING_KEPT, KeptChain, score_engine
from turmericproxy.routing.views import Candidate, EngineView

RETRY_AFTER_SECONDS = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True)
class Decision:
    """Name the chosen candidate and all candidates that were compared."""

    chosen: Candidate
    candidates: tuple[Candidate, ...]


def decide(
    policy: Policy,
    views: Sequence[EngineView],
    request: RoutingRequest,
    now: float,
    choice_number: int,
    kept: KeptChain = NOTHING_KEPT,
) -> Decision | Refusal:
    """Return the candidate that the policy selects, or a refusal if no engine can serve.

    ``choice_number`` counts the choices of the host, ``now`` is a boot time in seconds, and
    ``kept`` marks the blocks that can be imported.
    """
    matching = [view for view in views if is_serving(view, request)]
    # If all engines are ejected, some may have recovered: each may get one request at a time.
    healthy = [view for view in matching if not view.is_ejected]
    serving = healthy if healthy or request.needs_healthy else matching
    if not serving:
        reason = "no engine serves the model and version"
        return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER_SECONDS)
    free = [view for view in serving if view.has_free_slot]
    if not free:
        reason = "every engine that serves the model has all its slots in use"
        return refuse(ResultCode.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
    candidates = tuple(score_engine(view, request.prompt_tokens, kept) for view in free)
    chosen = select(policy, candidates, request, choice_number)
    seconds_left = request.deadline - now
    if chosen.expected_seconds > seconds_left:
        return _refuse_deadline(chosen, seconds_left)
    return Decision(chosen, candidates)


def is_serving(view: EngineView, request: RoutingRequest) -> bool:
    """Return whether an engine is not excluded and may serve the requested version."""
    if view.engine in request.excluded:
        return False
    return view.version is None or view.version == request.version


def _refuse_deadline(chosen: Candidate, seconds_left: float) -> Refusal:
    seconds_late = chosen.expected_seconds - max(0.0, seconds_left)
    reason = f"the first token is expected in {chosen.expected_seconds:.2f} s, after the deadline"
    retry_after = max(MIN_RETRY_AFTER_SECONDS, seconds_late)
    return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=retry_after)
