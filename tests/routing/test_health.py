from turmericproxy.routing.health import Health, update_health
from turmericproxy.routing.requests import AttemptOutcome


def test_single_failure_does_not_eject():
    health = update_health(Health(), AttemptOutcome.FAILED, 100.0)
    assert health.compute_slot_fraction(100.0) == 1.0


def test_failures_spread_over_time_do_not_eject():
    health = Health()
    for number in range(20):
        health = update_health(health, AttemptOutcome.FAILED, 100.0 + 30 * number)
    assert health.ejections == 0


def test_ejections_lengthen_and_slots_ramp_up():
    health = update_health(Health(), AttemptOutcome.UNREACHABLE, 100.0)
    assert health.is_ejected(100.4) and not health.is_ejected(100.6)
    assert health.compute_slot_fraction(100.6) == 0.1
    assert abs(health.compute_slot_fraction(102.5) - 0.5) < 1e-9
    health = update_health(health, AttemptOutcome.FAILED, 100.7)
    assert health.is_ejected(101.6) and not health.is_ejected(101.8)
    for _ in range(8):
        health = update_health(health, AttemptOutcome.UNREACHABLE, health.ejected_until + 0.1)
    assert health.ejected_until - health.updated_at == 8.0


def test_success_after_the_ramp_up_resets_health():
    health = update_health(Health(), AttemptOutcome.UNREACHABLE, 100.0)
    assert update_health(health, AttemptOutcome.DONE, 101.0).ejections == 1
    assert update_health(health, AttemptOutcome.DONE, 105.0) == Health()


def test_cancelled_calls_and_wrong_versions_are_not_faults():
    for outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.WRONG_VERSION):
        assert update_health(Health(), outcome, 100.0) == Health()
