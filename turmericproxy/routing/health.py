"""Eject upstreams that fail and let them return slowly."""

from dataclasses import dataclass, replace

from turmericproxy.routing.requests import AttemptOutcome

FAULTS_TO_EJECT = 3.0
FAULT_HALF_LIFE = 10.0
FIRST_EJECTION = 0.5
LONGEST_EJECTION = 8.0
RETURN_TIME = 4.0
LOWEST_SHARE = 0.1

_FAULT_WEIGHTS = {
    AttemptOutcome.UNREACHABLE: 3.0,
    AttemptOutcome.TIMEOUT: 1.5,
    AttemptOutcome.FAILED: 1.0,
    AttemptOutcome.MISMATCHED: 1.0,
}


@dataclass(frozen=True)
class Health:
    """Hold the recent faults of an upstream; times are boot times in seconds."""

    faults: float = 0.0
    counted_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream gets no requests now."""
        return now < self.ejected_until

    def measure_share(self, now: float) -> float:
        """Return the part of its slots that the upstream may use, from 0 to 1."""
        if self.is_ejected(now):
            return 0.0
        if not self.ejections:
            return 1.0
        return min(1.0, max(LOWEST_SHARE, (now - self.ejected_until) / RETURN_TIME))


def record_ending(health: Health, kind: AttemptOutcome, now: float) -> Health:
    """Return the health after an attempt ended."""
    if kind.is_fault:
        return _record_fault(health, _FAULT_WEIGHTS[kind], now)
    if kind is AttemptOutcome.DONE and health.measure_share(now) >= 1.0:
        return Health()
    return health


def _record_fault(health: Health, weight: float, now: float) -> Health:
    if health.is_ejected(now):
        return health
    decay = 0.5 ** ((now - health.counted_at) / FAULT_HALF_LIFE)
    faults = health.faults * decay + weight
    returning = health.ejections > 0 and health.measure_share(now) < 1.0
    if faults < FAULTS_TO_EJECT and not returning:
        return replace(health, faults=faults, counted_at=now)
    length = min(LONGEST_EJECTION, FIRST_EJECTION * 2**health.ejections)
    return Health(0.0, now, health.ejections + 1, now + length)
