"""Check where requests go under named loads, with and without reported speeds."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

import pytest

from tests.placement.support import MODEL, SERVICE, create_context, create_entry
from tests.placement.test_pauses import LONG, SHORT
from turmericproxy.core import HostName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import UpstreamRegistry
from turmericproxy.placement.engines import EngineCandidate
from turmericproxy.placement.load_reports import LoadReport
from turmericproxy.placement.pauses import StreamRequirements
from turmericproxy.placement.registry import SpeedReport, Work
from turmericproxy.placement.selection import select_engine
from turmericproxy.traffic.requests import Prompt, PromptPart

LONG_PROMPT = Prompt(MODEL, 2_890, 54, (PromptPart("own", 2_890),))
SHORT_PROMPT = Prompt(MODEL, 826, 294, (PromptPart("own", 826),))
NOW = 10.0


def create_service(slowdowns: Sequence[float | None]) -> UpstreamRegistry:
    registry = UpstreamRegistry()
    for number, slowdown in enumerate(slowdowns):
        entry = create_entry(f"engine-{number}")
        registry.update(entry)
        registry.record_load(entry.instance, 1, LoadReport(0, 0, 16, slowdown), NOW - 1)
    registry.set_capacity(SERVICE, 92_000)
    return registry


def choose(
    registry: UpstreamRegistry, prompt: Prompt, stream: StreamRequirements | None
) -> EngineCandidate:
    speeds = registry.find_speeds(SERVICE)
    if stream and speeds:
        stream = replace(stream, usual_slowdown=speeds.usual_slowdown)
    context = create_context(stream=stream if speeds else None, now=NOW)
    chosen = select_engine(registry.list_ready(SERVICE), prompt, context, frozenset())
    assert chosen is not None
    return chosen


def place(registry: UpstreamRegistry, longs: int, shorts: int) -> tuple[Counter, Counter]:
    """Place requests that stay, alternating in proportion; return the slowdowns by kind."""
    placed: tuple[Counter, Counter] = (Counter(), Counter())
    total = longs + shorts
    for number in range(total):
        is_short = (number + 1) * shorts // total > number * shorts // total
        prompt, stream = (SHORT_PROMPT, SHORT) if is_short else (LONG_PROMPT, LONG)
        chosen = choose(registry, prompt, replace(stream, spread_key=str(number)))
        # Streams of both kinds are decoding by the time of the next request.
        registry.add_work(chosen.view.instance, Work(1, 0, 1_000))
        placed[is_short][chosen.view.lasting_slowdown] += 1
    return placed


MIXED = [0.6, 1.0, 1.67] * 4


@pytest.mark.parametrize(("longs", "shorts", "most_on_slow"), [(30, 10, 0), (60, 20, 1)])
def test_few_short_streams_beside_many_long_prompts_go_to_faster_engines(
    longs: int, shorts: int, most_on_slow: int
) -> None:
    """With 40 requests the faster engines have room; with 80, ten each, they near their slots."""
    _, placed = place(create_service(MIXED), longs, shorts)
    assert placed.total() == shorts
    assert placed[1.67] <= most_on_slow


def test_short_streams_only_fill_all_engines() -> None:
    """Guard against engines that are kept free for a kind of request that doesn't come."""
    _, shorts = place(create_service(MIXED), 0, 12 * 15)
    assert min(shorts[s] for s in (0.6, 1.0, 1.67)) > 15


def test_long_prompts_only_fill_all_engines() -> None:
    longs, _ = place(create_service(MIXED), 12 * 15, 0)
    assert min(longs[s] for s in (0.6, 1.0, 1.67)) > 15


def test_all_engines_slow_serve_both_kinds() -> None:
    longs, shorts = place(create_service([1.67] * 6), 40, 20)
    assert (longs.total(), shorts.total()) == (40, 20)


def test_engine_that_claims_to_be_ten_times_faster_does_not_get_everything() -> None:
    registry = create_service([0.1] + [1.0] * 11)
    longs, shorts = place(registry, 80, 40)
    liar = registry.find(InstanceId("engine-0"))
    assert liar is not None
    assert liar.requests <= 30


@pytest.mark.parametrize("slowdown", [None, 0.05, 50.0])
def test_engine_with_an_odd_report_does_not_keep_others_from_work(slowdown: float | None) -> None:
    longs, shorts = place(create_service([slowdown] + [1.0] * 5), 30, 15)
    assert longs[1.0] + shorts[1.0] >= 25


