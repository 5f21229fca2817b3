"""Check what the client concludes from the platform's answers and silences."""

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from turmericproxy.core import HostName, Refusal, ResultCode
from turmericproxy.settings.schema import PlatformSettings
from turmericproxy.standins.platform import PlatformStandIn, create_platform
from turmericproxy.tables import (
    AnswerLost,
    Committed,
    Condition,
    Conflict,
    HostState,
    Row,
    Transaction,
    Write,
)
from turmericproxy.tables.breaker import LONGEST_INTERVAL_SECONDS, Breaker
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_json_response,
)


@dataclass
class Scene:
    """Hold a stand-in with a client and its control."""

    platform: PlatformStandIn
    client: PlatformClient

    def control(self, **faults: object) -> None:
        """Set faults."""
        http = HttpClient(f"127.0.0.1:{self.platform.port}")
        assert http.call_json("POST", "/control", faults) == (200, {"ok": True})


def create_client(port: int, timeout: float = 2.0) -> PlatformClient:
    settings = PlatformSettings(address=f"127.0.0.1:{port}", timeout=timeout)
    return PlatformClient(settings, HostName("h1"))


@pytest.fixture
def scene() -> Iterator[Scene]:
    platform = create_platform("127.0.0.1:0")
    platform.start()
    client = create_client(platform.port)
    yield Scene(platform, client)
    client.close()
    platform.close()


def put(key: str, value: object, version: int | None) -> Transaction:
    return Transaction((Condition("t", key, version),), (Write("t", key, value),))


def test_transactions_are_whole_and_versions_never_return(scene: Scene) -> None:
    first = scene.client.commit(put("a", 1, None))
    assert isinstance(first, Committed)
    version = first.get_version("t", "a")
    both = Transaction(
        (Condition("t", "a", version), Condition("t", "b", 7)),
        (Write("t", "a", 2), Write("t", "b", 2)),
    )
    assert scene.client.commit(both) == Conflict((1,))
    assert scene.client.read_row("t", "a") == Row("a", 1, version)
    delete = Transaction((Condition("t", "a", version),), (Write("t", "a", delete=True),))
    assert isinstance(scene.client.commit(delete), Committed)
    assert scene.client.read_row("t", "a") is None
    again = scene.client.commit(put("a", 3, None))
    assert isinstance(again, Committed) and again.get_version("t", "a") > version


def test_rows_are_listed_in_pages(scene: Scene) -> None:
    keys = ["a/1", "a/2", "a/ü ?&", "b/1"]
    scene.client.commit(Transaction((), tuple(Write("t", key, key) for key in reversed(keys))))
    first = scene.client.list_rows("t", prefix="a/", limit=2)
    assert isinstance(first, tuple) and [row.key for row in first] == keys[:2]
    rest = scene.client.list_rows("t", prefix="a/", after=first[-1].key)
    assert isinstance(rest, tuple) and [row.value for row in rest] == keys[2:3]
    found = scene.client.read_row("t", keys[2])
    assert isinstance(found, Row) and found.value == keys[2]


def test_lost_answer_has_taken_effect_and_late_one_does_so_later(scene: Scene) -> None:
    scene.control(lose_next=1)
    assert isinstance(scene.client.commit(put("x", 1, None)), AnswerLost)
    assert isinstance(scene.client.read_row("t", "x"), Row)
    scene.control(late_next=1, late=0.3)
    assert isinstance(scene.client.commit(put("y", 1, None)), AnswerLost)
    assert scene.client.read_row("t", "y") is None
    deadline = time.monotonic() + 5
    while scene.client.read_row("t", "y") is None and time.monotonic() < deadline:
        time.sleep(0.02)
    assert isinstance(scene.client.read_row("t", "y"), Row)


def test_refusal_means_that_nothing_was_written(scene: Scene) -> None:
    scene.control(down=True)
    assert isinstance(scene.client.commit(put("x", 1, None)), Refusal)
    scene.control(down=False)
    assert scene.client.read_row("t", "x") is None


