import random

from turmericproxy.routing.speed import PrefillSpeed, update_speed

SEED = 5


def test_initial_estimate_matches_the_assumed_samples():
    assert abs(PrefillSpeed().tokens_per_second - 20_000) < 1
    assert abs(PrefillSpeed().overhead_seconds) < 1e-6


def test_speed_and_overhead_are_estimated_separately():
    rng, speed = random.Random(SEED), PrefillSpeed()
    for _ in range(150):
        uncached_tokens = rng.randint(100, 9_000)
        tokens_ahead = rng.choice((0, 0, 0, 4_000))
        seconds = 0.04 + (uncached_tokens + tokens_ahead) / 30_000 + rng.uniform(0.0, 0.01)
        speed = update_speed(speed, uncached_tokens, tokens_ahead, seconds)
    assert 28_000 < speed.tokens_per_second < 32_000
    assert 0.035 < speed.overhead_seconds < 0.055


def test_estimates_stay_in_bounds_for_inconsistent_samples():
    speed = PrefillSpeed()
    for _ in range(50):
        speed = update_speed(speed, 1, 0.0, 9.0)
        speed = update_speed(speed, 8_000, 0.0, 0.0)
    assert 500 <= speed.tokens_per_second <= 10_000_000
    assert 0.0 <= speed.overhead_seconds <= 0.5
