"""Send one attempt to an upstream and read its answer."""

from turmericproxy.core.memory import Holding
from turmericproxy.edge import UpstreamCall, call_upstream
from turmericproxy.edge.upstream import NotConnected
from turmericproxy.traffic.attempts import Attempt, Outcome
from turmericproxy.traffic.interfaces import MessageCodec
from turmericproxy.traffic.placements import Placement
from turmericproxy.traffic.requests import ParsedAnswer, Verdict
from turmericproxy.traffic.routed_request import RoutedRequest

# Many round trips between failure domains. Waiting for a retransmitted packet would take longer
# than an attempt at another upstream.
CONNECT_TIMEOUT_SECONDS = 0.15


async def open_call(
    request: RoutedRequest, placement: Placement, codec: MessageCodec
) -> UpstreamCall | Attempt:
    """Connect to an upstream and send the request; return an attempt if the connection fails."""
    parsed = request.parsed
    call = await call_upstream(
        placement.address,
        codec.write_request(parsed, placement.dispatch),
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        has_body=parsed.raw.method != "HEAD",
    )
    if isinstance(call, NotConnected):
        return Attempt(Outcome.NOT_SENT, reason=call.reason, is_refused=call.is_refused)
    return call


async def read_head(
    request: RoutedRequest, placement: Placement, codec: MessageCodec, call: UpstreamCall
) -> ParsedAnswer | Attempt:
    """Read the head of the answer; return an attempt if it doesn't answer the request."""
    head = await call.read_head()
    if head is None:
        return Attempt(Outcome.BROKEN, reason=call.reason)
    answer = codec.read_answer(request.parsed, placement.dispatch, head)
    if answer.verdict is Verdict.NOT_RUN:
        return Attempt(Outcome.NOT_RUN, answer, reason=f"status {head.status}")
    if answer.verdict is Verdict.WRONG_INSTANCE:
        return Attempt(Outcome.WRONG_INSTANCE, answer, reason=f"answered by {answer.instance}")
    if answer.verdict is Verdict.FOREIGN:
        return Attempt(Outcome.BROKEN, answer, reason="the answer belongs to another request")
    return answer


async def read_answer(call: UpstreamCall, answer: ParsedAnswer, holding: Holding) -> Attempt:
    """Read the body of an answer that isn't streamed to the client, if the client may get it."""
    if answer.has_refusal_status:
        reason = f"status {answer.head.status}, but the upstream may have executed the request"
        return Attempt(Outcome.ANSWERED, answer, reason=reason)
    body = await call.read_body(holding)
    if isinstance(body, str):
        return Attempt(Outcome.BROKEN, answer, reason=body)
    return Attempt(Outcome.ANSWERED, answer, body)
