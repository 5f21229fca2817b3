"""Test transfers between two engine stand-ins through a platform stand-in."""

import time
from collections.abc import Callable, Iterator

import pytest

from tests.routing.support import create_request
from turmericproxy.cache.blocks import hash_blocks, render_prompt
from turmericproxy.cache.index import create_key
from turmericproxy.core import EngineName
from turmericproxy.routing.requests import EngineChoice
from turmericproxy.routing.scoring import NOTHING_KEPT
from turmericproxy.routing.transfers import Transfers
from turmericproxy.standins.engine import EngineOptions, EngineStandIn, create_engine
from turmericproxy.standins.platform import create_platform
from turmericproxy.web import HttpClient

MODEL = "notes"
MESSAGES = [{"role": "user", "content": "word " * 4_000}]
CHAIN = hash_blocks(render_prompt(MESSAGES), "salt", MODEL, "v1")
KEYS = [create_key(block) for block in CHAIN]


class Cluster:
    """Start and close the stand-ins of a test."""

    def __init__(self) -> None:
        self.platform = create_platform("127.0.0.1:0")
        self.platform.start()
        address = f"127.0.0.1:{self.platform.port}"
        options = EngineOptions(
            platform=address, models={MODEL: "v1"}, prefill_rate=1e6, step_time=0.001
        )
        self.engines = [create_engine(options), create_engine(options)]
        for engine in self.engines:
            engine.start()
        self.exported: list[int] = []
        self.transfers = Transfers(self.exported.extend, 0.5, is_enabled=True)
        self.transfers.start()

    def close(self) -> None:
        self.transfers.close()
        for engine in self.engines:
            engine.close()
        self.platform.close()

    def run_prompt(self, engine: EngineStandIn) -> int:
        """Run the prompt at an engine and return how many of its tokens were cached."""
        body = {
            "request_id": f"request-{time.monotonic()}",
            "model": MODEL,
            "version": "v1",
            "messages": MESSAGES,
            "max_tokens": 1,
            "cache_salt": "salt",
        }
        answer = self.get_client(engine).call_json("POST", "/v1/chat/completions", body)
        assert answer[0] == 200, answer
        return int(answer[1]["usage"]["cached_tokens"])

    def get_client(self, engine: EngineStandIn) -> HttpClient:
        return HttpClient(f"127.0.0.1:{engine.port}")

    def create_choice(self, number: int) -> EngineChoice:
        """Return a choice of an engine that has to import the whole chain."""
        return EngineChoice(
            request=create_request(1, CHAIN),
            engine=EngineName(f"engine-{number}"),
            address=f"127.0.0.1:{self.engines[number].port}",
            version="v1",
            expected_seconds=0.1,
            cached_blocks=0,
            uncached_tokens=1_000,
            priority=0,
            imports=range(len(CHAIN)),
        )


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    started = Cluster()
    yield started
    started.close()


def await_condition(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)


def export_from_first_engine(cluster: Cluster) -> None:
    assert cluster.run_prompt(cluster.engines[0]) == 0
    choice = cluster.create_choice(0)
    cluster.transfers.request_export(choice.engine, choice.address, CHAIN)
    await_condition(lambda: len(cluster.exported) == len(CHAIN))


def test_blocks_exported_by_one_engine_are_imported_by_another(cluster: Cluster):
    export_from_first_engine(cluster)
    assert cluster.transfers.describe_chain(KEYS).is_kept == (True,) * len(CHAIN)
    cluster.transfers.import_blocks(cluster.create_choice(1))
    assert cluster.run_prompt(cluster.engines[1]) == 2_000 * len(CHAIN)


def test_stored_event_starts_the_export_of_expected_blocks_only(cluster: Cluster):
    cluster.run_prompt(cluster.engines[0])
    choice = cluster.create_choice(0)
    cluster.transfers.record_stored(choice.engine, KEYS)
    cluster.transfers.export_when_stored(choice)
    cluster.transfers.record_stored(EngineName("engine-1"), KEYS[:1])
    assert cluster.transfers.count_pending() == 0
    cluster.transfers.record_stored(choice.engine, KEYS)
    await_condition(lambda: sorted(cluster.exported) == sorted(KEYS))


def test_blocks_missing_in_the_store_are_discarded(cluster: Cluster):
    cluster.transfers.kept.add(KEYS)
    cluster.transfers.import_blocks(cluster.create_choice(1))
    assert cluster.transfers.describe_chain(KEYS).is_kept == (False,) * len(CHAIN)
    assert cluster.run_prompt(cluster.engines[1]) == 0


def test_slow_store_pauses_imports(cluster: Cluster):
    export_from_first_engine(cluster)
    platform = HttpClient(f"127.0.0.1:{cluster.platform.port}")
    assert platform.call_json("POST", "/control", {"slow": 2.0})[0] < 300
    started = time.monotonic()
    cluster.transfers.import_blocks(cluster.create_choice(1))
    assert time.monotonic() - started < 1.0
    assert cluster.transfers.describe_chain(KEYS) is NOTHING_KEPT
    assert platform.call_json("POST", "/control", {"slow": 0.0}, read_timeout=10.0)[0] < 300


def test_export_rate_is_limited(cluster: Cluster):
    choice = cluster.create_choice(0)
    many = [f"{number:032x}"[::-1] for number in range(1, 101)]
    cluster.transfers.request_export(choice.engine, choice.address, many)
    cluster.transfers.request_export(choice.engine, choice.address, many[:40])
    cluster.transfers.request_export(choice.engine, choice.address, many[40:60])
    assert cluster.transfers.count_pending() <= 40
