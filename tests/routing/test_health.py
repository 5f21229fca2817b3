from turmericproxy.routing.health import Health, record_ending
from turmericproxy.routing.requests import AttemptOutcome


def test_single_failure_does_not_eject():
    health = record_ending(Health(), AttemptOutcome.FAILED, 100.0)
    assert health.measure_share(100.0) == 1.0


def test_failures_spread_over_time_are_forgotten():
    health = Health()
    for number in range(20):
        health = record_ending(health, AttemptOutcome.FAILED, 100.0 + 30 * number)
    assert health.ejections == 0


def test_ejections_grow_and_the_return_is_slow():
    health = record_ending(Health(), AttemptOutcome.UNREACHABLE, 100.0)
    assert health.is_ejected(100.4) and not health.is_ejected(100.6)
    assert health.measure_share(100.6) == 0.1
    assert abs(health.measure_share(102.5) - 0.5) < 1e-9
    health = record_ending(health, AttemptOutcome.FAILED, 100.7)
    assert health.is_ejected(101.6) and not health.is_ejected(101.8)
    for _ in range(8):
        health = record_ending(health, AttemptOutcome.UNREACHABLE, health.ejected_until + 0.1)
    assert health.ejected_until - health.counted_at == 8.0


def test_success_after_the_return_wipes_the_record():
    health = record_ending(Health(), AttemptOutcome.UNREACHABLE, 100.0)
    assert record_ending(health, AttemptOutcome.DONE, 101.0).ejections == 1
    assert record_ending(health, AttemptOutcome.DONE, 105.0) == Health()


def test_callers_who_leave_and_old_versions_are_no_faults():
    for kind in (AttemptOutcome.CANCELLED, AttemptOutcome.WRONG_VERSION):
        assert record_ending(Health(), kind, 100.0) == Health()
