"""Check how endings of requests judge an upstream."""

from turmericproxy.placement.health import LONGEST_PAUSE, Health, HealthSignal, record_health_signal


def test_pauses_double_up_to_the_longest() -> None:
    health, now, pauses = Health(), 0.0, []
    for _ in range(6):
        health = record_health_signal(health, HealthSignal.UNREACHABLE, now)
        pauses.append(health.paused_until - now)
        now = health.paused_until
    assert pauses == [0.5, 1.0, 2.0, LONGEST_PAUSE, LONGEST_PAUSE, LONGEST_PAUSE]


def test_an_answer_ends_the_pause() -> None:
    health = record_health_signal(Health(), HealthSignal.UNREACHABLE, 0.0)
    assert not record_health_signal(health, HealthSignal.ANSWERED, 0.1).is_paused(0.2)


def test_one_call_that_takes_too_long_pauses_nobody() -> None:
    slow = record_health_signal(Health(), HealthSignal.TIMED_OUT, 0.0)
    assert not slow.is_paused(0.1)
    answered = record_health_signal(slow, HealthSignal.ANSWERED, 0.1)
    assert not record_health_signal(answered, HealthSignal.TIMED_OUT, 0.2).is_paused(0.3)


def test_silence_twice_in_a_row_is_a_pause() -> None:
    silent = record_health_signal(
        record_health_signal(Health(), HealthSignal.TIMED_OUT, 0.0), HealthSignal.TIMED_OUT, 0.1
    )
    assert silent.is_paused(0.2)


def test_grey_upstream_is_known_by_its_share_of_failures() -> None:
    health = Health()
    for n in range(50):
        ending = HealthSignal.FAILED if n % 2 else HealthSignal.ANSWERED
        health = record_health_signal(health, ending, n * 0.05)
    assert 0.3 < health.measure_failures(2.5) < 0.7
    assert not health.is_paused(2.5)
    assert health.measure_failures(12.5) == 0.0
