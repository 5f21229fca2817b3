"""Send one attempt to an upstream and read the head of its answer."""

from turmericproxy.edge import UpstreamCall, call_upstream
from turmericproxy.edge.upstream import EndKind, NotConnected
from turmericproxy.traffic.attempts import Attempt, Outcome
from turmericproxy.traffic.dispatching import Placement
from turmericproxy.traffic.interfaces import MessageCodec
from turmericproxy.traffic.passage import Passage
from turmericproxy.traffic.requests import ParsedAnswer, Verdict

# Seconds to make a connection: many round trips between failure domains; a resent packet would
# come later than another upstream answers.
CONNECT_SECONDS = 0.15
# Largest plain answer that is held whole, in bytes.
LARGEST_ANSWER_BYTES = 8 * 1024 * 1024


async def open_call(
    passage: Passage, placement: Placement, codec: MessageCodec
) -> UpstreamCall | Attempt:
    """Connect to an upstream and send the request."""
    inquiry = passage.inquiry
    called = await call_upstream(
        placement.address,
        codec.write_request(inquiry, placement.dispatch),
        connect_timeout=CONNECT_SECONDS,
        has_body=inquiry.raw.method != "HEAD",
    )
    if isinstance(called, NotConnected):
        return Attempt(Outcome.NOT_SENT, reason=called.reason)
    return called


async def read_head(
    passage: Passage, placement: Placement, codec: MessageCodec, call: UpstreamCall
) -> ParsedAnswer | Attempt:
    """Return the head of an answer that belongs to the request, or how the attempt ended."""
    head = await call.read_head()
    if head is None:
        return Attempt(Outcome.BROKEN, reason=call.reason)
    reading = codec.read_answer(passage.inquiry, placement.dispatch, head)
    if reading.verdict is Verdict.NOT_RUN:
        return Attempt(Outcome.NOT_RUN, reading, reason=f"status {head.status}")
    if reading.verdict is Verdict.WRONG_INSTANCE:
        return Attempt(Outcome.WRONG_INSTANCE, reading, reason=f"answer of {reading.instance}")
    if reading.verdict is Verdict.FOREIGN:
        return Attempt(Outcome.BROKEN, reading, reason="the answer belongs to another request")
    return reading


async def read_answer(call: UpstreamCall, reading: ParsedAnswer) -> Attempt:
    """Read the rest of an answer that is passed on whole."""
    body = bytearray()
    while isinstance(part := await call.read_part(), bytes):
        body += part
        if len(body) > LARGEST_ANSWER_BYTES:
            return Attempt(Outcome.BROKEN, reading, reason="the answer is too large")
    if part is not EndKind.COMPLETE:
        return Attempt(Outcome.BROKEN, reading, reason=call.reason)
    return Attempt(Outcome.ANSWERED, reading, bytes(body))
