"""State what a request needs of the speed of engines."""

import math

from turmericproxy.core.ids import ServiceName
from turmericproxy.placement.pauses import StreamRequirements, measure_noise_share, weigh_costs
from turmericproxy.placement.service_speeds import CHUNK_TOKENS, ServiceSpeeds
from turmericproxy.traffic.requests import Prompt
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.site import EngineTraits, Site


def create_stream_requirements(
    request: RoutedRequest, traits: EngineTraits, prompt: Prompt, speeds: ServiceSpeeds | None
) -> StreamRequirements | None:
    """Return the requirements of a request, ``None`` if its service's engines report no speed."""
    if speeds is None:
        return None
    rate = speeds.tokens_per_second
    events = prompt.output_tokens / speeds.tokens_per_event
    seconds = events * speeds.event_seconds * speeds.usual_slowdown
    event_tokens = speeds.tokens_per_event * CHUNK_TOKENS
    prefill = min(event_tokens, speeds.prompt_tokens) / rate
    strictest_gap = find_strictest_gap(request.site, request.service.name)
    return StreamRequirements(
        target_gap=request.route.target_event_gap if request.route.is_stream else math.inf,
        strictest_gap=strictest_gap,
        noise_share=measure_noise_share(seconds),
        event_seconds=speeds.event_seconds,
        event_seconds_per_request=speeds.event_seconds_per_request,
        tokens_per_second=rate,
        event_prefill_seconds=event_tokens / rate,
        usual_prefill_seconds=prefill,
        usual_slowdown=speeds.usual_slowdown,
        slots=max(1, traits.slots),
        stream_seconds=speeds.stream_seconds,
        spread_key=request.parsed.request_id,
        cost_weight=weigh_costs(
            speeds.usual_slowdown * (speeds.event_seconds + prefill), strictest_gap
        ),
    )


def find_strictest_gap(site: Site, service: ServiceName) -> float:
    """Return the lowest target for the gap between events of a service's streams, in seconds."""
    return min(
        (
            route.target_event_gap
            for route in site.routes
            if route.is_stream and any(share.service == service for share in route.shares)
        ),
        default=math.inf,
    )
