"""Decide from the expected waits at a service's engines whether the service is under pressure."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Time constant of the smoothing. Excess arrivals of 1.5 times the capacity add 0.15 s of queue in
# this time, which is within the headroom of a target of 265 ms; a shorter one follows the bursts of
# single clients.
SMOOTHING_SECONDS = 0.1
# The same while pressure falls. Near the capacity queues vary within some tenths of a second.
FALL_SECONDS = 0.2
# Ratios of wait to bound from which a service is under pressure, and below which it isn't any more.
# Refusals keep the ratio between 0.25 and 1.75, so pressure ends only below that.
ENTER_RATIO = 1.0
LEAVE_RATIO = 0.25
# Largest ratio that a single sample counts as, so that pressure ends soon after a short peak.
MAX_SAMPLE_RATIO = 4.0
# Share of a service's engines that must be better than the one whose wait counts. Single engines
# may look idle only because they no longer answer.
BEST_ENGINES_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Pressure:
    """Smoothed ratio of wait to bound at ``measured_at``, in seconds of any steady clock."""

    ratio: float = 0.0
    is_high: bool = False
    measured_at: float = 0.0


NO_PRESSURE = Pressure()


def update_pressure(pressure: Pressure, sample: float, now: float) -> Pressure:
    """Return the pressure after one more sample of the ratio of wait to bound."""
    elapsed = max(0.0, now - pressure.measured_at)
    is_falling = pressure.is_high and sample < pressure.ratio
    seconds = FALL_SECONDS if is_falling else SMOOTHING_SECONDS
    weight = 1.0 - math.exp(-elapsed / seconds)
    ratio = pressure.ratio + weight * (min(sample, MAX_SAMPLE_RATIO) - pressure.ratio)
    threshold = LEAVE_RATIO if pressure.is_high else ENTER_RATIO
    return Pressure(ratio, ratio >= threshold, now)


def estimate_slot_wait(requests: int, slots: int, hold_seconds: float) -> float:
    """Return the time until one more request gets a slot, each held for some seconds.

    >>> estimate_slot_wait(14, 12, 2.0)
    0.5
    """
    return max(0, requests + 1 - slots) * hold_seconds / max(1, slots)


def find_best_wait(waits: Sequence[float]) -> float:
    """Return the wait at a service's best engines in seconds, 0 without engines."""
    if not waits:
        return 0.0
    return sorted(waits)[int(BEST_ENGINES_SHARE * len(waits))]
