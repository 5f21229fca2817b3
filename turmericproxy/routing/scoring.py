"""Compute the expected time to the first token of a request at an engine."""

from collections.abc import Sequence

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.routing.views import Candidate, EngineView

PRESENT = 0.5


def estimate_missing_tokens(prompt_tokens: int, chances: Sequence[float]) -> int:
    """Return the prompt tokens that an engine is expected to compute.

    ``chances`` holds for each block the chance that it and all before it are cached.

    >>> estimate_missing_tokens(5000, [1.0, 0.5])
    2000
    """
    return max(1, round(prompt_tokens - TOKENS_PER_BLOCK * sum(chances)))


def score_engine(view: EngineView, prompt_tokens: int) -> Candidate:
    """Return the engine as a candidate, with the terms of its expected time."""
    missing = estimate_missing_tokens(prompt_tokens, view.chances)
    ahead = view.own_tokens + view.other_tokens
    return Candidate(
        view=view,
        queue_seconds=ahead / view.tokens_per_second,
        compute_seconds=missing / view.tokens_per_second,
        cached_blocks=sum(chance >= PRESENT for chance in view.chances),
        missing_tokens=missing,
    )
