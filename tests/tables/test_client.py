"""Check the results of platform calls that are answered, fail or time out."""

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
from turmericproxy.tables.breaker import MAX_INTERVAL_SECONDS, Breaker
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    HttpServer,
    create_json_response,
)


@dataclass
class PlatformTestbed:
    """Run a client against a platform stand-in that can inject faults."""

    platform: PlatformStandIn
    client: PlatformClient

    def set_faults(self, **faults: object) -> None:
        """Set the faults that the stand-in injects."""
        http = HttpClient(f"127.0.0.1:{self.platform.port}")
        assert http.call_json("POST", "/control", faults) == (200, {"ok": True})


def create_client(port: int, timeout: float = 2.0) -> PlatformClient:
    settings = PlatformSettings(address=f"127.0.0.1:{port}", timeout=timeout)
    return PlatformClient(settings, HostName("h1"))


@pytest.fixture
def testbed() -> Iterator[PlatformTestbed]:
    platform = create_platform("127.0.0.1:0")
    platform.start()
    client = create_client(platform.port)
    yield PlatformTestbed(platform, client)
    client.close()
    platform.close()


def create_put(key: str, value: object, version: int | None) -> Transaction:
    return Transaction((Condition("t", key, version),), (Write("t", key, value),))


def test_transactions_are_atomic_and_versions_are_not_reused(testbed: PlatformTestbed) -> None:
    first = testbed.client.commit(create_put("a", 1, None))
    assert isinstance(first, Committed)
    version = first.get_version("t", "a")
    both = Transaction(
        (Condition("t", "a", version), Condition("t", "b", 7)),
        (Write("t", "a", 2), Write("t", "b", 2)),
    )
    assert testbed.client.commit(both) == Conflict((1,))
    assert testbed.client.read_row("t", "a") == Row("a", 1, version)
    delete = Transaction((Condition("t", "a", version),), (Write("t", "a", delete=True),))
    assert isinstance(testbed.client.commit(delete), Committed)
    assert testbed.client.read_row("t", "a") is None
    again = testbed.client.commit(create_put("a", 3, None))
    assert isinstance(again, Committed) and again.get_version("t", "a") > version


def test_rows_are_listed_in_pages(testbed: PlatformTestbed) -> None:
    keys = ["a/1", "a/2", "a/ü ?&", "b/1"]
    testbed.client.commit(Transaction((), tuple(Write("t", key, key) for key in reversed(keys))))
    first = testbed.client.list_rows("t", prefix="a/", limit=2)
    assert isinstance(first, tuple) and [row.key for row in first] == keys[:2]
    remaining = testbed.client.list_rows("t", prefix="a/", after=first[-1].key)
    assert isinstance(remaining, tuple) and [row.value for row in remaining] == keys[2:3]
    found = testbed.client.read_row("t", keys[2])
    assert isinstance(found, Row) and found.value == keys[2]


def test_write_without_answer_may_have_taken_effect_or_do_so_later(
    testbed: PlatformTestbed,
) -> None:
    testbed.set_faults(lose_next=1)
    assert isinstance(testbed.client.commit(create_put("x", 1, None)), AnswerLost)
    assert isinstance(testbed.client.read_row("t", "x"), Row)
    testbed.set_faults(late_next=1, late=0.3)
    assert isinstance(testbed.client.commit(create_put("y", 1, None)), AnswerLost)
    assert testbed.client.read_row("t", "y") is None
    deadline = time.monotonic() + 5
    while testbed.client.read_row("t", "y") is None and time.monotonic() < deadline:
        time.sleep(0.02)
    assert isinstance(testbed.client.read_row("t", "y"), Row)


def test_refusal_means_that_nothing_was_written(testbed: PlatformTestbed) -> None:
    testbed.set_faults(down=True)
    assert isinstance(testbed.client.commit(create_put("x", 1, None)), Refusal)
    testbed.set_faults(down=False)
    assert testbed.client.read_row("t", "x") is None


