"""Derive the rate that is in force from the limits that an upstream named in its answers."""

from dataclasses import dataclass, replace

# A higher limit, in requests a second, is none for the hosts of a fleet.
MAX_LIMIT = 10_000.0
# Rate for an upstream that takes less, in requests a second: only its answers tell when that ends.
TRIAL_RATE = 0.1
# Lowest rate from which a raised or ended limit grows, in requests a second.
MIN_GROWING_RATE = 0.5
# Time in which the rate doubles after a limit was raised or has ended.
DOUBLING_SECONDS = 1.0
# Time from the end of a limit to unlimited requests: six doublings.
RELEASE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold what one answer of an upstream tells about its limit.

    ``per_second`` is ``None`` if the answer names no limit. ``sent_at`` is when its request was
    sent, in seconds: answers overtake each other, so their order of arrival doesn't matter.
    """

    started_at: int
    per_second: float | None
    sent_at: float
    is_unreadable: bool = False


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Hold the newest limit of one start of an upstream.

    ``started_at`` is the start in Unix milliseconds; other times are in seconds. From
    ``changed_at`` on, the rate goes from ``initial_rate`` to ``per_second``, or is no longer
    limited if that is ``None``.
    """

    started_at: int
    per_second: float | None
    sent_at: float
    changed_at: float
    initial_rate: float

    def is_over(self, now: float) -> bool:
        """Return whether requests are no longer limited."""
        return self.per_second is None and now >= self.changed_at + RELEASE_SECONDS

    def compute_rate(self, now: float) -> float:
        """Return the requests a second that all hosts together may send now.

        A lower limit applies at once; after its end or a raise the rate doubles each second, since
        the hosts' pending requests would otherwise arrive at once.
        """
        start = max(MIN_GROWING_RATE, self.initial_rate)
        seconds = min(RELEASE_SECONDS, max(0.0, now - self.changed_at))
        growing = start * 2.0 ** (seconds / DOUBLING_SECONDS)
        if self.per_second is None:
            return growing
        return max(TRIAL_RATE, min(self.per_second, growing))


def apply_observation(
    known: NamedLimit | None, observation: Observation, now: float
) -> NamedLimit | None:
    """Return the limit after one more answer, ``None`` if there is none.

    >>> limit = apply_observation(None, Observation(7, 2.0, 1.0), 1.1)
    >>> apply_observation(limit, Observation(7, 9.0, 0.5), 1.2) is limit  # an older answer
    True
    """
    if known is not None and known.started_at > observation.started_at:
        return known
    if known is None or known.started_at < observation.started_at:
        per_second = _read_rate(observation, None)
        if per_second is None:
            return None
        return NamedLimit(observation.started_at, per_second, observation.sent_at, now, per_second)
    if observation.sent_at < known.sent_at:
        return known
    per_second = _read_rate(observation, known.per_second)
    if per_second == known.per_second:
        return replace(known, sent_at=observation.sent_at)
    rate = known.compute_rate(now)
    initial_rate = rate if per_second is None else min(rate, per_second)
    return NamedLimit(known.started_at, per_second, observation.sent_at, now, initial_rate)


def _read_rate(observation: Observation, known: float | None) -> float | None:
    if observation.is_unreadable:
        return known
    if observation.per_second is None or observation.per_second > MAX_LIMIT:
        return None
    return observation.per_second
