"""Estimate how fast an engine computes prompts."""

from dataclasses import dataclass

PRIOR_TOKENS_PER_SECOND = 20_000.0
PRIOR_OVERHEAD_SECONDS = 0.0
PRIOR_WEIGHT = 1.0
PRIOR_SAMPLE_TOKENS = 8_000.0
SAMPLE_DECAY = 0.97
MIN_TOKENS_PER_SECOND = 500.0
MAX_TOKENS_PER_SECOND = 10_000_000.0
MAX_OVERHEAD_SECONDS = 0.5


@dataclass(frozen=True)
class PrefillSpeed:
    """Fit seconds to the first token against computed tokens by weighted least squares.

    The fields are the weighted sums of the fit. The weight of a sample decays with each later
    sample. Two assumed samples, at 0 and at ``PRIOR_SAMPLE_TOKENS`` tokens, form the initial fit.
    """

    weight: float = 2 * PRIOR_WEIGHT
    tokens: float = PRIOR_WEIGHT * PRIOR_SAMPLE_TOKENS
    seconds: float = PRIOR_WEIGHT * (
        2 * PRIOR_OVERHEAD_SECONDS + PRIOR_SAMPLE_TOKENS / PRIOR_TOKENS_PER_SECOND
    )
    tokens_squared: float = PRIOR_WEIGHT * PRIOR_SAMPLE_TOKENS**2
    tokens_seconds: float = (
        PRIOR_WEIGHT
        * PRIOR_SAMPLE_TOKENS
        * (PRIOR_OVERHEAD_SECONDS + PRIOR_SAMPLE_TOKENS / PRIOR_TOKENS_PER_SECOND)
    )

    @property
    def tokens_per_second(self) -> float:
        """Return the prompt tokens that the engine computes per second."""
        variance = self.weight * self.tokens_squared - self.tokens**2
        covariance = self.weight * self.tokens_seconds - self.tokens * self.seconds
        if covariance <= 0:
            return MAX_TOKENS_PER_SECOND
        return min(MAX_TOKENS_PER_SECOND, max(MIN_TOKENS_PER_SECOND, variance / covariance))

    @property
    def overhead_seconds(self) -> float:
        """Return the seconds to the first token of a fully cached prompt."""
        compute_seconds = self.tokens / self.tokens_per_second
        return min(MAX_OVERHEAD_SECONDS, max(0.0, (self.seconds - compute_seconds) / self.weight))


def update_speed(
    speed: PrefillSpeed, uncached_tokens: int, tokens_ahead: float, seconds: float
) -> PrefillSpeed:
    """Return the speed after a first token arrived ``seconds`` after its dispatch.

    ``uncached_tokens`` is exact, while ``tokens_ahead``, the tokens of earlier requests, is an
    estimate, so the sample is weighted by the exact fraction of the work.
    """
    work_tokens = uncached_tokens + tokens_ahead
    weight = uncached_tokens / max(1.0, work_tokens)
    return PrefillSpeed(
        SAMPLE_DECAY * speed.weight + weight,
        SAMPLE_DECAY * speed.tokens + weight * work_tokens,
        SAMPLE_DECAY * speed.seconds + weight * seconds,
        SAMPLE_DECAY * speed.tokens_squared + weight * work_tokens**2,
        SAMPLE_DECAY * speed.tokens_seconds + weight * work_tokens * seconds,
    )
