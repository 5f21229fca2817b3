"""Decide which engine takes a request, as a function of what the host sees."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.routing.policies import Policy, select
from turmericproxy.routing.requests import RoutingRequest
from turmericproxy.routing.scoring import NOTHING_KEPT, KeptChain, score_engine
from turmericproxy.routing.views import Candidate, EngineView

RETRY_AFTER = 0.5
SHORTEST_RETRY_AFTER = 0.1


@dataclass(frozen=True)
class Decision:
    """Hold the engine that was taken and all that were compared."""

    taken: Candidate
    candidates: tuple[Candidate, ...]


def decide(
    policy: Policy,
    views: Sequence[EngineView],
    request: RoutingRequest,
    now: float,
    turn: int,
    kept: KeptChain = NOTHING_KEPT,
) -> Decision | Refusal:
    """Return the engine that the policy takes, or say why none can take the request.

    ``turn`` counts the host's choices, ``now`` is a boot time in seconds, and ``kept`` says
    which blocks can be imported.
    """
    matching = [view for view in views if is_serving(view, request)]
    # With every engine ejected one may be back already: each is tried with a request at a time.
    serving = [view for view in matching if not view.is_ejected] or matching
    if not serving:
        reason = "no engine serves the model and version"
        return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER)
    free = [view for view in serving if view.has_room]
    if not free:
        reason = "every engine that serves the model has its slots taken"
        return refuse(ResultCode.OVERLOADED, reason, retry_after=RETRY_AFTER)
    candidates = tuple(score_engine(view, request.prompt_tokens, kept) for view in free)
    taken = select(policy, candidates, request, turn)
    left = request.deadline - now
    if taken.expected_seconds > left:
        return _refuse_deadline(taken, left)
    return Decision(taken, candidates)


def is_serving(view: EngineView, request: RoutingRequest) -> bool:
    """Return whether an engine is not excluded and serves the version asked for."""
    if view.engine in request.excluded:
        return False
    return view.version is None or view.version == request.version


def _refuse_deadline(taken: Candidate, left: float) -> Refusal:
    late = taken.expected_seconds - max(0.0, left)
    reason = f"the first token is expected in {taken.expected_seconds:.2f} s, after the deadline"
    wait = max(SHORTEST_RETRY_AFTER, late)
    return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=wait)
