"""Check that a claim's dispatch is recorded once a byte of its call may have been sent."""

import socket
import threading
from dataclasses import replace
from typing import Any

import pytest

from tests.callers.test_filters import EXCHANGE
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.plain import PlainDependencies, PlainRelay
from turmericproxy.core import (
    DomainName,
    Refusal,
    ResultCode,
    RunState,
    UpstreamName,
    read_boottime,
)
from turmericproxy.metrics import Metrics
from turmericproxy.routing import RetryBudget, UpstreamChoice
from turmericproxy.settings.schema import UpstreamSettings

CLAIM: Any = "claim"


class FixedSelector:
    """Always choose the same upstream."""

    def __init__(self, address: str) -> None:
        self.choice = UpstreamChoice(UpstreamName("booking-1"), address, DomainName("north"))

    def choose_upstream(self, *_: object) -> UpstreamChoice:
        return self.choice

    def record_dispatch(self, *_: object) -> None:
        """Ignore the dispatch."""

    record_finish = record_dispatch


class RecordingClaims:
    """Record the claims whose calls were dispatched."""

    def __init__(self) -> None:
        self.dispatched: list[object] = []

    def record_dispatch(self, claim: object) -> None:
        self.dispatched.append(claim)


def create_relay(
    listener: socket.socket, claims: Any, first_byte_timeout: float = 1.0
) -> PlainRelay:
    """Return a relay that calls the service at a listener."""
    keys: Any = type("Keys", (), {"check": lambda *_: None})()
    clients = UpstreamClients(UpstreamSettings(first_byte_timeout=first_byte_timeout))
    selector: Any = FixedSelector(f"127.0.0.1:{listener.getsockname()[1]}")
    budget = RetryBudget(1.0, 9.0)
    return PlainRelay(PlainDependencies(selector, keys, claims, clients, budget, Metrics()))


@pytest.mark.parametrize(
    ("is_listening", "run"), [(True, RunState.UNKNOWN), (False, RunState.NOT_RUN)]
)
def test_dispatch_is_recorded_unless_nothing_was_sent(is_listening: bool, run: RunState) -> None:
    claims: Any = RecordingClaims()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        relay = create_relay(listener, claims, first_byte_timeout=0.2)
        if not is_listening:
            listener.close()
        exchange = _create_exchange()
        answer = relay(exchange)
    assert isinstance(answer, Refusal) and answer.run is run
    assert claims.dispatched == ([CLAIM] if is_listening else [])


def answer_once(listener: socket.socket, data: bytes) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65536):  # unread bytes would reset the connection
            pass


# Guards against calls repeated after they ran: callers take 408, 421, 429 and 503 for the host's
# refusals, but a service may send them after it has run the call.
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_status_of_a_service_says_that_the_outcome_is_unknown(status: int) -> None:
    data = f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n".encode()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        relay = create_relay(listener, RecordingClaims())
        service = threading.Thread(target=answer_once, args=(listener, data))
        service.start()
        answer = relay(_create_exchange())
        service.join()
    assert isinstance(answer, Refusal)
    assert (answer.code, answer.run) == (ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n"


# Guards against a broken answer that looks complete: a service stops within the head of its answer
# and closes, and the caller gets 200 with an empty or short body.
@pytest.mark.parametrize("length", range(len(HEAD) + 1))
def test_answer_that_breaks_off_within_its_head_is_no_success(length: int) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        relay = create_relay(listener, RecordingClaims())
        service = threading.Thread(target=answer_once, args=(listener, HEAD[:length]))
        service.start()
        answer = relay(_create_exchange())
        service.join()
    assert isinstance(answer, Refusal)
    assert answer.run is RunState.UNKNOWN


def _create_exchange() -> Any:
    call: Any = EXCHANGE.call
    short_call = replace(call, route=call.route.model_copy(update={"timeout": 0.2}))
    return replace(EXCHANGE, call=short_call, claim=CLAIM, deadline=read_boottime() + 10)
