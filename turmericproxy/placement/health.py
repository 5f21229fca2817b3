"""Judge an upstream by what its requests saw."""

from dataclasses import dataclass, replace
from enum import Enum

# Weight of the newest request in the share of failures.
SMOOTHING = 0.2
# Share of failures that is forgiven each second without a request.
RECOVERY_PER_SECOND = 0.1
# Seconds without requests after an upstream could not be reached; doubled up to the longest.
SHORTEST_PAUSE = 0.5
LONGEST_PAUSE = 4.0


class Ending(Enum):
    """Tell how a request at an upstream ended, as far as the upstream is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Health:
    """Hold the share of failures and the end of a pause; times are of the event loop."""

    failure_share: float = 0.0
    judged_at: float = 0.0
    paused_until: float = 0.0
    pause: float = 0.0

    def measure_failures(self, now: float) -> float:
        """Return the share of failures, less what time has forgiven."""
        return max(0.0, self.failure_share - RECOVERY_PER_SECOND * (now - self.judged_at))

    def is_paused(self, now: float) -> bool:
        """Return whether the upstream gets no requests for now."""
        return now < self.paused_until


def record_ending(health: Health, ending: Ending, now: float) -> Health:
    """Return the health after one more request.

    >>> sick = record_ending(Health(), Ending.UNREACHABLE, 1.0)
    >>> sick.is_paused(1.4), sick.is_paused(1.6)
    (True, False)
    """
    is_failure = ending is not Ending.ANSWERED
    share = health.measure_failures(now)
    share += SMOOTHING * (float(is_failure) - share)
    judged = replace(health, failure_share=share, judged_at=now)
    if ending in (Ending.UNREACHABLE, Ending.SILENT):
        pause = min(LONGEST_PAUSE, max(SHORTEST_PAUSE, 2 * health.pause))
        return replace(judged, paused_until=now + pause, pause=pause)
    if ending is Ending.ANSWERED:
        return replace(judged, pause=0.0, paused_until=0.0)
    return judged
