"""Define the state of a request in the filter chain, and compose the chain."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from turmericproxy.bookings import Claim
from turmericproxy.callers.calls import Call
from turmericproxy.core import Refusal, RequestId
from turmericproxy.keys import Identity
from turmericproxy.web import HttpRequest, HttpResponse


@dataclass
class TokenUsage:
    """Count the tokens that a request has used so far."""

    tokens: int = 0


@dataclass(frozen=True)
class Exchange:
    """Hold the state of a request; filters pass on copies with more fields set.

    ``received_at`` and ``deadline`` are boot times in seconds.
    """

    request_id: RequestId
    request: HttpRequest
    received_at: float
    deadline: float
    key: str | None = None
    identity: Identity | None = None
    call: Call | None = None
    claim: Claim | None = None
    usage: TokenUsage = field(default_factory=TokenUsage)


Answer = HttpResponse | Refusal
Handler = Callable[[Exchange], Answer]
Filter = Callable[[Exchange, Handler], Answer]


def compose_chain(filters: tuple[Filter, ...], final_handler: Handler) -> Handler:
    """Return a handler that runs the filters in order and then ``final_handler``."""
    chain = final_handler
    for outer in reversed(filters):
        chain = _bind(outer, chain)
    return chain


def _bind(outer: Filter, next_handler: Handler) -> Handler:
    return lambda exchange: outer(exchange, next_handler)


def run_and_release(
    next_handler: Handler, exchange: Exchange, release: Callable[[], None]
) -> Answer:
    """Run the rest of the chain; call ``release`` at the end of the answer or on an exception."""
    try:
        answer = next_handler(exchange)
    except BaseException:
        release()
        raise
    return call_at_end(answer, release)


def call_at_end(answer: Answer, action: Callable[[], None]) -> Answer:
    """Return the answer with ``action`` attached, which runs when its iterable body is closed.

    For a refusal or a body of bytes, ``action`` runs before this function returns.
    """
    if isinstance(answer, Refusal) or isinstance(answer.body, bytes):
        action()
        return answer
    return replace(answer, body=_BodyWithCallback(answer.body, action))


class _BodyWithCallback:
    """Iterate over the parts of a body, and run an action once when it is closed."""

    def __init__(self, parts: Iterable[bytes], action: Callable[[], None]) -> None:
        self._parts = parts
        self._action: Callable[[], None] | None = action

    def __iter__(self) -> Iterator[bytes]:
        yield from self._parts

    def close(self) -> None:
        """Close the inner body, then run the action."""
        action, self._action = self._action, None
        if action is None:
            return
        try:
            close_inner = getattr(self._parts, "close", None)
            if close_inner:
                close_inner()
        finally:
            action()
