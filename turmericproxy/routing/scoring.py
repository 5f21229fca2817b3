"""Estimate the time to the first token of a request at an engine."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.routing.views import Candidate, EngineView

MIN_CACHED_PROBABILITY = 0.5  # a block at least this likely is counted as cached
NO_IMPORT_PROBABILITY = 0.9  # a block at least this likely is not imported


@dataclass(frozen=True)
class KeptChain:
    """Mark which blocks of a request the kept store holds, with the import cost in seconds."""

    is_kept: tuple[bool, ...] = ()
    seconds_per_call: float = 0.0
    seconds_per_block: float = 0.0


NOTHING_KEPT = KeptChain()


def estimate_uncached_tokens(prompt_tokens: int, hit_probabilities: Sequence[float]) -> int:
    """Return the prompt tokens that an engine is expected to compute.

    ``hit_probabilities`` holds for each block the probability that it and all earlier blocks are
    cached.

    >>> estimate_uncached_tokens(5000, [1.0, 0.5])
    2000
    """
    return max(1, round(prompt_tokens - TOKENS_PER_BLOCK * sum(hit_probabilities)))


def find_import_range(hit_probabilities: Sequence[float], kept: KeptChain) -> range:
    """Return the indexes of the kept blocks from the first one that may not be cached.

    >>> find_import_range([1.0, 0.5], KeptChain((True, True, True, False)))
    range(1, 3)
    """
    first = 0
    while first < len(hit_probabilities) and hit_probabilities[first] >= NO_IMPORT_PROBABILITY:
        first += 1
    last = first
    while last < len(kept.is_kept) and kept.is_kept[last]:
        last += 1
    return range(first, last)


def score_engine(view: EngineView, prompt_tokens: int, kept: KeptChain = NOTHING_KEPT) -> Candidate:
    """Return the engine as a candidate, with an import if that is faster than recomputing."""
    without_import = _score(view, prompt_tokens, view.hit_probabilities, range(0), 0.0)
    imports = find_import_range(view.hit_probabilities, kept)
    if not imports:
        return without_import
    seconds = kept.seconds_per_call + kept.seconds_per_block * len(imports)
    hit_probabilities = (1.0,) * imports.stop + view.hit_probabilities[imports.stop :]
    with_import = _score(view, prompt_tokens, hit_probabilities, imports, seconds)
    return min(without_import, with_import, key=lambda candidate: candidate.expected_seconds)


def _score(
    view: EngineView,
    prompt_tokens: int,
    hit_probabilities: Sequence[float],
    imports: range,
    import_seconds: float,
) -> Candidate:
    uncached_tokens = estimate_uncached_tokens(prompt_tokens, hit_probabilities)
    tokens_ahead = view.own_tokens + view.other_tokens
    return Candidate(
        view=view,
        queue_seconds=tokens_ahead / view.tokens_per_second,
        import_seconds=import_seconds,
        compute_seconds=uncached_tokens / view.tokens_per_second,
        cached_blocks=sum(
            probability >= MIN_CACHED_PROBABILITY for probability in hit_probabilities
        ),
        uncached_tokens=uncached_tokens,
        imports=imports,
    )
