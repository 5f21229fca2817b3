"""Weigh the gaps between the events of streams, and what a prefill adds to those of others.

One event holds several tokens, so its gap is as many decode steps, and the chunks of prompts that
the engine prefills between them.
"""

import math
from dataclasses import dataclass

# Factor by which neighbours on the machine slow an engine, and the share of time in which they do;
# both as observed on shared machines.
NOISE_FACTOR = 2.5
NOISE_SHARE = 0.15
# Mean time between two stretches of noise: those observed last for some hundred milliseconds.
NOISE_INTERVAL_SECONDS = 2.0
# A longest gap at these shares of the target is late never and always; in between, linearly. Gaps
# are estimated from what is pending now, which changes while a stream runs.
SAFE_SHARE, LATE_SHARE = 0.7, 1.1
# Waiting time that a stream with a late gap is worth: less than the usual target latency, since a
# late first event loses as much as a late gap, and other engines fill up for it.
LATE_GAP_COST_SECONDS = 0.05
# The same for each stream that a prefill delays at the engine: beside ten of them as much as the
# fetch of a prompt's cached parts from another engine.
HARM_COST_SECONDS = 0.003


@dataclass(frozen=True, slots=True)
class StreamRequirements:
    """Hold what a stream needs, and the figures of its service on an engine of slowdown 1.

    ``target_gap`` is that of the stream and ``strictest_gap`` the lowest one of the service, in
    seconds. ``noise_share`` is the probability that neighbours slow the engine while the stream
    lasts. ``event_prefill_seconds`` is the most prefill between two events, and
    ``usual_prefill_seconds`` that of a prompt as they come in. A request that finds all ``slots``
    taken waits for a share of ``stream_seconds``. ``spread_key`` differs between requests, and
    ``cost_weight`` is a factor of the costs of late gaps.
    """

    target_gap: float
    strictest_gap: float
    noise_share: float
    event_seconds: float
    event_seconds_per_request: float
    tokens_per_second: float
    event_prefill_seconds: float
    usual_prefill_seconds: float
    usual_slowdown: float
    slots: int
    stream_seconds: float
    spread_key: str
    cost_weight: float = 1.0


def measure_noise_share(seconds: float) -> float:
    """Return the probability that neighbours slow an engine in a time of that many seconds.

    >>> round(measure_noise_share(0.0), 2), round(measure_noise_share(2.0), 2)
    (0.15, 0.69)
    """
    return 1.0 - (1.0 - NOISE_SHARE) * math.exp(-seconds / NOISE_INTERVAL_SECONDS)


def estimate_lateness(gap: float, target: float) -> float:
    """Return the probability that the longest gap of a stream exceeds its target."""
    share = (gap - SAFE_SHARE * target) / ((LATE_SHARE - SAFE_SHARE) * target)
    return min(1.0, max(0.0, share))


def weigh_costs(usual_gap: float, target: float) -> float:
    """Return the factor of the costs of late gaps, from the gap on a usual engine of the service.

    As far as noise makes gaps late there too, no engine is left for whoever avoids others: in a
    simulation with slow engines only, full costs had more streams late than none.

    >>> weigh_costs(0.06, 0.25), weigh_costs(0.12, 0.25)
    (1.0, 0.0)
    """
    if math.isinf(target):
        return 1.0
    return 1.0 - estimate_lateness(NOISE_FACTOR * usual_gap, target)


def estimate_longest_gap(
    stream: StreamRequirements, slowdown: float, requests: int, pending_tokens: float
) -> float:
    """Return the expected longest gap in seconds between events of a stream on an engine.

    ``slowdown`` is the lasting one. Prompts that are pending now are prefilled before the first
    event of a new stream; they stand for those that come later.
    """
    decode = stream.event_seconds + stream.event_seconds_per_request * requests
    prefill = max(stream.usual_prefill_seconds, _estimate_prefill(stream, pending_tokens))
    return slowdown * (decode + prefill)


def estimate_pause_cost(
    stream: StreamRequirements,
    slowdown: float,
    requests: int,
    pending_tokens: float,
    prefill_tokens: float,
    *,
    is_slowed: bool = False,
) -> float:
    """Return what late gaps of a stream and of those beside it cost, as seconds of waiting.

    ``slowdown`` is the lasting one; with ``is_slowed``, neighbours slow the engine now.
    """
    if not stream.cost_weight:
        return 0.0
    decode = stream.event_seconds + stream.event_seconds_per_request * requests
    queued = _estimate_prefill(stream, pending_tokens)
    gap = estimate_longest_gap(stream, slowdown, requests, pending_tokens)
    noise_share = 1.0 if is_slowed else stream.noise_share
    cost = LATE_GAP_COST_SECONDS * _weigh_noise(gap, stream.target_gap, noise_share)
    if requests:
        added_prefill = _estimate_prefill(stream, pending_tokens + prefill_tokens) - queued
        before = slowdown * (decode + queued)
        after, target = before + slowdown * added_prefill, stream.strictest_gap
        if added_prefill and NOISE_FACTOR * after > SAFE_SHARE * target:
            noise_share = 1.0 if is_slowed else NOISE_SHARE
            harm = _weigh_noise(after, target, noise_share)
            harm -= _weigh_noise(before, target, noise_share)
            cost += HARM_COST_SECONDS * requests * harm
    return stream.cost_weight * cost


def _estimate_prefill(stream: StreamRequirements, tokens: float) -> float:
    return min(stream.event_prefill_seconds, tokens / stream.tokens_per_second) if tokens else 0.0


def _weigh_noise(gap: float, target: float, noise_share: float) -> float:
    if NOISE_FACTOR * gap <= SAFE_SHARE * target:
        return 0.0
    slowed = noise_share * estimate_lateness(NOISE_FACTOR * gap, target)
    if gap <= SAFE_SHARE * target:
        return slowed
    return slowed + (1.0 - noise_share) * estimate_lateness(gap, target)
