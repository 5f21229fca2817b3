"""Check how a host at the product's own interface adds up the ends of engines."""

import socket
import threading
import time

from turmericproxy.core import (
    EngineName,
    HostName,
    ModelName,
    Refusal,
    RequestId,
    ResultCode,
    refuse,
)
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.blocks import Block
from turmericproxy.crashes.evidence import BrokenPrompt, EndReport, EngineStart
from turmericproxy.crashes.records import BLOCK_TABLE, encode_block
from turmericproxy.routing.block_table import BlockTable
from turmericproxy.routing.crash_guard import CrashGuard, list_message_parts
from turmericproxy.settings.schema import PlatformSettings
from turmericproxy.standins.platform import create_platform
from turmericproxy.tables.client import PlatformClient
from turmericproxy.tables.messages import AnswerLost, Committed, Row, Transaction

MODEL = ModelName("notes")
# Nothing listens on the port of a socket that is bound only.
BOUND = socket.socket()
BOUND.bind(("127.0.0.1", 0))
REFUSING = f"127.0.0.1:{BOUND.getsockname()[1]}"


class Links:
    """Stand in for the links to peers; keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def register(self, kind: str, handler: object) -> None:
        pass

    def broadcast(self, kind: str, body: object) -> int:
        self.sent.append(body)
        return 1


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def create_guard(links: Links, clock: Clock, table: BlockTable | None = None) -> CrashGuard:
    guard = CrashGuard(links, lambda name: REFUSING, clock, table)
    for _ in range(100):
        guard.record_answer(MODEL, ["rules"])
    return guard


def create_prompt(number: int, *parts: str) -> BrokenPrompt:
    return BrokenPrompt(RequestId(f"r{number}"), MODEL, parts, True, 0.1)


def test_message_is_blocked_after_three_ends_and_no_other_one() -> None:
    clock = Clock()
    guard = create_guard(Links(), clock)
    for number in range(3):
        assert guard.check(MODEL, ["rules", "bad"]) is None
        clock.now += 1.0
        engine = EngineName(f"e{number}")
        assert guard.record_broken(engine, REFUSING, create_prompt(number, "rules", "bad"))
        guard.record_answer(MODEL, ["rules"])
    refusal = guard.check(MODEL, ["rules", "bad"])
    assert refusal is not None
    assert refusal.code is ResultCode.PROMPT_BLOCKED
    assert guard.check(MODEL, ["rules"]) is None


def test_broken_answers_of_running_engines_block_nothing() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        clock = Clock()
        guard = create_guard(Links(), clock)
        for number in range(8):
            clock.now += 1.0
            prompt = create_prompt(number, "bad")
            assert not guard.record_broken(EngineName(f"e{number}"), address, prompt)
        assert guard.check(MODEL, ["bad"]) is None


# Chats that broke with one engine were found at different times, so that its end counted twice.
def test_one_end_counts_once_however_late_its_chats_are_probed() -> None:
    clock = Clock()
    guard = create_guard(Links(), clock)
    with socket.create_server(("127.0.0.1", 0)) as server:
        listening = f"127.0.0.1:{server.getsockname()[1]}"
        late = create_prompt(1, "bad")
        assert not guard.record_broken(EngineName("e0"), listening, late)
        assert guard.record_broken(EngineName("e0"), REFUSING, create_prompt(2, "bad"))
        clock.now += 1.0
        assert guard.record_broken(EngineName("e0"), listening, late, is_forgotten=True)
        clock.now += 1.0
        guard.record_broken(EngineName("e1"), REFUSING, create_prompt(3, "bad"))
        assert guard.check(MODEL, ["bad"]) is None
        assert guard.record_broken(EngineName("e0"), listening, late)
    clock.now += 1.0
    guard.record_broken(EngineName("e2"), REFUSING, create_prompt(4, "bad"))
    assert guard.check(MODEL, ["bad"]) is not None


def test_ends_that_peers_report_count_with_own_ones() -> None:
    clock, links = Clock(), Links()
    guard = create_guard(links, clock)
    for number in range(3):
        clock.now += 1.0
        prompt = create_prompt(number, "rules", "bad")
        if number == 0:
            guard.record_broken(EngineName("e0"), REFUSING, prompt)
        else:
            report = EndReport(EngineStart(InstanceId(f"e{number}"), 1), 0.0, (prompt,), 1)
            for peer in ("h1", "h2"):
                guard.receive(HostName(peer), [to_list(report)])
        guard.record_answer(MODEL, ["rules"])
    assert guard.check(MODEL, ["bad"]) is not None
    assert len(links.sent) == 1


def test_malformed_reports_of_peers_are_dropped() -> None:
    guard = create_guard(Links(), Clock())
    for body in (None, [1], [[["e", 1], 0.0, "no list", 1]], {"x": 1}):
        guard.receive(HostName("h1"), body)
    assert guard.check(MODEL, ["bad"]) is None


def test_last_message_is_no_part() -> None:
    messages = [{"role": "system", "content": "a"}, {"role": "user", "content": "b"}]
    assert len(list_message_parts(messages)) == 1
    assert list_message_parts(messages)[0] == list_message_parts([*messages, messages[0]])[0]


def to_list(value: object) -> object:
    """Return a value as it arrives from the wire."""
    return [to_list(item) for item in value] if isinstance(value, tuple) else value


class StoredRows:
    """Stand in for the platform's tables; the first call of each kind fails."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.failures = ["read", "write"]
        self.has_written = threading.Event()

    def list_rows(self, table: str) -> tuple[Row, ...] | Refusal:
        assert table == BLOCK_TABLE
        if "read" in self.failures:
            self.failures.remove("read")
            return refuse(ResultCode.PLATFORM_UNAVAILABLE, "away")
        return tuple(self.rows.values())

    def commit(self, transaction: Transaction) -> Committed | AnswerLost:
        if "write" in self.failures:
            self.failures.remove("write")
            return AnswerLost("away")
        for write in transaction.writes:
            self.rows[write.key] = Row(write.key, write.value, 1)
        self.has_written.set()
        return Committed([])


