"""Check that a chat or plain call is not ended because its sound upstream is silent for a while."""

import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace
from threading import Event
from types import MappingProxyType
from typing import Any

import pytest

from tests.callers.test_filters import EXCHANGE
from tests.routing.support import FixedConfiguration, create_snapshot
from tests.web.test_client import serve_once
from turmericproxy.callers.attempts import Attempt
from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.events import KeepAlive, Piece, StreamEnd
from turmericproxy.callers.plain import PlainDependencies, PlainRelay
from turmericproxy.callers.streams import ChatDependencies, ChatStream, StreamItem
from turmericproxy.configuration import Kind, Route, Snapshot, Upstream, VersionedResource
from turmericproxy.core import (
    AccountName,
    DomainName,
    EngineName,
    HostName,
    ModelName,
    Refusal,
    RequestId,
    Revision,
    create_id,
    read_boottime,
)
from turmericproxy.metrics import Metrics
from turmericproxy.routing import RetryBudget, Selector
from turmericproxy.routing.engines import EngineState
from turmericproxy.routing.health import Health
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.standins.service import ServiceOptions, create_service
from turmericproxy.web import HttpClient, HttpResponse

SETTINGS = UpstreamSettings(connect_timeout=0.3, first_byte_timeout=0.2, idle_timeout=0.2)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHATS = 12
SILENCE_SECONDS = 1.2
LONG_SILENCE_SECONDS = 2.5
DEADLINE_SECONDS = 8.0
RETRIES_OF_FEW_CHATS = 6.0
PIECES = 100
MESSAGES = ({"role": "user", "content": "Which notes are flat?"},)
CALL = ChatCall(ModelName("notes"), "v1", MESSAGES, "user:Which notes are flat?\n", 5, PIECES, True)


class Site:
    """Run engine stand-ins and the dependencies of chats that are sent to them."""

    def __init__(self, engines: list[EngineStandIn], slots: list[int], retries: float) -> None:
        snapshot = create_snapshot(engines=len(engines))
        table = {
            entry.resource.name: VersionedResource(
                entry.resource.model_copy(update={"address": engine.address, "slots": count}),
                Revision(1),
            )
            for entry, engine, count in zip(
                snapshot.get_table(Kind.ENGINE).values(), engines, slots, strict=True
            )
        }
        self.engines = engines
        self.is_caller_gone = False
        self.configuration = FixedConfiguration(
            replace(snapshot, tables={**snapshot.tables, Kind.ENGINE: MappingProxyType(table)})
        )
        self.dependencies = ChatDependencies(
            create_selector(self.configuration),
            create_keys(),
            UpstreamClients(SETTINGS),
            RetryBudget(share=0.0, reserve=retries),
            Metrics(),
            SETTINGS,
        )

    def open(self, deadline_seconds: float = DEADLINE_SECONDS, call: ChatCall = CALL) -> ChatStream:
        """Start a chat with a new request ID."""
        now = read_boottime()
        exchange = replace(
            EXCHANGE,
            request_id=RequestId(create_id()),
            request=type("Request", (), {"is_client_gone": lambda _: self.is_caller_gone})(),
            received_at=now,
            deadline=now + deadline_seconds,
            call=call,
        )
        exchange = replace(
            exchange, identity=replace(exchange.identity, account=AccountName("lima"))
        )
        return ChatStream(self.dependencies, exchange)

    def eject(self, index: int, seconds: float = DEADLINE_SECONDS) -> None:
        """Let the selector choose other engines for some time."""
        states = self.dependencies.selector.engines._states
        health = Health(ejections=4, ejected_until=read_boottime() + seconds)
        states[EngineName(f"engine-{index}")] = EngineState(health=health)

    def count_runs(self) -> int:
        """Return how often an engine began to run a chat."""
        return sum(len(engine.served.describe()) for engine in self.engines)


def create_selector(configuration: FixedConfiguration) -> Selector:
    return Selector(
        configuration,
        None,
        RoutingSettings(policy="least_loaded", kept_cache=False),
        SETTINGS,
        HostName("host-0"),
        DomainName("domain-0"),
    )


def create_keys() -> Any:
    return type("Keys", (), {"check": lambda *_: None})()


@pytest.fixture
def start_site() -> Iterator[Any]:
    with ExitStack() as stack:

        def start(slots: tuple[int, ...] = (32,), retries: float = 100.0) -> Site:
            engines = []
            for _ in slots:
                engines.append(create_engine(EngineOptions(models={"notes": "v1"})))
                engines[-1].start()
                stack.callback(engines[-1].close)
            return Site(engines, list(slots), retries)

        yield start


def check_complete(items: list[StreamItem]) -> None:
    assert [item.index for item in items if isinstance(item, Piece)] == list(range(PIECES)), items
    assert isinstance(items[-1], StreamEnd), items[-1]


def run_chat(site: Site, pieces_before: int, silence_seconds: float) -> list[StreamItem]:
    """Run a chat at the first engine, which falls silent after some pieces."""
    if not pieces_before:
        site.engines[0].pause(silence_seconds)
    stream = site.open()
    items = [next(stream) for _ in range(pieces_before)]
    site.engines[0].pause(silence_seconds)
    return items + list(stream)


# A sound engine was given up for its silence, and the stream broke without a retry left.
@pytest.mark.parametrize("pieces_before", [0, 5])
@pytest.mark.parametrize("retries", [0.0, 100.0])
def test_chat_goes_on_after_its_only_engine_was_silent(
    start_site: Any, pieces_before: int, retries: float
) -> None:
    site = start_site(retries=retries)
    check_complete(run_chat(site, pieces_before, SILENCE_SECONDS))
    assert site.count_runs() == 1


