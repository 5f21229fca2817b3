import random

from turmericproxy.routing.speed import Speed, learn_first_piece

SEED = 5


def test_first_guess_is_a_line():
    assert abs(Speed().tokens_per_second - 20_000) < 1
    assert abs(Speed().overhead) < 1e-6


def test_pace_and_overhead_are_learnt_apart():
    source, speed = random.Random(SEED), Speed()
    for _ in range(150):
        missing = source.randint(100, 9_000)
        ahead = source.choice((0, 0, 0, 4_000))
        seconds = 0.04 + (missing + ahead) / 30_000 + source.uniform(0.0, 0.01)
        speed = learn_first_piece(speed, missing, ahead, seconds)
    assert 28_000 < speed.tokens_per_second < 32_000
    assert 0.035 < speed.overhead < 0.055


def test_nonsense_stays_in_bounds():
    speed = Speed()
    for _ in range(50):
        speed = learn_first_piece(speed, 1, 0.0, 9.0)
        speed = learn_first_piece(speed, 8_000, 0.0, 0.0)
    assert 500 <= speed.tokens_per_second <= 10_000_000
    assert 0.0 <= speed.overhead <= 0.5