def wait_for_refusal(guard: CrashGuard, parts: list[str]) -> Refusal | None:
    ends_at = time.monotonic() + 5.0
    while time.monotonic() < ends_at and guard.check(MODEL, parts) is None:
        time.sleep(0.02)
    return guard.check(MODEL, parts)


# Issue 30: a host that restarts would send the prompts again that it has refused.
def test_blocks_outlast_a_restart_of_the_host() -> None:
    clock, links, rows = Clock(), Links(), StoredRows()
    guard = create_guard(links, clock, BlockTable(rows, clock))
    guard.start()
    for number in range(3):
        clock.now += 1.0
        prompt = create_prompt(number, "bad")
        guard.record_broken(EngineName(f"e{number}"), REFUSING, prompt)
    assert guard.check(MODEL, ["bad"]) is not None
    assert rows.has_written.wait(5.0)
    guard.close()
    clock.now = 7.0
    restarted = create_guard(links, clock, BlockTable(rows, clock))
    restarted.start()
    refusal = wait_for_refusal(restarted, ["bad"])
    assert refusal is not None and refusal.retry_after is not None
    assert 0 < refusal.retry_after <= 600
    assert restarted.check(MODEL, ["rules"]) is None
    restarted.close()


def test_blocks_outlast_a_restart_at_the_platforms_own_tables() -> None:
    platform = create_platform("127.0.0.1:0")
    platform.start()
    client = PlatformClient(PlatformSettings(address=f"127.0.0.1:{platform.port}"), HostName("h1"))
    clock = Clock()
    guard = create_guard(Links(), clock, BlockTable(client, clock))
    guard.start()
    for number in range(3):
        clock.now += 1.0
        guard.record_broken(EngineName(f"e{number}"), REFUSING, create_prompt(number, "bad"))
    ends_at = time.monotonic() + 5.0
    while time.monotonic() < ends_at and not client.list_rows(BLOCK_TABLE):
        time.sleep(0.02)
    guard.close()
    restarted = create_guard(Links(), clock, BlockTable(client, clock))
    restarted.start()
    assert wait_for_refusal(restarted, ["bad"]) is not None
    restarted.close()
    client.close()
    platform.close()


# Rows that other programs wrote must not keep a host from starting.
def test_malformed_rows_block_nothing() -> None:
    clock, rows = Clock(), StoredRows()
    for number, value in enumerate(("no json", "[]", None, 7, '{"model": "notes", "parts": []}')):
        rows.rows[str(number)] = Row(str(number), value, 1)
    block = Block(MODEL, frozenset({"bad"}), 200.0)
    rows.rows["sound"] = Row("sound", encode_block(block, time.time() + 50.0).decode(), 1)
    rows.rows["over"] = Row("over", encode_block(replace_parts(block), 1.0).decode(), 1)
    guard = create_guard(Links(), clock, BlockTable(rows, clock))
    guard.start()
    assert wait_for_refusal(guard, ["bad"]) is not None
    assert guard.check(MODEL, ["other"]) is None
    guard.close()


def replace_parts(block: Block) -> Block:
    return Block(block.model, frozenset({"other"}), block.until)
