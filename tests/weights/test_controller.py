"""Check with stand-in engines that orders lead to the configured versions."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass

import pytest

from turmericproxy.configuration import Engine, Kind, Model, Snapshot, replace_resource
from turmericproxy.core import HostName, Revision
from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.web import HttpClient, HttpServer, create_json_response
from turmericproxy.weights import WeightController, controller


@dataclass
class Configuration:
    """Provide a snapshot that the test can replace."""

    current: Snapshot
    age: float = 0.0

    def snapshot(self) -> Snapshot:
        return self.current

    def measure_age(self) -> float:
        return self.age


class LoadCount:
    """Count concurrent loads and record their maximum."""

    def __init__(self) -> None:
        self.maximum = 0
        self._current = 0
        self._lock = threading.Lock()

    def add(self, change: int) -> None:
        with self._lock:
            self._current += change
            self.maximum = max(self.maximum, self._current)


class CountedLoads(dict[str, str]):
    """Represent the models that an engine loads, counting each load while it runs."""

    def __init__(self, count: LoadCount) -> None:
        super().__init__()
        self._count = count

    def __setitem__(self, model: str, version: str) -> None:
        if model not in self:
            self._count.add(1)
        super().__setitem__(model, version)

    def __delitem__(self, model: str) -> None:
        super().__delitem__(model)
        self._count.add(-1)


@pytest.fixture(autouse=True)
def shorten_settling_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(controller, "SETTLING_SECONDS", 0.2)


@pytest.fixture
def engines() -> Iterator[list[EngineStandIn]]:
    with ExitStack() as stack:
        started = []
        for number in range(4):
            engine = create_engine(
                EngineOptions(checks_fence=number % 2 == 0, load_time=0.1, load_lag=0.0, threads=8)
            )
            engine.start()
            stack.callback(engine.close)
            started.append(engine)
        yield started


def build_snapshot(engines: list[EngineStandIn], version: str, revision: int) -> Snapshot:
    model = Model(name="verdict", version=version)
    snapshot = replace_resource(Snapshot(), Kind.MODEL, "verdict", model, Revision(revision))
    for number, stand_in in enumerate(engines):
        engine = Engine(
            name=f"engine-{number}",
            domain="north",
            address=stand_in.address,
            models=("verdict",),
            checks_fence=stand_in.options.checks_fence,
        )
        snapshot = replace_resource(snapshot, Kind.ENGINE, engine.name, engine, Revision(revision))
    return snapshot


def read_versions(engines: list[EngineStandIn]) -> list[str]:
    return [
        HttpClient(engine.address).call_json("GET", "/v1/load")[1]["versions"]["verdict"]
        for engine in engines
    ]


def wait_until(is_met: Callable[[], bool], timeout: float = 8.0) -> None:
    deadline = time.monotonic() + timeout
    while not is_met():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.02)


def reconcile_until_complete(controller: WeightController) -> None:
    wait_until(lambda: not controller.reconcile())


def test_new_version_reaches_engines_that_check_the_fence_and_that_ignore_it(
    engines: list[EngineStandIn],
) -> None:
    configuration = Configuration(build_snapshot(engines, "2", 5))
    first, second = (
        WeightController(configuration, UpstreamSettings(), HostName(name)) for name in "ab"
    )
    count = LoadCount()
    for engine in engines:
        engine._core.weights.loading = CountedLoads(count)
    first.start()
    second.start()
    try:
        wait_until(lambda: read_versions(engines) == ["2"] * 4)
        assert 1 <= count.maximum <= 2
    finally:
        first.close()
        second.close()


def test_delayed_order_is_refused_or_reverted(engines: list[EngineStandIn]) -> None:
    configuration = Configuration(build_snapshot(engines, "2", 5))
    current = WeightController(configuration, UpstreamSettings(), HostName("a"))
    reconcile_until_complete(current)
    delayed = {"fence": 4, "kind": "load", "model": "verdict", "version": "1"}
    statuses = [
        HttpClient(engine.address).call_json("POST", "/v1/orders", delayed)[0] for engine in engines
    ]
    assert statuses == [409, 200, 409, 200]
    wait_until(lambda: read_versions(engines) == ["2", "1", "2", "1"])
    reconcile_until_complete(current)
    assert read_versions(engines) == ["2"] * 4


def test_host_with_an_unconfirmed_configuration_does_not_order_unfenced_engines(
    engines: list[EngineStandIn],
) -> None:
    current = WeightController(
        Configuration(build_snapshot(engines, "2", 5)), UpstreamSettings(), HostName("a")
    )
    reconcile_until_complete(current)
    old = Configuration(build_snapshot(engines, "1", 4), age=60.0)
    stale = WeightController(old, UpstreamSettings(), HostName("b"))
    for _ in range(3):
        stale.reconcile()
    assert read_versions(engines) == ["2"] * 4
    assert all(
        order["fence"] == 5
        for engine in engines
        for order in HttpClient(engine.address).call_json("GET", "/control")[1]["orders"]
    )


def test_engine_whose_report_cannot_be_parsed_does_not_block_the_others(
    engines: list[EngineStandIn],
) -> None:
    broken = HttpServer("127.0.0.1:0", lambda _: create_json_response(200, []), threads=2)
    broken.start()
    snapshot = build_snapshot(engines, "2", 5)
    engine = Engine(
        name="broken", domain="north", address=f"127.0.0.1:{broken.port}", models=("verdict",)
    )
    snapshot = replace_resource(snapshot, Kind.ENGINE, "broken", engine, Revision(5))
    current = WeightController(Configuration(snapshot), UpstreamSettings(), HostName("a"))
    current.start()
    try:
        wait_until(lambda: read_versions(engines) == ["2"] * 4, timeout=20.0)
    finally:
        current.close()
        broken.close()
