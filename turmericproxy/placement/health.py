"""Judge an upstream by what its requests saw."""

from dataclasses import dataclass, replace
from enum import Enum

# Weight of the newest request in the share of failures.
SMOOTHING = 0.2
# Weight of a request without an answer: some calls take longer than their callers wait.
SILENCE_SMOOTHING = 0.1
# Requests without an answer in a row after which an upstream gets a pause.
SILENCES_BEFORE_PAUSE = 2
# Share of failures that is forgiven each second without a request.
RECOVERY_PER_SECOND = 0.1
# Seconds without requests after an upstream could not be reached; doubled up to the longest.
SHORTEST_PAUSE = 0.5
LONGEST_PAUSE = 4.0


class HealthSignal(Enum):
    """Tell how a request at an upstream ended, as far as the upstream is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreachable"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Health:
    """Hold the share of failures and the end of a pause; times are of the event loop."""

    failure_share: float = 0.0
    judged_at: float = 0.0
    paused_until: float = 0.0
    pause: float = 0.0
    silences: int = 0

    def measure_failures(self, now: float) -> float:
        """Return the share of failures, less what time has forgiven."""
        return max(0.0, self.failure_share - RECOVERY_PER_SECOND * (now - self.judged_at))

    def is_paused(self, now: float) -> bool:
        """Return whether the upstream gets no requests for now."""
        return now < self.paused_until


def record_health_signal(health: Health, health_signal: HealthSignal, now: float) -> Health:
    """Return the health after one more request.

    >>> sick = record_health_signal(Health(), HealthSignal.UNREACHABLE, 1.0)
    >>> sick.is_paused(1.4), sick.is_paused(1.6)
    (True, False)
    """
    is_silent = health_signal is HealthSignal.TIMED_OUT
    share = health.measure_failures(now)
    smoothing = SILENCE_SMOOTHING if is_silent else SMOOTHING
    share += smoothing * (float(health_signal is not HealthSignal.ANSWERED) - share)
    silences = health.silences + 1 if is_silent else 0
    judged = replace(health, failure_share=share, judged_at=now, silences=silences)
    if health_signal is HealthSignal.UNREACHABLE or silences >= SILENCES_BEFORE_PAUSE:
        pause = min(LONGEST_PAUSE, max(SHORTEST_PAUSE, 2 * health.pause))
        return replace(judged, paused_until=now + pause, pause=pause)
    if health_signal is HealthSignal.ANSWERED:
        return replace(judged, pause=0.0, paused_until=0.0)
    return judged
