"""Check the speeds that are derived from reported slowdowns."""

import random

import pytest

from turmericproxy.placement.engine_speeds import (
    MAX_MEDIAN_FACTOR,
    MIN_MEDIAN_FACTOR,
    EngineSpeed,
    estimate_lasting_slowdown,
    estimate_slowdown,
    is_news,
    record_slowdown,
)


def record_all(*reports: tuple[float, float]) -> EngineSpeed:
    speed: EngineSpeed | None = None
    for at, slowdown in reports:
        speed = record_slowdown(speed, slowdown, at)
    assert speed is not None
    return speed


def test_noise_is_used_for_a_moment_and_leaves_the_lasting_speed() -> None:
    speed = record_all((0.0, 1.0), (1.0, 2.5))
    assert estimate_slowdown(speed, 1.0, 1.1) == 2.5
    assert estimate_lasting_slowdown(speed, 1.0) == 1.0


def test_report_that_is_5_seconds_old_is_forgotten() -> None:
    assert estimate_slowdown(record_all((0.0, 1.0), (1.0, 2.5)), 1.0, 6.0) == 1.0


def test_first_report_under_noise_is_corrected_by_the_next_lower_one() -> None:
    assert record_all((0.0, 2.5), (0.3, 1.0)).lasting == 1.0


def test_lasting_rise_is_followed_within_5_seconds() -> None:
    """Guard against an engine that became slow and is used as a fast one for good."""
    speed = record_all((0.0, 0.6), *((1.0 + 0.25 * i, 1.67) for i in range(16)))
    assert speed.lasting == 1.67


def test_slow_engine_that_becomes_fast_is_followed_at_once() -> None:
    assert record_all((0.0, 1.67), (0.2, 0.6)).lasting == 0.6


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_noise_does_not_change_the_lasting_speed(seed: int) -> None:
    """Guard against stretches of noise that follow each other and count as a lasting change."""
    source, speed = random.Random(seed), EngineSpeed(1.0)
    now, is_noisy, until = 0.0, False, 2.0
    for _ in range(2000):
        now += source.expovariate(4.2)
        while now > until:
            is_noisy = not is_noisy
            until += source.expovariate(1 / 0.35 if is_noisy else 1 / 2.0)
        speed = record_slowdown(speed, 2.5 if is_noisy else 1.0, now)
        assert speed.lasting == 1.0


@pytest.mark.parametrize("slowdown", [0.05, 0.1])
def test_engine_that_claims_absurd_speed_is_bounded_by_the_median(slowdown: float) -> None:
    assert estimate_slowdown(EngineSpeed(slowdown), 1.0, 1.0) == MIN_MEDIAN_FACTOR


def test_engine_that_claims_to_be_absurdly_slow_is_bounded_by_the_median() -> None:
    assert estimate_slowdown(EngineSpeed(50.0), 1.0, 1.0) == MAX_MEDIAN_FACTOR


def test_engine_without_a_report_counts_as_a_usual_one() -> None:
    assert estimate_slowdown(None, 1.3, 1.0) == 1.3


def test_only_changes_are_news() -> None:
    """Guard against messages between hosts for each answer."""
    usual, raised = EngineSpeed(1.0), record_all((0.0, 1.0), (1.0, 2.5))
    assert is_news(None, 1.0, 0.0)
    assert not is_news(usual, 1.05, 1.0)
    assert is_news(usual, 0.6, 1.0)
    assert is_news(usual, 2.5, 1.0)
    assert not is_news(raised, 2.5, 1.1)
    assert is_news(raised, 2.5, 1.4)
    assert is_news(raised, 1.0, 1.1), "the noise is over"
