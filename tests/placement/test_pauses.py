"""Check the cost of late gaps, of a stream itself and of those beside a long prefill."""

from dataclasses import replace

import pytest

from turmericproxy.placement.pauses import (
    StreamRequirements,
    estimate_longest_gap,
    estimate_pause_cost,
    measure_noise_share,
    weigh_costs,
)

FAST, USUAL, SLOW = 0.625, 1.0, 1.67
# Engines A of the work plan: six tokens in an event, chunks of 2,048 tokens.
SHORT = StreamRequirements(
    target_gap=0.25,
    strictest_gap=0.25,
    noise_share=measure_noise_share(2.0),
    event_seconds=6 * 0.00608,
    event_seconds_per_request=6 * 0.000041,
    tokens_per_second=110_000.0,
    event_prefill_seconds=6 * 2_048 / 110_000,
    usual_prefill_seconds=2_890 / 110_000,
    usual_slowdown=1.0,
    slots=16,
    stream_seconds=1.5,
    spread_key="k",
)
LONG = replace(SHORT, noise_share=measure_noise_share(0.3))


def test_gap_beside_continuous_prefill_on_a_slow_engine_is_that_of_the_plan() -> None:
    assert estimate_longest_gap(SHORT, SLOW, 0, 50_000) == pytest.approx(0.247, abs=0.001)


def test_short_streams_avoid_slow_engines_more_than_long_prompts_do() -> None:
    short = estimate_pause_cost(SHORT, SLOW, 0, 0, 628)
    assert short > estimate_pause_cost(LONG, SLOW, 0, 0, 2_890) > 0
    assert estimate_pause_cost(SHORT, FAST, 0, 0, 628) == 0


def test_long_prefill_costs_streams_that_it_makes_late() -> None:
    alone = estimate_pause_cost(LONG, SLOW, 0, 0, 9_190)
    beside = estimate_pause_cost(LONG, SLOW, 10, 0, 9_190)
    assert beside > alone
    assert estimate_pause_cost(LONG, FAST, 10, 0, 2_890) == 0


def test_harm_does_not_outweigh_reading_shared_parts_again() -> None:
    """Guard against prompts that leave the engines which hold their parts for other streams."""
    harm = estimate_pause_cost(LONG, USUAL, 12, 0, 2_890) - estimate_pause_cost(
        LONG, USUAL, 0, 0, 2_890
    )
    assert harm < 6_300 / 110_000


def test_stream_with_a_generous_target_does_not_care() -> None:
    stream = replace(SHORT, target_gap=2.0, strictest_gap=2.0)
    assert estimate_pause_cost(stream, SLOW, 8, 5_000, 628) == 0


def test_engine_that_is_slowed_now_costs_more() -> None:
    usual = estimate_pause_cost(SHORT, SLOW, 0, 0, 628)
    assert estimate_pause_cost(SHORT, SLOW, 0, 0, 628, is_slowed=True) > usual


def test_costs_fade_where_usual_engines_are_late_too() -> None:
    """Guard against streams that crowd a few engines of a service with slow engines only."""
    event_gap = SHORT.event_seconds + SHORT.usual_prefill_seconds
    assert weigh_costs(USUAL * event_gap, 0.25) == 1.0
    weight = weigh_costs(SLOW * event_gap, 0.25)
    assert weight < 0.2
    faded = replace(SHORT, cost_weight=weight)
    assert estimate_pause_cost(faded, SLOW, 5, 0, 628) < 0.2 * estimate_pause_cost(
        SHORT, SLOW, 5, 0, 628
    )
