"""Log where requests are placed, and the terms that decided."""

from typing import Any

from turmericproxy.logs import Part, log_decision
from turmericproxy.placement.engines import EngineCandidate
from turmericproxy.placement.selection import SelectionContext
from turmericproxy.traffic.routed_request import RoutedRequest


def log_engine(
    request: RoutedRequest, chosen: EngineCandidate, context: SelectionContext, candidates: int
) -> None:
    """Log the engine that was chosen for a request with a prompt."""
    view, prompt = chosen.view, request.parsed.prompt
    assert prompt is not None
    log_decision(
        Part.ROUTING,
        "engine chosen",
        request_id=request.parsed.request_id,
        engine=view.instance,
        version=view.version,
        wanted_version=context.wanted_version,
        expected=round(chosen.expected_seconds, 4),
        queue=round(chosen.queue_seconds, 4),
        read=round(chosen.prefill_seconds, 4),
        memory=round(chosen.memory_seconds, 4),
        shared=[f"{p.part_id}:{p.tokens}" for p in prompt.shared_parts],
        cached_parts=view.cached_parts,
        source_parts=view.source.held_parts if view.source else 0,
        fetch_from=chosen.fetch_from,
        candidates=candidates,
        **_list_speed_terms(chosen, context),
    )


def _list_speed_terms(chosen: EngineCandidate, context: SelectionContext) -> dict[str, Any]:
    if context.stream is None:
        return {}
    return {
        "slowdown": round(chosen.view.slowdown, 2),
        "lasting_slowdown": round(chosen.view.lasting_slowdown, 2),
        "pause_cost": round(chosen.pause_cost_seconds, 4),
    }
