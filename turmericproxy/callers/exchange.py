"""Carry one caller's request through the filter chain."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from turmericproxy.bookings import Claim
from turmericproxy.callers.calls import Call
from turmericproxy.core import Refusal, RequestId
from turmericproxy.keys import Identity
from turmericproxy.web import HttpRequest, HttpResponse


@dataclass
class Usage:
    """Record how many tokens a request has used so far."""

    tokens: int = 0


@dataclass(frozen=True)
class Exchange:
    """Hold what is known of a request so far; filters pass on richer copies.

    ``deadline`` is on the boottime clock, in seconds.
    """

    request_id: RequestId
    request: HttpRequest
    received: float
    deadline: float
    key: str | None = None
    identity: Identity | None = None
    call: Call | None = None
    claim: Claim | None = None
    usage: Usage = field(default_factory=Usage)


Answer = HttpResponse | Refusal
Next = Callable[[Exchange], Answer]
Filter = Callable[[Exchange, Next], Answer]


def compose_chain(filters: tuple[Filter, ...], last: Next) -> Next:
    """Return one function that runs the filters in order and ends with ``last``."""
    chain = last
    for step in reversed(filters):
        chain = _bind(step, chain)
    return chain


def _bind(step: Filter, following: Next) -> Next:
    return lambda exchange: step(exchange, following)


def run_holding(following: Next, exchange: Exchange, release: Callable[[], None]) -> Answer:
    """Run the rest of the chain and release what is held for it, whatever happens there."""
    try:
        answer = following(exchange)
    except BaseException:
        release()
        raise
    return call_when_sent(answer, release)


def call_when_sent(answer: Answer, action: Callable[[], None]) -> Answer:
    """Run ``action`` when the answer was sent or given up; return the answer to send."""
    if isinstance(answer, Refusal) or isinstance(answer.body, bytes):
        action()
        return answer
    return replace(answer, body=_WatchedBody(answer.body, action))


class _WatchedBody:
    """Pass on the parts of a body and run an action once at its end."""

    def __init__(self, parts: Iterable[bytes], action: Callable[[], None]) -> None:
        self._parts = parts
        self._action: Callable[[], None] | None = action

    def __iter__(self) -> Iterator[bytes]:
        yield from self._parts

    def close(self) -> None:
        """End the inner body first, then run the action."""
        action, self._action = self._action, None
        if action is None:
            return
        try:
            close_inner = getattr(self._parts, "close", None)
            if close_inner:
                close_inner()
        finally:
            action()
