"""Check how claim writes are batched, and that a conflict fails only the writes concerned."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from tests.bookings.race import Race
from turmericproxy.bookings.batch import (
    MAX_INTERVAL_SECONDS,
    MIN_INTERVAL_SECONDS,
    SENDERS,
    STALL_SECONDS,
    Batcher,
    RowConflict,
    SizedWrite,
    Written,
    adapt_interval,
    create_transaction,
    select_batch,
)
from turmericproxy.bookings.claims import ClaimWrite
from turmericproxy.core import HostName, Refusal
from turmericproxy.settings.schema import PlatformSettings
from turmericproxy.standins.platform import PlatformStandIn, create_platform
from turmericproxy.tables import AnswerLost, Committed
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import HttpClient


def create_write(key: str, version: int | None = None) -> ClaimWrite:
    return ClaimWrite(key, version, Race(1).attempts[1].record)


@seed(30)
@given(
    st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(1, 60))),
    st.frozensets(st.sampled_from("abcdef")),
    st.integers(1, 5),
    st.integers(1, 100),
)
def test_batch_is_bounded_and_keeps_writes_to_a_row_in_order(
    items: list[tuple[str, int]], rows_in_flight: frozenset[str], max_rows: int, max_bytes: int
) -> None:
    queue = [SizedWrite(create_write(key), size) for key, size in items]
    indexes = select_batch(queue, rows_in_flight, max_rows, max_bytes)
    keys = [items[index][0] for index in indexes]
    assert len(indexes) <= max_rows
    assert len(indexes) == 1 or sum(items[index][1] for index in indexes) <= max_bytes
    assert len(set(keys)) == len(keys) and not rows_in_flight & set(keys)
    for index, (key, _) in zip(indexes, [items[index] for index in indexes], strict=True):
        assert key not in [earlier for earlier, _ in items[:index]]
    assert indexes or all(key in rows_in_flight for key, _ in items)


@seed(31)
@given(st.lists(st.booleans(), max_size=80))
def test_interval_stays_between_its_bounds(refusals: list[bool]) -> None:
    interval = MIN_INTERVAL_SECONDS
    for is_overloaded in refusals:
        interval = adapt_interval(interval, is_overloaded)
        assert MIN_INTERVAL_SECONDS <= interval <= MAX_INTERVAL_SECONDS


@pytest.fixture
def platform() -> Iterator[PlatformStandIn]:
    platform = create_platform("127.0.0.1:0", writes=200)
    platform.start()
    yield platform
    platform.close()


def create_client(platform: PlatformStandIn) -> PlatformClient:
    settings = PlatformSettings(address=f"127.0.0.1:{platform.port}")
    return PlatformClient(settings, HostName("h"))


def submit_all(
    batcher: Batcher, writes: list[ClaimWrite], prepare: Callable[[], object] = lambda: None
) -> list[object]:
    """Queue all writes, call ``prepare``, start the batcher and return the results."""
    with ThreadPoolExecutor(len(writes)) as pool:
        futures = [pool.submit(batcher.submit, write, 5.0) for write in writes]
        deadline = time.monotonic() + 5.0
        while len(batcher._queue) < len(writes) and time.monotonic() < deadline:
            time.sleep(0.001)
        prepare()
        batcher.start()
        return [future.result() for future in futures]


def test_conflict_fails_only_its_own_write_and_writes_are_batched(
    platform: PlatformStandIn,
) -> None:
    client = create_client(platform)
    client.commit(create_transaction([create_write(f"taken-{n}") for n in range(20)]))
    batcher = Batcher(client)
    try:
        keys = [f"{'taken' if n % 2 else 'free'}-{n}" for n in range(40)]
        results = submit_all(batcher, [create_write(key) for key in keys])
        for key, result in zip(keys, results, strict=True):
            taken = key.startswith("taken") and int(key.split("-")[1]) < 20
            assert isinstance(result, RowConflict if taken else Written), (key, result)
        control = HttpClient(f"127.0.0.1:{platform.port}")
        _, counts = control.call_json("GET", "/control")  # type: ignore[misc]
        assert counts["writes"] == 3
    finally:
        batcher.close()


def test_writes_beyond_the_platform_limit_are_delayed_and_committed() -> None:
    platform = create_platform("127.0.0.1:0", writes=4)
    platform.start()
    client = create_client(platform)
    batcher = Batcher(client)

    def exhaust_write_limit() -> None:
        assert isinstance(client.commit(create_transaction([create_write("other")])), Committed)

    try:
        writes = [create_write(f"k{number}") for number in range(50)]
        results = submit_all(batcher, writes, prepare=exhaust_write_limit)
        assert all(isinstance(result, Written) for result in results)
        control = HttpClient(f"127.0.0.1:{platform.port}")
        _, counts = control.call_json("GET", "/control")  # type: ignore[misc]
        assert counts["refused"] > 0 and counts["writes"] == 2
    finally:
        batcher.close()
        platform.close()


def test_write_without_answer_counts_as_lost_and_unsent_one_as_refused(
    platform: PlatformStandIn,
) -> None:
    control = HttpClient(f"127.0.0.1:{platform.port}")
    control.call_json("POST", "/control", {"slow": 1.5})
    batcher = Batcher(create_client(platform))
    batcher.start()
    try:
        first = [create_write("a"), create_write("b")]
        with ThreadPoolExecutor(3) as pool:
            sent = [pool.submit(batcher.submit, write, 0.3) for write in first]
            results = [future.result() for future in sent]
            assert all(isinstance(result, AnswerLost) for result in results)
            queued = [pool.submit(batcher.submit, create_write("a"), 0.1)]
            assert isinstance(queued[0].result(), Refusal)
    finally:
        batcher.close()


def test_exception_in_one_batch_does_not_stop_the_batcher() -> None:
    class BrokenClient:
        def commit(self, _: object) -> object:
            raise ValueError("the platform answered 400")

    client: Any = BrokenClient()
    batcher = Batcher(client)
    batcher.start()
    try:
        for number in range(4):
            assert isinstance(batcher.submit(create_write(f"k{number}"), 1.0), AnswerLost)
    finally:
        batcher.close()


def test_slow_platform_commits_a_steady_flow_of_writes(platform: PlatformStandIn) -> None:
    control = HttpClient(f"127.0.0.1:{platform.port}")
    control.call_json("POST", "/control", {"slow": 1.2})
    batcher = Batcher(create_client(platform))
    batcher.start()
    try:
        assert isinstance(batcher.submit(create_write("first"), 2.5), Written)
        with ThreadPoolExecutor(64) as pool:
            sent = []
            for number in range(60):
                time.sleep(0.03)
                sent.append(pool.submit(batcher.submit, create_write(f"k{number}"), 2.5))
            results = [future.result() for future in sent]
        assert all(isinstance(result, Written) for result in results)
    finally:
        batcher.close()


def test_writes_are_refused_at_once_while_the_platform_does_not_respond(
    platform: PlatformStandIn,
) -> None:
    control = HttpClient(f"127.0.0.1:{platform.port}")
    control.call_json("POST", "/control", {"slow": 1.5})
    batcher = Batcher(create_client(platform))
    batcher.start()
    try:
        with ThreadPoolExecutor(SENDERS) as pool:
            for number in range(SENDERS):
                pool.submit(batcher.submit, create_write(f"k{number}"), 1.5)
                time.sleep(0.05)
            time.sleep(STALL_SECONDS)
            started = time.monotonic()
            assert isinstance(batcher.submit(create_write("later"), 1.5), Refusal)
            assert time.monotonic() - started < 0.2
    finally:
        batcher.close()