def test_rate_is_limited() -> None:
    platform = create_platform("127.0.0.1:0", writes=10)
    platform.start()
    try:
        client = create_client(platform.port)
        results = [client.commit(put(f"k{n}", n, None)) for n in range(5)]
        refused = [result for result in results if isinstance(result, Refusal)]
        assert refused and all(r.code is ResultCode.OVERLOADED for r in refused)
    finally:
        platform.close()


def test_silent_connections_end_by_deadline_and_calls_then_fail_at_once() -> None:
    with socket.create_server(("127.0.0.1", 0)) as silent:
        client = create_client(silent.getsockname()[1], timeout=0.1)
        for _ in range(2):
            assert isinstance(client.commit(put("x", 1, None)), AnswerLost)
        started = time.monotonic()
        assert isinstance(client.commit(put("x", 1, None)), Refusal)
        assert time.monotonic() - started < 0.05


def test_connections_that_went_silent_are_not_used_again() -> None:
    silent_sockets: set[int] = set()
    is_cut = threading.Event()
    released = threading.Event()

    def handle(request: HttpRequest) -> HttpResponse:
        number = request.connection.getpeername()[1]
        if is_cut.is_set() and number in silent_sockets:
            released.wait(10)
        elif not is_cut.is_set():
            silent_sockets.add(number)
        time.sleep(0.03)  # Calls overlap, so that each needs a connection of its own.
        return create_json_response(200, {"value": 1, "version": 1})

    server = HttpServer("127.0.0.1:0", handle, threads=16)
    server.start()
    client = create_client(server.port, timeout=0.3)
    try:
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda _: client.read_row("t", "x"), range(32)))
            assert len(silent_sockets) > 4
            is_cut.set()
            assert isinstance(client.read_row("t", "x"), Refusal)
            assert client.read_row("t", "x") == Row("x", 1, 1)
            results = list(pool.map(lambda _: client.read_row("t", "x"), range(4)))
        assert results == [Row("x", 1, 1)] * 4
    finally:
        released.set()
        client.close()
        server.close()


def test_breaker_lets_one_call_through_after_each_interval() -> None:
    now = 0.0
    breaker = Breaker(read_clock=lambda: now, draw=lambda: 0.0)
    for _ in range(30):
        entered = breaker.enter()
        assert entered is not None and breaker.measure_wait() == 0
        breaker.record(entered, succeeded=False)
        wait = breaker.measure_wait()
        assert wait <= LONGEST_INTERVAL_SECONDS + 1e-9
        assert not wait or breaker.enter() is None
        now += wait
    probe = breaker.enter()
    assert probe is not None and breaker.enter() is None
    breaker.record(probe, succeeded=True)
    assert breaker.enter() is not None and breaker.enter() is not None


def test_host_that_does_not_answer_is_listed_as_gone_with_a_lag(scene: Scene) -> None:
    host = HttpServer("127.0.0.1:0", lambda request: create_json_response(200, {}), threads=2)
    host.start()
    with socket.create_server(("127.0.0.1", 0)) as paused:
        control = HttpClient(f"127.0.0.1:{scene.platform.port}")
        hosts = [
            {"host": name, "domain": "d", "callers": f"127.0.0.1:{port}", "peers": "127.0.0.1:1"}
            for name, port in [("up", host.port), ("paused", paused.getsockname()[1])]
        ]
        control.call_json("PUT", "/control/hosts", {"hosts": hosts})
        states: dict[str, HostState] = {}
        deadline = time.monotonic() + 5
        while states.get("paused") is not HostState.GONE and time.monotonic() < deadline:
            listed = scene.client.list_hosts()
            assert not isinstance(listed, Refusal)
            states = {entry.host: entry.state for entry in listed.hosts}
            time.sleep(0.02)
        assert states == {"up": HostState.LIVE, "paused": HostState.GONE}
        scene.control(lag=30)
        lagged = scene.client.list_hosts()
        assert not isinstance(lagged, Refusal) and lagged.hosts == ()
    host.close()
