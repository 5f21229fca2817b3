"""Learn how fast an engine computes prompts."""

from dataclasses import dataclass, replace

FIRST_TOKENS_PER_SECOND = 20_000.0
FIRST_OVERHEAD = 0.01
SMOOTHING = 0.2
SMOOTHING_DOWN = 0.04
SMALL_WORK_TOKENS = 300
LARGE_WORK_TOKENS = 1_000
LOWEST_TOKENS_PER_SECOND = 100.0


@dataclass(frozen=True)
class Speed:
    """Hold prompt tokens computed a second, and seconds that even a cached prompt takes."""

    tokens_per_second: float = FIRST_TOKENS_PER_SECOND
    overhead: float = FIRST_OVERHEAD

    def estimate_seconds(self, tokens: float) -> float:
        """Return the seconds that an engine needs for the tokens, without its overhead."""
        return tokens / self.tokens_per_second


def learn_first_piece(speed: Speed, missing: int, ahead: float, seconds: float) -> Speed:
    """Return the speed after a first piece came ``seconds`` after its dispatch.

    ``missing`` counts the tokens that the engine had to compute for the request and ``ahead``
    those of the requests before it, as far as they were known. Work that was not known of makes
    an engine seem slow, so a slower pace is learnt more slowly than a faster one.
    """
    work = missing + ahead
    if work <= SMALL_WORK_TOKENS:
        overhead = speed.overhead + SMOOTHING * (seconds - speed.overhead)
        return replace(speed, overhead=max(0.0, overhead))
    if missing < LARGE_WORK_TOKENS:
        return speed
    busy = max(seconds - speed.overhead, seconds * 0.1, 1e-4)
    observed = work / busy
    weight = (SMOOTHING if observed > speed.tokens_per_second else SMOOTHING_DOWN) * missing / work
    pace = speed.tokens_per_second ** (1 - weight) * observed**weight
    return replace(speed, tokens_per_second=max(LOWEST_TOKENS_PER_SECOND, pace))
