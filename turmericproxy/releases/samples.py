"""Count the answers of a service's versions by route, and sum and subtract such counts.

Latencies are counted in buckets whose limits grow by half an octave, by how busy the
upstream was. Plain counts are used since hosts sum them, and windows are their differences.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from turmericproxy.core import RouteName

BUCKETS_PER_OCTAVE = 2
MIN_LATENCY_SECONDS = 0.001
# Limits of the classes of load, in running requests per slot of the upstream.
LOAD_LIMITS = (0.25, 0.5, 0.75, 1.0)


class SampleKey(NamedTuple):
    """Name what is counted: answers of the new or of old versions on a route."""

    is_new: bool
    route: RouteName


class Samples(NamedTuple):
    """Count answers, those that failed, and latencies by class of load and bucket."""

    answers: int = 0
    failures: int = 0
    latencies: Mapping[tuple[int, int], int] = {}


NO_SAMPLES = Samples()
Totals = Mapping[SampleKey, Samples]


def find_bucket(seconds: float) -> int:
    """Return the bucket of a latency.

    >>> find_bucket(0.1) - find_bucket(0.05)
    2
    """
    return round(BUCKETS_PER_OCTAVE * math.log2(max(seconds, MIN_LATENCY_SECONDS) * 1000))


def find_load_class(requests: int, slots: int) -> int:
    """Return the class of an upstream's load.

    >>> [find_load_class(n, 8) for n in (1, 4, 40)]
    [0, 2, 4]
    """
    load = requests / max(1, slots)
    return sum(load >= limit for limit in LOAD_LIMITS)


def add_sample(samples: Samples, *, is_failure: bool, seconds: float, load_class: int) -> Samples:
    """Return the samples with one more answer; the latency of a failure is not counted."""
    latencies = dict(samples.latencies)
    if not is_failure:
        key = (load_class, find_bucket(seconds))
        latencies[key] = latencies.get(key, 0) + 1
    return Samples(samples.answers + 1, samples.failures + is_failure, latencies)


def replace_samples(total: Samples, previous: Samples, samples: Samples) -> Samples:
    """Return a sum in which ``samples`` take the place of ``previous``."""
    return _combine(_combine(total, previous, -1), samples, 1)


def subtract_totals(totals: Totals, earlier: Totals) -> dict[SampleKey, Samples]:
    """Return what was counted after ``earlier``."""
    return {k: _combine(s, earlier.get(k, NO_SAMPLES), -1) for k, s in totals.items()}


def _combine(first: Samples, second: Samples, sign: int) -> Samples:
    if second is NO_SAMPLES:
        return first
    latencies = dict(first.latencies)
    for key, count in second.latencies.items():
        latencies[key] = latencies.get(key, 0) + sign * count
    return Samples(
        first.answers + sign * second.answers,
        first.failures + sign * second.failures,
        {key: count for key, count in latencies.items() if count > 0},
    )
