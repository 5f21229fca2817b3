"""Derive the health of an upstream from the results of its requests."""

import random
from dataclasses import dataclass, replace
from enum import Enum

# Weight of the newest request in the moving average of failures.
FAILURE_SMOOTHING = 0.2
# Lower weight of a request that timed out: some calls take longer than their callers wait.
TIMEOUT_SMOOTHING = 0.1
# Consecutive time-outs after which an upstream is paused.
TIMEOUTS_BEFORE_PAUSE = 2
# Decrease of the failure share for each second without a request.
FAILURE_SHARE_DECAY_PER_SECOND = 0.1
# Pause after an upstream could not be reached; doubled on each repetition, up to the maximum.
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Largest share by which a requested pause is lengthened at random, so that the hosts which were
# turned away together don't return together.
REQUESTED_PAUSE_JITTER = 0.25


class HealthSignal(Enum):
    """Classify the result of a request by what it shows about the upstream; values are logged."""

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreachable"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Health:
    """Hold the failure share and the current pause; times are of the event loop.

    Until ``silent_until`` the upstream wants nothing from this host, not even a probe.
    """

    failure_share: float = 0.0
    updated_at: float = 0.0
    paused_until: float = 0.0
    pause: float = 0.0
    consecutive_timeouts: int = 0
    silent_until: float = 0.0

    def estimate_failure_share(self, now: float) -> float:
        """Return the failure share, reduced by the decay since the last request."""
        return max(
            0.0, self.failure_share - FAILURE_SHARE_DECAY_PER_SECOND * (now - self.updated_at)
        )

    def is_paused(self, now: float) -> bool:
        """Return whether no requests are sent to the upstream at the moment."""
        return now < self.paused_until

    def must_be_silent(self, now: float) -> bool:
        """Return whether the upstream has asked to be sent nothing at the moment."""
        return now < self.silent_until


def request_pause(health: Health, seconds: float, now: float) -> Health:
    """Return the health of an upstream that asked for a pause in seconds.

    After the pause it gets one request at a time until it answers one.

    >>> health = request_pause(Health(), 2.0, 1.0)
    >>> health.must_be_silent(2.9), health.must_be_silent(3.6)
    (True, False)
    """
    end = now + seconds * (1 + random.uniform(0.0, REQUESTED_PAUSE_JITTER))
    silent_until = max(health.silent_until, end)
    return replace(
        health,
        silent_until=silent_until,
        paused_until=max(health.paused_until, silent_until),
        pause=max(health.pause, MIN_PAUSE_SECONDS),
    )


def record_health_signal(health: Health, health_signal: HealthSignal, now: float) -> Health:
    """Return the health updated with the result of one more request.

    >>> health = record_health_signal(Health(), HealthSignal.UNREACHABLE, 1.0)
    >>> health.is_paused(1.4), health.is_paused(1.6)
    (True, False)
    """
    is_timeout = health_signal is HealthSignal.TIMED_OUT
    share = health.estimate_failure_share(now)
    smoothing = TIMEOUT_SMOOTHING if is_timeout else FAILURE_SMOOTHING
    share += smoothing * (float(health_signal is not HealthSignal.ANSWERED) - share)
    consecutive_timeouts = health.consecutive_timeouts + 1 if is_timeout else 0
    updated = replace(
        health, failure_share=share, updated_at=now, consecutive_timeouts=consecutive_timeouts
    )
    if health_signal is HealthSignal.UNREACHABLE or consecutive_timeouts >= TIMEOUTS_BEFORE_PAUSE:
        pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, 2 * health.pause))
        return replace(updated, paused_until=now + pause, pause=pause)
    if health_signal is HealthSignal.ANSWERED and not health.must_be_silent(now):
        return replace(updated, pause=0.0, paused_until=0.0)
    return updated
