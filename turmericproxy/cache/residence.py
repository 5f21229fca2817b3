"""Learn how long an engine keeps a block that nobody uses."""

from dataclasses import dataclass, replace

FIRST_GUESS = 30.0
SMOOTHING = 0.1
SHORTEST = 0.2
SPREAD = 0.2


@dataclass(frozen=True)
class Residence:
    """Hold the expected time from the last use of a block to its eviction, in seconds."""

    seconds: float = FIRST_GUESS

    def estimate_presence(self, age: float) -> float:
        """Return the chance that a block last used ``age`` seconds ago is still cached.

        >>> Residence(10.0).estimate_presence(8.0), Residence(10.0).estimate_presence(10.0)
        (1.0, 0.5)
        """
        left = (self.seconds - age) / (2 * SPREAD * self.seconds)
        return max(0.0, min(1.0, 0.5 + left))


def learn_eviction(residence: Residence, age: float) -> Residence:
    """Return the residence after a block was evicted at ``age`` seconds."""
    seconds = residence.seconds + SMOOTHING * (age - residence.seconds)
    return replace(residence, seconds=max(SHORTEST, seconds))


def learn_lookup(residence: Residence, age: float, was_cached: bool) -> Residence:
    """Return the residence after a block of that age was found cached, or found missing.

    A hit says only that the residence is longer than the age, a miss that it is shorter.
    """
    if was_cached == (residence.seconds > age):
        return residence
    return learn_eviction(residence, age)
