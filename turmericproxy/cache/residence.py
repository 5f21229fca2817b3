"""Estimate how long an engine keeps an unused block."""

from dataclasses import dataclass, replace

INITIAL_RESIDENCE_SECONDS = 30.0
SMOOTHING = 0.1
MIN_RESIDENCE_SECONDS = 0.2
# The presence falls from 1 to 0 within this fraction of the estimate below and above it.
RELATIVE_SPREAD = 0.2


@dataclass(frozen=True)
class Residence:
    """Hold the estimated time from the last use of a block to its eviction, in seconds."""

    seconds: float = INITIAL_RESIDENCE_SECONDS

    def estimate_presence(self, age: float) -> float:
        """Return the probability that a block last used ``age`` seconds ago is still cached.

        >>> Residence(10.0).estimate_presence(8.0), Residence(10.0).estimate_presence(10.0)
        (1.0, 0.5)
        """
        relative_distance = (self.seconds - age) / (2 * RELATIVE_SPREAD * self.seconds)
        return max(0.0, min(1.0, 0.5 + relative_distance))


def update_from_eviction(residence: Residence, age: float) -> Residence:
    """Return the estimate updated with the eviction of a block ``age`` seconds after its use."""
    seconds = residence.seconds + SMOOTHING * (age - residence.seconds)
    return replace(residence, seconds=max(MIN_RESIDENCE_SECONDS, seconds))


def update_from_lookup(residence: Residence, age: float, was_cached: bool) -> Residence:
    """Return the estimate updated with a cache hit or miss for a block of the given age.

    A hit shows only that the residence time is longer than the age, a miss that it is shorter, so
    the estimate changes only if it contradicts the result.
    """
    if was_cached == (residence.seconds > age):
        return residence
    return update_from_eviction(residence, age)
