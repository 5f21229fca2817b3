"""Check what hosts conclude from what others tell, without a network."""

import asyncio
from collections.abc import Callable

import msgpack
import pytest

from turmericproxy.core import HostName, ModelName, RequestId
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.crashes.controller import CrashController, CrashState
from turmericproxy.crashes.evidence import (
    MAX_PARTS_PER_MESSAGE,
    BlockNotice,
    BrokenPrompt,
    EndReport,
    EngineStart,
    ModelPart,
    decode_notices,
    decode_reports,
)
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry

MODEL = ModelName("m")
ENGINES = [EngineStart(InstanceId(f"e{n}"), 1) for n in range(12)]


class Host:
    """A controller with a clock of its own and engines whose addresses refuse connections."""

    def __init__(self, name: str = "h0") -> None:
        self.now = 100.0
        self.registry = UpstreamRegistry()
        for engine in ENGINES:
            self.registry.update(
                UpstreamEntry(
                    engine.instance,
                    ServiceName("s"),
                    "127.0.0.1:1",
                    "a",
                    8,
                    EntryState.READY,
                    started_at=1,
                )
            )
        self.peers: list[HostName] = [HostName("p1"), HostName("p2")]
        self.controller = CrashController(
            HostName(name), self.registry, lambda: self.peers, lambda: self.now, Metrics()
        )
        for number in range(50):
            self.answer(f"s{number % 5}")

    def answer(self, *parts: str) -> None:
        self.controller.record_answer(EngineStart(InstanceId("x"), 1), MODEL, parts, self.now)

    async def break_prompts(self, number: int, *prompts: tuple[str, ...]) -> None:
        """Let an engine end while answers on some prompts had begun at this host."""
        self.now += 0.5
        self.registry.record_refused_connection(ENGINES[number].instance)
        for n, parts in enumerate(prompts):
            broken = BrokenPrompt(RequestId(f"{number}-{n}"), MODEL, parts, True, 0.1)
            self.controller.record_broken(ENGINES[number], broken)
        await self.settle()

    async def settle(self) -> None:
        await asyncio.sleep(0.02)
        self.controller.take_state()

    def tell(self, peer: str, number: int, *prompts: tuple[str, ...]) -> None:
        """Receive a peer's report that an engine ended."""
        broken = tuple(
            BrokenPrompt(RequestId(f"{number}-{n}"), MODEL, parts, True, 0.1)
            for n, parts in enumerate(prompts)
        )
        report = EndReport(ENGINES[number], 0.0, broken, len(broken))
        self.controller.receive(HostName(peer), CrashState((report,)))

    def refuses(self, *parts: str) -> bool:
        return self.controller.find_block(RequestId("r"), MODEL, list(parts)) is not None


def run(scenario: Callable[[], object]) -> None:
    async def main() -> None:
        await scenario()  # type: ignore[misc]

    asyncio.run(main())


def test_three_ends_on_a_part_block_it_and_no_other_part() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(3):
            assert not host.refuses("s1", "bad")
            await host.break_prompts(number, ("s1", "bad", f"c{number}"))
            host.answer("s1")
        assert host.refuses("s1", "bad", "c9")
        assert not host.refuses("s1", "c0")
        host.controller.close()

    run(scenario)


# Two parts that always come together can't be told apart: prompts with only one of them go on, and
# an answer on one of them shows which it is.
def test_parts_that_always_come_together_are_blocked_together_until_one_is_answered() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(3):
            await host.break_prompts(number, ("twin", "bad"))
        assert host.refuses("twin", "bad")
        assert not host.refuses("twin")
        host.answer("twin", "s1")
        assert host.refuses("bad")
        assert not host.refuses("twin")
        host.controller.close()

    run(scenario)


def test_two_parts_that_end_engines_are_both_blocked() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(6):
            await host.break_prompts(number, ("s1", "bad" if number % 2 else "worse"))
            host.answer("s1")
        assert host.refuses("bad")
        assert host.refuses("worse")
        assert not host.refuses("s1")
        host.controller.close()

    run(scenario)


# A broken or malicious host must not have the others refuse sound prompts.
def test_evidence_of_one_other_host_alone_blocks_nothing() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(10):
            host.tell("p1", number, ("sound",))
            host.registry.record_refused_connection(ENGINES[number].instance)
            host.now += 0.5
            await host.settle()
        notice = BlockNotice(MODEL, ("sound",), 1e9, 0, True)
        host.controller.receive(HostName("p1"), CrashState(blocks=(notice,)))
        assert not host.refuses("sound")
        host.controller.close()

    run(scenario)


def test_evidence_of_several_hosts_blocks_a_part() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(4):
            host.now += 0.5
            host.registry.record_refused_connection(ENGINES[number].instance)
            host.tell(f"p{1 + number % 2}", number, ("s1", "bad"))
            await host.settle()
            await asyncio.sleep(0.2)
            await host.settle()
            host.answer("s1")
        assert host.refuses("s1", "bad")
        host.controller.close()

    run(scenario)


