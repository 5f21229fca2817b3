import time

from turmericproxy.cache.index import create_key
from turmericproxy.configuration import Engine, Kind, Snapshot, replace_resource
from turmericproxy.core import (
    DomainName,
    EngineName,
    HostName,
    Incarnation,
    Revision,
    read_boottime,
)
from turmericproxy.routing.engine_registry import EngineRegistry
from turmericproxy.routing.polling import EventReader, Pollers
from turmericproxy.routing.services import ServiceSelector
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings
from turmericproxy.web import HttpServer, create_json_response

ENGINE = EngineName("engine-1")
BLOCKS = [f"{n:02x}" * 16 for n in range(1, 5)]


def create_reader() -> tuple[EventReader, EngineRegistry]:
    registry = EngineRegistry(1000)
    return EventReader(ENGINE, None, registry), registry


def create_body(*events: tuple[int, str, str], incarnation: str = "first") -> dict:
    last = events[-1][0] if events else 0
    named = [{"seq": seq, "kind": kind, "block": block} for seq, kind, block in events]
    return {"incarnation": incarnation, "events": named, "next": last}


def estimate(registry: EngineRegistry, block: str) -> list[float]:
    return registry.index.estimate_presence(ENGINE, [create_key(block)], read_boottime())


def test_events_fill_and_empty_the_index():
    reader, registry = create_reader()
    reader.apply(create_body((1, "stored", BLOCKS[0]), (2, "stored", BLOCKS[1])))
    assert estimate(registry, BLOCKS[0]) == [1.0]
    reader.apply(create_body((3, "cleared", "")))
    assert registry.index.count_blocks() == 0


def test_gap_makes_earlier_blocks_uncertain():
    reader, registry = create_reader()
    reader.apply(create_body((1, "stored", BLOCKS[0])))
    reader.apply(create_body((3, "stored", BLOCKS[1])))
    assert estimate(registry, BLOCKS[0]) == [0.5]


def test_gap_inside_a_batch_is_detected():
    reader, registry = create_reader()
    reader.apply(create_body((1, "stored", BLOCKS[0]), (4, "removed", BLOCKS[2])))
    assert estimate(registry, BLOCKS[0]) == [0.5]


def test_new_incarnation_starts_from_its_first_event():
    reader, registry = create_reader()
    reader.apply(create_body((5, "stored", BLOCKS[0])))
    reader.apply(create_body((9, "stored", BLOCKS[1]), incarnation="second"))
    assert registry.index.count_blocks() == 0
    reader.apply(create_body((1, "stored", BLOCKS[2]), incarnation="second"))
    assert estimate(registry, BLOCKS[2]) == [1.0]
    assert Incarnation("second") == reader.incarnation


def test_an_engine_is_still_polled_after_an_invalid_report():
    reports = [{"incarnation": "first"}, {"nonsense": 1}, []]

    def handle(request):
        if request.path == "/v1/load" and reports:
            return create_json_response(200, reports.pop())
        good = {"running": 3, "queued": 0, "queued_tokens": 0, "capacity_blocks": 1}
        return create_json_response(200, {**good, "incarnation": "first", "versions": {"m": "1"}})

    server = HttpServer("127.0.0.1:0", handle, threads=4)
    server.start()
    registry = EngineRegistry(1000)
    engine = Engine(name=ENGINE, domain="d", address=f"127.0.0.1:{server.port}", models=("m",))
    snapshot = replace_resource(Snapshot(), Kind.ENGINE, ENGINE, engine, Revision(1))
    services = ServiceSelector(DomainName("d"), HostName("h"))
    pollers = Pollers(registry, services, RoutingSettings(load_poll=0.02), UpstreamSettings())
    pollers.update(snapshot)
    try:
        deadline = time.monotonic() + 20
        while registry.list_versions(ENGINE, read_boottime()) != {"m": "1"}:
            assert time.monotonic() < deadline, "the engine is no longer polled"
            time.sleep(0.02)
    finally:
        pollers.close()
        server.close()
