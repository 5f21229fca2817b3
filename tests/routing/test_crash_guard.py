"""Check how a host at the product's own interface adds up the ends of engines."""

import socket

from turmericproxy.core import EngineName, HostName, ModelName, RequestId, ResultCode
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.evidence import BrokenPrompt, EndReport, EngineStart
from turmericproxy.routing.crash_guard import CrashGuard, list_message_parts

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


def create_guard(links: Links, clock: Clock) -> CrashGuard:
    guard = CrashGuard(links, lambda name: REFUSING, clock)
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


# Issue 30: a host that restarts would send the prompts again that it has refused.
def test_blocks_outlast_a_restart_of_the_host() -> None:
    clock, links = Clock(), Links()
    guard = create_guard(links, clock)
    for number in range(3):
        clock.now += 1.0
        prompt = create_prompt(number, "bad")
        guard.record_broken(EngineName(f"e{number}"), REFUSING, prompt)
    assert guard.check(MODEL, ["bad"]) is not None
    restarted = create_guard(links, clock)
    restarted.start()
    assert restarted.check(MODEL, ["bad"]) is not None