def test_blocks_of_two_other_hosts_are_adopted() -> None:
    async def scenario() -> None:
        host = Host()
        notice = BlockNotice(MODEL, ("bad",), 500.0, 0, True)
        host.controller.receive(HostName("p1"), CrashState(blocks=(notice,)))
        assert not host.refuses("bad")
        host.controller.receive(HostName("p2"), CrashState(blocks=(notice,)))
        assert host.refuses("bad")
        host.controller.close()

    run(scenario)


# A broken answer, a reset connection or an engine that leaves as planned ends no engine.
@pytest.mark.parametrize("is_leaving", [False, True])
def test_broken_answers_of_engines_that_have_not_ended_blame_no_part(is_leaving: bool) -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        host = Host()
        for number, engine in enumerate(ENGINES[:6]):
            entry = UpstreamEntry(
                engine.instance,
                ServiceName("s"),
                "127.0.0.1:1" if is_leaving else address,
                "a",
                8,
                EntryState.READY,
                started_at=1,
            )
            host.registry.update(entry)
            if is_leaving:
                host.registry.mark_leaving(engine.instance, 1)
            host.now += 0.5
            broken = BrokenPrompt(RequestId(f"r{number}"), MODEL, ("bad",), True, 0.1)
            host.controller.record_broken(engine, broken)
            assert not await host.controller.await_end(engine)
            await host.settle()
        assert not host.refuses("bad")
        host.controller.close()
        server.close()

    run(scenario)


# Connections through a cut link may be refused although the engine runs.
def test_engine_that_answers_again_has_not_ended() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(2):
            await host.break_prompts(number, ("rare",))
            host.now += 1.0
            host.controller.record_answer(ENGINES[number], MODEL, ["s1"], host.now)
        for number in range(2, 4):
            await host.break_prompts(number, ("rare",))
        assert not host.refuses("rare")
        host.controller.close()

    run(scenario)


def test_one_host_makes_one_trial_and_a_failed_one_extends_the_block() -> None:
    async def scenario() -> None:
        host = Host()
        host.peers = []
        for number in range(3):
            await host.break_prompts(number, ("bad",))
        assert host.refuses("bad")
        host.now += 601.0
        find = host.controller.find_block
        assert find(RequestId("trial"), MODEL, ["bad"]) is None
        assert find(RequestId("trial"), MODEL, ["bad"]) is not None
        assert find(RequestId("other"), MODEL, ["bad"]) is not None
        host.registry.record_refused_connection(ENGINES[5].instance)
        broken = BrokenPrompt(RequestId("trial"), MODEL, ("bad",), True, 0.1)
        host.controller.record_broken(ENGINES[5], broken)
        await host.settle()
        host.now += 1100.0
        assert find(RequestId("later"), MODEL, ["bad"]) is not None
        host.now += 101.0
        assert find(RequestId("next"), MODEL, ["bad"]) is None
        host.answer("bad")
        assert not host.refuses("bad")
        host.controller.close()

    run(scenario)


def test_running_prompts_are_given_up_when_their_part_is_blocked() -> None:
    async def scenario() -> None:
        host, given_up = Host(), []
        with (
            host.controller.watch(MODEL, ["s1", "bad"], lambda: given_up.append("bad")),
            host.controller.watch(MODEL, ["s1"], lambda: given_up.append("sound")),
        ):
            for number in range(3):
                await host.break_prompts(number, ("bad",))
        assert given_up == ["bad"]
        host.controller.close()

    run(scenario)


def test_memory_and_messages_are_bounded_however_many_parts_come() -> None:
    async def scenario() -> None:
        host = Host()
        engine = ENGINES[0]
        for number in range(2000):
            parts = tuple(f"part-{number}-{n}" for n in range(100))
            host.controller.record_broken(
                engine, BrokenPrompt(RequestId(f"r{number}"), MODEL, parts, True, 0.1)
            )
        host.registry.record_refused_connection(engine.instance)
        await asyncio.sleep(0.02)
        state = host.controller.take_state()
        assert state is not None
        assert len(msgpack.packb(state)) < 200_000
        decode_reports(msgpack.unpackb(msgpack.packb(state.reports)))
        host.controller.close()

    run(scenario)


@pytest.mark.parametrize(
    "value",
    [
        None,
        [[]],
        [[["e", 1], 0.0, [["r", "m", "not a list", True, 0.1]], 1]],
        [[["e", 1], 0.0, [["r", "m", ["p"] * 1000, True, 0.1]], 1]],
        [[["e", 1], 0.0, [["r", "m", ["p"], True, float("nan")]], 1]],
        [[["e", 1], 0.0, [["r", "m", ["p" * 1000], True, 0.1]], 1]],
        [[["e", 1], -1.0, [], 1]],
        [[["e", 1], 0.0, [], 1]] * 1000,
    ],
)
def test_malformed_reports_are_rejected(value: object) -> None:
    with pytest.raises((ValueError, TypeError)):
        decode_reports(value)


