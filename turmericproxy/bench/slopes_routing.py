"""Measure how the cost of routing grows with size, and print JSON lines."""

import json
import time
import tracemalloc
from collections.abc import Callable

from turmericproxy.bench.slopes import Slope, fit_slope, print_slopes
from turmericproxy.cache.index import PrefixIndex, create_key
from turmericproxy.configuration import Engine
from turmericproxy.core import (
    AccountName,
    EngineName,
    Incarnation,
    ModelName,
    RequestId,
)
from turmericproxy.routing.decisions import decide
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.engines import LoadReport
from turmericproxy.routing.policies import ExpectedTime
from turmericproxy.routing.polling import EventReader
from turmericproxy.routing.requests import RoutingRequest
from turmericproxy.routing.views import EngineView
from turmericproxy.web import HttpClient

REPEATS = 5
ENGINE_NAME = EngineName("engine-1")
INCARNATION = Incarnation("first")


def measure_events() -> list[Slope]:
    """Measure the CPU time and bytes of batches of cache events."""
    sizes = (1_000, 2_000, 4_000, 8_000, 16_000)
    bodies = [_create_events(size) for size in sizes]
    costs = [_time(lambda body=body: _apply_events(body)) for body in bodies]  # type: ignore[misc]
    lengths = [float(len(json.dumps(body))) for body in bodies]
    return [
        fit_slope("event CPU", "s", "events", sizes, costs),
        fit_slope("event bytes", "B", "events", sizes, lengths),
    ]


def measure_index() -> list[Slope]:
    """Measure the memory of indexed blocks, for one engine and for six engines."""
    sizes = (10_000, 20_000, 40_000, 80_000)
    return [
        fit_slope(
            "index memory", "B", "blocks", sizes, [_measure_index_bytes(s, 1) for s in sizes]
        ),
        fit_slope(
            "index memory, six engines",
            "B",
            "entries",
            sizes,
            [_measure_index_bytes(s, 6) for s in sizes],
        ),
    ]


def measure_decisions() -> list[Slope]:
    """Measure the CPU time of a routing decision against engines and against blocks."""
    engines, blocks = (2, 4, 8, 16, 32), (1, 4, 16, 64)
    return [
        fit_slope("choice CPU", "s", "engines", engines, [_time_decision(n, 6) for n in engines]),
        fit_slope(
            "choice CPU, six engines", "s", "blocks", blocks, [_time_decision(6, n) for n in blocks]
        ),
    ]


def measure_reports() -> list[Slope]:
    """Measure the CPU time to record load reports."""
    sizes = (500, 1_000, 2_000, 4_000)
    return [fit_slope("report CPU", "s", "reports", sizes, [_time_reports(size) for size in sizes])]


def main() -> None:
    """Print one line for each slope."""
    print_slopes((*measure_events(), *measure_index(), *measure_decisions(), *measure_reports()))


def _time(run: Callable[[], object]) -> float:
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best


def _create_events(count: int) -> dict[str, object]:
    events = [
        {"seq": n, "kind": "stored" if n % 2 else "removed", "block": f"{n - 1 + n % 2:032x}"[::-1]}
        for n in range(1, count + 1)
    ]
    return {"incarnation": INCARNATION, "events": events, "next": count}


def _apply_events(body: dict[str, object]) -> None:
    client = HttpClient("127.0.0.1:1")
    EventReader(ENGINE_NAME, client, EngineRegistry(1_000_000)).apply(body)


def _measure_index_bytes(count: int, engines: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    index = PrefixIndex(count + 1)
    for number in range(engines):
        # Each key is a new object, as when it is decoded from an event.
        keys = [create_key(f"{n:032x}"[::-1]) for n in range(count // engines)]
        index.predict(EngineName(f"engine-{number}"), keys, 100.0 + number)
        del keys
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return float(used)


def _time_decision(engines: int, blocks: int) -> float:
    registry, keys = EngineRegistry(1_000_000), list(range(blocks))
    names = [EngineName(f"engine-{n}") for n in range(engines)]
    for name in names:
        registry.index.predict(name, keys, 100.0)
    request = RoutingRequest(
        request_id=RequestId("request"),
        account=AccountName("account"),
        model=ModelName("model"),
        version="1",
        blocks=tuple(f"{key:032x}" for key in keys),
        prompt_tokens=2_000 * blocks + 500,
        max_tokens=10,
        deadline=1e9,
    )
    iterations = 200

    def run() -> None:
        for iteration in range(iterations):
            views = [_create_view(registry, name, keys) for name in names]
            decide(ExpectedTime(), views, request, 100.0, iteration)

    return _time(run) / iterations


def _create_view(registry: EngineRegistry, name: EngineName, keys: list[int]) -> EngineView:
    engine = Engine(name=name, domain="north", address="127.0.0.1:1", models=("model",))
    return registry.view(engine, "model", keys, 100.0)


def _time_reports(count: int) -> float:
    report = LoadReport(INCARNATION, 1, 0, 0, {"model": "1"}, 100.0)
    registry = EngineRegistry(1_000)

    def run() -> None:
        for _ in range(count):
            registry.record_report(ENGINE_NAME, report, 0.001)

    return _time(run)


if __name__ == "__main__":
    main()
