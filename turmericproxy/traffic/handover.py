"""Send a request to the replacement of a silent upstream, which keeps its call meanwhile."""

import asyncio
from dataclasses import dataclass

from turmericproxy.edge import UpstreamCall
from turmericproxy.traffic.attempts import Attempt, Outcome
from turmericproxy.traffic.interfaces import MessageCodec
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import Verdict
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.sending import open_call, read_head

# Time for which a refusal of the replacement is awaited; refusals come at once. Two upstreams must
# not work on one request for longer than 0.4 s.
ACCEPTANCE_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that has been sent, at a time of the event loop in seconds."""

    placement: Placement
    call: UpstreamCall
    sent_at: float


async def open_replacement(
    request: RoutedRequest, placement: Placement, codec: MessageCodec
) -> UpstreamCall | Attempt:
    """Send a request and return its call, or the attempt if the upstream refuses or fails."""
    call = await open_call(request, placement, codec)
    if isinstance(call, Attempt):
        return call
    try:
        refused = await _await_refusal(request, placement, codec, call)
    except BaseException:
        call.close()
        raise
    if refused is None:
        return call
    call.close()
    return refused


async def _await_refusal(
    request: RoutedRequest, placement: Placement, codec: MessageCodec, call: UpstreamCall
) -> Attempt | None:
    try:
        async with asyncio.timeout(ACCEPTANCE_SECONDS):
            answer = await read_head(request, placement, codec, call)
    except TimeoutError:
        return None
    if isinstance(answer, Attempt):
        return answer
    if answer.verdict is Verdict.FAILURE:
        return Attempt(Outcome.BROKEN, answer, reason=f"status {answer.head.status}")
    return None