# Each connection was closed before its first event, however often the engine was asked to resume.
def test_chat_waits_for_the_first_event_of_a_late_engine(start_site: Any) -> None:
    site = start_site()
    site.engines[0].faults.late = SILENCE_SECONDS
    check_complete(list(site.open()))
    assert site.count_runs() == 1


# A chat without a caller went on waiting for a silent engine.
def test_chat_of_a_silent_engine_ends_when_its_caller_has_gone(start_site: Any) -> None:
    site = start_site()
    stream = site.open()
    next(stream)
    site.engines[0].pause(DEADLINE_SECONDS)
    site.is_caller_gone = True
    started = time.monotonic()
    assert isinstance(list(stream)[-1], Refusal)
    assert time.monotonic() - started < SILENCE_SECONDS


# A silent engine was left for one that was known to be down.
@pytest.mark.parametrize("pieces_before", [0, 5])
def test_chat_stays_with_a_silent_engine_if_the_other_is_ejected(
    start_site: Any, pieces_before: int
) -> None:
    site = start_site(slots=(32, 32), retries=1.0)
    site.engines[1].close()
    site.eject(1)
    check_complete(run_chat(site, pieces_before, SILENCE_SECONDS))
    assert site.count_runs() == 1


# An engine went silent for good, and a chat waited for it although another was available.
@pytest.mark.parametrize("pieces_before", [0, 5])
def test_chat_leaves_a_silent_engine_for_an_available_one(
    start_site: Any, pieces_before: int
) -> None:
    site = start_site(slots=(32, 32))
    site.eject(1, SETTINGS.idle_timeout / 2)
    started = time.monotonic()
    check_complete(run_chat(site, pieces_before, DEADLINE_SECONDS))
    assert time.monotonic() - started < DEADLINE_SECONDS / 2
    assert site.count_runs() == 2


# Many chats left a silent engine one after the other until the host's retry budget was used up.
@pytest.mark.parametrize("pieces_before", [0, 5])
def test_chats_of_a_silent_engine_go_on_if_the_retry_budget_is_for_few(
    start_site: Any, pieces_before: int
) -> None:
    site = start_site(slots=(32, 2), retries=RETRIES_OF_FEW_CHATS)
    if not pieces_before:
        site.engines[0].pause(LONG_SILENCE_SECONDS)
    streams = [site.open() for _ in range(CHATS)]
    starts = [[next(stream) for _ in range(pieces_before)] for stream in streams]
    site.engines[0].pause(LONG_SILENCE_SECONDS)
    with ThreadPoolExecutor(CHATS) as pool:
        ends = list(pool.map(list, streams))
    for start, end in zip(starts, ends, strict=True):
        check_complete(start + end)


# A closed or refused connection is no silence: the engine must be left without a wait.
def test_chat_leaves_an_engine_that_closed_its_connections_at_once(start_site: Any) -> None:
    site = start_site(slots=(32, 32))
    stream = site.open()
    items = [next(stream) for _ in range(5)]
    running = next(engine for engine in site.engines if engine.served.describe())
    running.close()
    started = time.monotonic()
    check_complete(items + list(stream))
    assert time.monotonic() - started < DEADLINE_SECONDS / 2


# The answer had ended, but its connection stayed silent, and another engine began to run it.
def test_silence_after_the_last_event_does_not_start_another_attempt() -> None:
    policy: Any = type("Policy", (), {"is_caller_gone": lambda _: False})()
    release = Event()

    def answer(connection: socket.socket) -> None:
        connection.sendall(HEAD + b"a\r\n: waiting\n\r\n")
        release.wait(10)

    choice: Any = type("Choice", (), {"version": "v1", "priority": 0})()
    client = HttpClient(serve_once(answer))
    attempt = Attempt(client, SETTINGS, choice, CALL, RequestId("r"), "", 0, policy)
    assert attempt.dispatch() is None
    assert next(attempt.read_events()) == KeepAlive()
    started = time.monotonic()
    attempt.finish()
    release.set()
    assert time.monotonic() - started < SILENCE_SECONDS


# A call was ended by a limit on silence that is shorter than its route's timeout.
@pytest.mark.parametrize("is_repeatable", [False, True])
def test_plain_call_waits_for_a_silent_upstream_until_its_timeout(is_repeatable: bool) -> None:
    service = create_service(ServiceOptions())
    service.start()
    service.faults.late = SILENCE_SECONDS
    route = Route(name="r", upstreams=("booking-1",), timeout=4.0, repeatable=is_repeatable)
    upstream = Upstream(name="booking-1", domain="domain-0", address=service.address)
    table = MappingProxyType({"booking-1": VersionedResource(upstream, Revision(1))})
    snapshot = Snapshot(Revision(1), {Kind.UPSTREAM: table})
    claims: Any = None
    relay = PlainRelay(
        PlainDependencies(
            create_selector(FixedConfiguration(snapshot)),
            create_keys(),
            claims,
            UpstreamClients(SETTINGS),
            RetryBudget(share=0.0, reserve=0.0),
            Metrics(),
        )
    )
    call: Any = replace(EXCHANGE.call, route=route)  # type: ignore[type-var]
    answer = relay(replace(EXCHANGE, call=call, deadline=read_boottime() + DEADLINE_SECONDS))
    service.close()
    assert isinstance(answer, HttpResponse) and answer.status == 200
    assert len(service._runs) == 1
