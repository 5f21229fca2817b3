"""Learn how fast an engine computes prompts."""

from dataclasses import dataclass

FIRST_TOKENS_PER_SECOND = 20_000.0
FIRST_OVERHEAD = 0.0
FIRST_WEIGHT = 1.0
FIRST_WORK_TOKENS = 8_000.0
KEPT_SHARE = 0.97
LOWEST_TOKENS_PER_SECOND = 500.0
HIGHEST_TOKENS_PER_SECOND = 10_000_000.0
LONGEST_OVERHEAD = 0.5


@dataclass(frozen=True)
class Speed:
    """Hold a line through the latest requests: seconds to the first piece over tokens computed.

    The sums are weighted; older requests fade. The line starts through two assumed points.
    """

    weight: float = 2 * FIRST_WEIGHT
    tokens: float = FIRST_WEIGHT * FIRST_WORK_TOKENS
    seconds: float = FIRST_WEIGHT * (
        2 * FIRST_OVERHEAD + FIRST_WORK_TOKENS / FIRST_TOKENS_PER_SECOND
    )
    tokens_squared: float = FIRST_WEIGHT * FIRST_WORK_TOKENS**2
    tokens_seconds: float = (
        FIRST_WEIGHT
        * FIRST_WORK_TOKENS
        * (FIRST_OVERHEAD + FIRST_WORK_TOKENS / FIRST_TOKENS_PER_SECOND)
    )

    @property
    def tokens_per_second(self) -> float:
        """Return the prompt tokens that the engine computes a second."""
        spread = self.weight * self.tokens_squared - self.tokens**2
        joint = self.weight * self.tokens_seconds - self.tokens * self.seconds
        if joint <= 0:
            return HIGHEST_TOKENS_PER_SECOND
        return min(HIGHEST_TOKENS_PER_SECOND, max(LOWEST_TOKENS_PER_SECOND, spread / joint))

    @property
    def overhead(self) -> float:
        """Return the seconds that even a cached prompt takes."""
        computing = self.tokens / self.tokens_per_second
        return min(LONGEST_OVERHEAD, max(0.0, (self.seconds - computing) / self.weight))


def learn_first_piece(speed: Speed, missing: int, ahead: float, seconds: float) -> Speed:
    """Return the speed after a first piece came ``seconds`` after its dispatch.

    ``missing`` counts the tokens that the engine had to compute for the request and ``ahead``
    those of the requests before it, as far as they were known. The less of the work is surely
    known, the less the request counts.
    """
    work = missing + ahead
    weight = missing / max(1.0, work)
    return Speed(
        KEPT_SHARE * speed.weight + weight,
        KEPT_SHARE * speed.tokens + weight * work,
        KEPT_SHARE * speed.seconds + weight * seconds,
        KEPT_SHARE * speed.tokens_squared + weight * work**2,
        KEPT_SHARE * speed.tokens_seconds + weight * work * seconds,
    )