def test_writes_over_the_rate_limit_are_refused() -> None:
    platform = create_platform("127.0.0.1:0", writes=10)
    platform.start()
    try:
        client = create_client(platform.port)
        results = [client.commit(create_put(f"k{n}", n, None)) for n in range(5)]
        refused = [result for result in results if isinstance(result, Refusal)]
        assert refused and all(r.code is ResultCode.OVERLOADED for r in refused)
    finally:
        platform.close()


def test_unanswered_calls_time_out_and_later_calls_fail_fast() -> None:
    with socket.create_server(("127.0.0.1", 0)) as unresponsive:
        client = create_client(unresponsive.getsockname()[1], timeout=0.1)
        for _ in range(2):
            assert isinstance(client.commit(create_put("x", 1, None)), AnswerLost)
        started = time.monotonic()
        assert isinstance(client.commit(create_put("x", 1, None)), Refusal)
        assert time.monotonic() - started < 0.05


def test_dead_pooled_connections_are_not_used_again() -> None:
    dead_ports: set[int] = set()
    connections_dead = threading.Event()
    released = threading.Event()

    def handle(request: HttpRequest) -> HttpResponse:
        port = request.connection.getpeername()[1]
        if connections_dead.is_set() and port in dead_ports:
            released.wait(10)
        elif not connections_dead.is_set():
            dead_ports.add(port)
        time.sleep(0.03)  # Overlapping calls each need their own connection.
        return create_json_response(200, {"value": 1, "version": 1})

    server = HttpServer("127.0.0.1:0", handle, threads=16)
    server.start()
    client = create_client(server.port, timeout=0.3)
    try:
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda _: client.read_row("t", "x"), range(32)))
            assert len(dead_ports) > 4
            connections_dead.set()
            assert isinstance(client.read_row("t", "x"), Refusal)
            assert client.read_row("t", "x") == Row("x", 1, 1)
            results = list(pool.map(lambda _: client.read_row("t", "x"), range(4)))
        assert results == [Row("x", 1, 1)] * 4
    finally:
        released.set()
        client.close()
        server.close()


def test_breaker_allows_one_probe_after_each_interval() -> None:
    now = 0.0
    breaker = Breaker(read_clock=lambda: now, draw_jitter=lambda: 0.0)
    for _ in range(30):
        generation = breaker.begin_call()
        assert generation is not None and breaker.measure_wait() == 0
        breaker.record(generation, succeeded=False)
        wait = breaker.measure_wait()
        assert wait <= MAX_INTERVAL_SECONDS + 1e-9
        assert not wait or breaker.begin_call() is None
        now += wait
    probe = breaker.begin_call()
    assert probe is not None and breaker.begin_call() is None
    breaker.record(probe, succeeded=True)
    assert breaker.begin_call() is not None and breaker.begin_call() is not None


def test_unresponsive_host_is_listed_as_gone_and_the_list_can_lag(testbed: PlatformTestbed) -> None:
    host = HttpServer("127.0.0.1:0", lambda request: create_json_response(200, {}), threads=2)
    host.start()
    with socket.create_server(("127.0.0.1", 0)) as paused:
        control = HttpClient(f"127.0.0.1:{testbed.platform.port}")
        hosts = [
            {"host": name, "domain": "d", "callers": f"127.0.0.1:{port}", "peers": "127.0.0.1:1"}
            for name, port in [("up", host.port), ("paused", paused.getsockname()[1])]
        ]
        control.call_json("PUT", "/control/hosts", {"hosts": hosts})
        states: dict[str, HostState] = {}
        deadline = time.monotonic() + 5
        while states.get("paused") is not HostState.GONE and time.monotonic() < deadline:
            listed = testbed.client.list_hosts()
            assert not isinstance(listed, Refusal)
            states = {entry.host: entry.state for entry in listed.hosts}
            time.sleep(0.02)
        assert states == {"up": HostState.LIVE, "paused": HostState.GONE}
        testbed.set_faults(lag=30)
        lagged = testbed.client.list_hosts()
        assert not isinstance(lagged, Refusal) and lagged.hosts == ()
    host.close()
