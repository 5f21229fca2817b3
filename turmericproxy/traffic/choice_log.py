"""Log why an engine was chosen for a request."""

from turmericproxy.logs import Part, log_decision
from turmericproxy.placement.engines import EngineCandidate
from turmericproxy.placement.selection import SelectionContext
from turmericproxy.traffic.routed_request import RoutedRequest


def log_engine(
    request: RoutedRequest, chosen: EngineCandidate, context: SelectionContext, candidates: int
) -> None:
    """Log the chosen engine and the terms of its score."""
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
    )