def test_malformed_notices_are_rejected() -> None:
    for value in (None, [["m", "p", 1.0, 0, True]], [["m", ["p"], -1.0, 0, True]], [[1] * 5]):
        with pytest.raises((ValueError, TypeError)):
            decode_notices(value)


def test_answers_of_other_hosts_clear_a_suspicious_part() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(2):
            await host.break_prompts(number, ("rare",))
        host.now += 0.1
        host.controller.receive(HostName("p1"), CrashState(answered=(ModelPart(MODEL, "rare"),)))
        for number in range(2, 4):
            await host.break_prompts(number, ("rare",))
        assert not host.refuses("rare")
        host.controller.close()

    run(scenario)


# A host that answers many suspicious parts at once told the others of the first ones only.
def test_all_answered_parts_are_told_however_many_there_are() -> None:
    async def scenario() -> None:
        host = Host()
        count = 2 * MAX_PARTS_PER_MESSAGE + 1
        parts = [f"part-{number}" for number in range(count)]
        prompts = (tuple(parts[n : n + 64]) for n in range(0, count, 64))
        await host.break_prompts(0, *prompts)
        host.now += 0.1
        for part in parts:
            host.answer(part)
        told: set[ModelPart] = set()
        for _ in range(3):
            state = host.controller.take_state()
            assert state is not None and len(state.answered) <= MAX_PARTS_PER_MESSAGE
            told.update(state.answered)
        assert told == {ModelPart(MODEL, part) for part in parts}
        assert host.controller.take_state() is None
        host.controller.close()

    run(scenario)


# Answers that were told while a part was blocked narrowed a later block of it, with another cause.
def test_answers_told_during_one_block_do_not_narrow_a_later_one() -> None:
    async def scenario() -> None:
        host = Host()
        answered = CrashState(answered=(ModelPart(MODEL, "twin"),))
        for number in range(3):
            await host.break_prompts(number, ("twin", "bad"))
        host.controller.receive(HostName("p1"), answered)
        (block,) = host.controller.blocks
        host.controller.lift(block, "removed")
        host.now += 1.0
        for number in range(3, 6):
            await host.break_prompts(number, ("twin", "bad"))
        assert host.refuses("twin", "bad")
        host.controller.receive(HostName("p2"), answered)
        assert not host.refuses("bad")
        host.controller.receive(HostName("p1"), answered)
        assert host.refuses("bad")
        host.controller.close()

    run(scenario)


# One host that tells that a part was answered, although it wasn't, hides the part from all others.
def test_one_faulty_host_does_not_keep_a_part_from_being_blocked() -> None:
    async def scenario() -> None:
        host = Host()
        for number in range(5):
            await host.break_prompts(number, ("bad",))
            host.now += 0.1
            host.controller.receive(HostName("p1"), CrashState(answered=(ModelPart(MODEL, "bad"),)))
        assert host.refuses("bad")
        host.controller.close()

    run(scenario)


# Soak seed 554: all engines had ended, and an answer on the part of all prompts came after the
# first end, but before the host knew of it. It counted as an answer without the part, and all
# prompts were refused.
def test_part_of_all_prompts_is_not_blamed_for_an_end_known_after_a_later_answer() -> None:
    async def scenario() -> None:
        host = Host()
        host.peers = [HostName(f"p{number}") for number in range(1, 10)]
        for number in range(500):
            host.answer("all", f"c{number}")
        for number in range(4):
            host.now += 1.0
            if number == 0:
                host.answer("all", "c")
            host.registry.record_refused_connection(ENGINES[number].instance)
            prompt = BrokenPrompt(RequestId(f"r{number}"), MODEL, ("all", f"d{number}"), True, 0.6)
            for peer in ("p1", "p2"):
                state = CrashState((EndReport(ENGINES[number], 0.5, (prompt,), 1),))
                host.controller.receive(HostName(peer), state)
            await host.settle()
        host.now += 1.0
        await host.settle()
        assert not host.refuses("all", "x")
        host.controller.close()

    run(scenario)


# Hosts that don't know of an end yet don't tell that a part was answered: answers of that moment
# must not count for all hosts as answers without the part.
def test_answers_before_others_know_of_an_end_do_not_count_for_them() -> None:
    async def scenario() -> None:
        host = Host()
        host.peers = [HostName(f"p{number}") for number in range(1, 10)]
        for number in range(500):
            host.answer("half" if number % 2 else "other", f"c{number}")
        for number in range(3):
            await host.break_prompts(number, ("half", f"d{number}"))
            if number == 0:
                for _ in range(2):
                    host.now += 0.05
                    host.answer("other", "x")
        host.now += 1.0
        await host.settle()
        assert not host.refuses("half", "x")
        host.controller.close()

    run(scenario)
