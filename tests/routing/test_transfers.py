"""Bring about transfers between two engine stand-ins and a platform stand-in."""

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


class Parts:
    """Own the stand-ins of a test."""

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
        self.told: list[int] = []
        self.transfers = Transfers(self.told.extend, 0.5, is_used=True)
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

    def create_choice(self, place: int) -> EngineChoice:
        """Return a choice of an engine that has to import the whole chain."""
        return EngineChoice(
            request=create_request(1, CHAIN),
            engine=EngineName(f"engine-{place}"),
            address=f"127.0.0.1:{self.engines[place].port}",
            version="v1",
            expected_seconds=0.1,
            cached_blocks=0,
            missing_tokens=1_000,
            priority=0,
            imports=range(len(CHAIN)),
        )


@pytest.fixture
def parts() -> Iterator[Parts]:
    owned = Parts()
    yield owned
    owned.close()


def await_condition(is_met: Callable[[], bool], seconds: float = 5.0) -> None:
    deadline = time.monotonic() + seconds
    while not is_met():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)


def export_from_first_engine(parts: Parts) -> None:
    assert parts.run_prompt(parts.engines[0]) == 0
    choice = parts.create_choice(0)
    parts.transfers.offer(choice.engine, choice.address, CHAIN)
    await_condition(lambda: len(parts.told) == len(CHAIN))


def test_blocks_of_one_engine_serve_another(parts: Parts):
    export_from_first_engine(parts)
    assert parts.transfers.describe_chain(KEYS).is_kept == (True,) * len(CHAIN)
    parts.transfers.import_blocks(parts.create_choice(1))
    assert parts.run_prompt(parts.engines[1]) == 2_000 * len(CHAIN)


def test_stored_event_starts_the_export_of_expected_blocks_only(parts: Parts):
    parts.run_prompt(parts.engines[0])
    choice = parts.create_choice(0)
    parts.transfers.take_stored(choice.engine, KEYS)
    parts.transfers.expect(choice)
    parts.transfers.take_stored(EngineName("engine-1"), KEYS[:1])
    assert parts.transfers.count_waiting() == 0
    parts.transfers.take_stored(choice.engine, KEYS)
    await_condition(lambda: sorted(parts.told) == sorted(KEYS))


def test_missing_objects_are_forgotten(parts: Parts):
    parts.transfers.kept.add(KEYS)
    parts.transfers.import_blocks(parts.create_choice(1))
    assert parts.transfers.describe_chain(KEYS).is_kept == (False,) * len(CHAIN)
    assert parts.run_prompt(parts.engines[1]) == 0


def test_slow_store_makes_engines_compute_for_a_while(parts: Parts):
    export_from_first_engine(parts)
    platform = HttpClient(f"127.0.0.1:{parts.platform.port}")
    assert platform.call_json("POST", "/control", {"slow": 2.0})[0] < 300
    started = time.monotonic()
    parts.transfers.import_blocks(parts.create_choice(1))
    assert time.monotonic() - started < 1.0
    assert parts.transfers.describe_chain(KEYS) is NOTHING_KEPT
    assert platform.call_json("POST", "/control", {"slow": 0.0}, read_timeout=10.0)[0] < 300


def test_exports_are_bounded(parts: Parts):
    choice = parts.create_choice(0)
    many = [f"{number:032x}"[::-1] for number in range(1, 101)]
    parts.transfers.offer(choice.engine, choice.address, many)
    parts.transfers.offer(choice.engine, choice.address, many[:40])
    parts.transfers.offer(choice.engine, choice.address, many[40:60])
    assert parts.transfers.count_waiting() <= 40
