"""Eject failing upstreams and ramp up their traffic slowly afterwards."""

from dataclasses import dataclass, replace

from turmericproxy.routing.requests import AttemptOutcome

EJECTION_FAULT_SCORE = 3.0
FAULT_HALF_LIFE_SECONDS = 10.0
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 8.0
RAMP_UP_SECONDS = 4.0
MIN_SLOT_FRACTION = 0.1

_FAULT_WEIGHTS = {
    AttemptOutcome.UNREACHABLE: 3.0,
    AttemptOutcome.TIMEOUT: 1.5,
    AttemptOutcome.FAILED: 1.0,
    AttemptOutcome.MISMATCHED: 1.0,
}


@dataclass(frozen=True)
class Health:
    """Represent the recent faults and ejections of an upstream; times are boot times in seconds.

    ``fault_score`` is the sum of fault weights, which decay with time, as of ``updated_at``.
    """

    fault_score: float = 0.0
    updated_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is excluded from selection."""
        return now < self.ejected_until

    def compute_slot_fraction(self, now: float) -> float:
        """Return the fraction of its slots that the upstream may use, from 0 to 1."""
        if self.is_ejected(now):
            return 0.0
        if not self.ejections:
            return 1.0
        return min(1.0, max(MIN_SLOT_FRACTION, (now - self.ejected_until) / RAMP_UP_SECONDS))


def update_health(health: Health, outcome: AttemptOutcome, now: float) -> Health:
    """Return the health after an attempt with this outcome."""
    if outcome.is_fault:
        return _add_fault(health, _FAULT_WEIGHTS[outcome], now)
    if outcome is AttemptOutcome.DONE and health.compute_slot_fraction(now) >= 1.0:
        return Health()
    return health


def _add_fault(health: Health, weight: float, now: float) -> Health:
    if health.is_ejected(now):
        return health
    decay = 0.5 ** ((now - health.updated_at) / FAULT_HALF_LIFE_SECONDS)
    fault_score = health.fault_score * decay + weight
    is_ramping_up = health.ejections > 0 and health.compute_slot_fraction(now) < 1.0
    if fault_score < EJECTION_FAULT_SCORE and not is_ramping_up:
        return replace(health, fault_score=fault_score, updated_at=now)
    seconds = min(MAX_EJECTION_SECONDS, MIN_EJECTION_SECONDS * 2**health.ejections)
    return Health(0.0, now, health.ejections + 1, now + seconds)