def test_momentarily_slowed_engine_is_avoided_and_then_used_again() -> None:
    registry = create_service([0.6, 1.0])
    registry.record_load(InstanceId("engine-0"), 1, LoadReport(1, 0, 16, 2.5), NOW - 0.1)
    assert choose(registry, LONG_PROMPT, LONG).view.slowdown == 1.0
    registry = create_service([0.6, 1.0])
    registry.record_load(InstanceId("engine-0"), 1, LoadReport(1, 0, 16, 2.5), NOW - 5.0)
    assert choose(registry, LONG_PROMPT, LONG).view.slowdown == 0.6


def test_report_of_another_start_is_ignored() -> None:
    """Guard against the speed of a predecessor at the same id, from an answer or a peer."""
    registry = create_service([1.0, 1.0])
    registry.update(create_entry("engine-0", started_at=2))
    state = registry.find(InstanceId("engine-0"))
    assert state is not None
    assert state.speed is None
    registry.record_load(InstanceId("engine-0"), 1, LoadReport(0, 0, 16, 0.6), NOW)
    registry.receive_speeds([SpeedReport(InstanceId("engine-0"), 1, 60)], NOW)
    assert state.speed is None
    registry.receive_speeds([SpeedReport(InstanceId("engine-0"), 2, 60)], NOW)
    assert state.speed is not None


def test_hosts_without_reports_use_the_usual_score_until_some_come() -> None:
    """A restart of all hosts: nothing is known, and the first report brings the figures back."""
    registry, plain = create_service([None] * 3), create_service([None] * 3)
    assert registry.find_speeds(SERVICE) is None
    assert choose(registry, LONG_PROMPT, LONG) == choose(plain, LONG_PROMPT, None)
    registry.receive_speeds([SpeedReport(InstanceId("engine-1"), 1, 60)], NOW)
    assert registry.find_speeds(SERVICE) is not None
    assert registry.list_speeds() == (SpeedReport(InstanceId("engine-1"), 1, 60),)


def test_reports_without_a_speed_change_no_score_and_are_not_sent() -> None:
    """Guard against a change for deployments whose upstreams send three figures."""
    reporting, silent = create_service([None] * 5), UpstreamRegistry()
    for number in range(5):
        silent.update(create_entry(f"engine-{number}"))
    for registry in (reporting, silent):
        registry.set_capacity(SERVICE, 92_000)
        registry.add_work(InstanceId("engine-0"), Work(3, 2_000, 9_000))
        registry.set_peer_work(HostName("h"), {InstanceId("engine-1"): Work(1, 500, 900)})
    chosen = choose(reporting, LONG_PROMPT, LONG)
    assert chosen == choose(silent, LONG_PROMPT, None)
    # As computed before engines reported speeds: 2,890 tokens at 40,000 a second, and a step.
    assert chosen.expected_seconds == 2_890 / 40_000 + 0.005
    assert (reporting.take_speeds(), reporting.list_speeds()) == ((), ())


def test_service_whose_reporting_engines_are_gone_is_scored_as_before() -> None:
    registry = create_service([0.6, None])
    registry.remove(InstanceId("engine-0"))
    assert registry.find_speeds(SERVICE) is None


def test_simultaneous_choices_of_many_hosts_are_spread() -> None:
    """Guard against all hosts choosing the engine that looks best for the same 30 ms."""
    registry = create_service([0.6] * 15 + [1.0] * 30)
    for number in range(45):
        registry.add_work(InstanceId(f"engine-{number}"), Work(6, 0, 1_000))
    registry.add_work(InstanceId("engine-7"), Work(-1, 0, 0))
    chosen = Counter(
        choose(
            registry, SHORT_PROMPT, replace(SHORT, stream_seconds=0.8, spread_key=str(n))
        ).view.instance
        for n in range(84)
    )
    assert max(chosen.values()) <= 42
    assert len(chosen) >= 8


def test_single_request_goes_to_the_best_engine_of_an_idle_service() -> None:
    """Guard against a spread that costs time where no other request is on its way."""
    registry = create_service(MIXED)
    for number in range(20):
        chosen = choose(registry, SHORT_PROMPT, replace(SHORT, spread_key=str(number)))
        assert chosen.view.lasting_slowdown == 0.6
