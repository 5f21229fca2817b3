"""Compute the expected time to the first token of a request at an engine."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.routing.views import Candidate, EngineView

PRESENT = 0.5
SURELY_PRESENT = 0.9


@dataclass(frozen=True)
class KeptChain:
    """Say which blocks of a request the store holds, and what an import costs in seconds."""

    is_kept: tuple[bool, ...] = ()
    seconds_per_call: float = 0.0
    seconds_per_block: float = 0.0


NOTHING_KEPT = KeptChain()


def estimate_missing_tokens(prompt_tokens: int, chances: Sequence[float]) -> int:
    """Return the prompt tokens that an engine is expected to compute.

    ``chances`` holds for each block the chance that it and all before it are cached.

    >>> estimate_missing_tokens(5000, [1.0, 0.5])
    2000
    """
    return max(1, round(prompt_tokens - TOKENS_PER_BLOCK * sum(chances)))


def find_import(chances: Sequence[float], kept: KeptChain) -> range:
    """Return the places of the blocks to import: from the first doubtful one, while kept.

    >>> find_import([1.0, 0.5], KeptChain((True, True, True, False)))
    range(1, 3)
    """
    first = 0
    while first < len(chances) and chances[first] >= SURELY_PRESENT:
        first += 1
    last = first
    while last < len(kept.is_kept) and kept.is_kept[last]:
        last += 1
    return range(first, last)


def score_engine(view: EngineView, prompt_tokens: int, kept: KeptChain = NOTHING_KEPT) -> Candidate:
    """Return the engine as a candidate, with an import if that is sooner than recomputing."""
    plain = _score(view, prompt_tokens, view.chances, range(0), 0.0)
    places = find_import(view.chances, kept)
    if not places:
        return plain
    seconds = kept.seconds_per_call + kept.seconds_per_block * len(places)
    chances = (1.0,) * places.stop + view.chances[places.stop :]
    imported = _score(view, prompt_tokens, chances, places, seconds)
    return min(plain, imported, key=lambda candidate: candidate.expected_seconds)


def _score(
    view: EngineView,
    prompt_tokens: int,
    chances: Sequence[float],
    imports: range,
    import_seconds: float,
) -> Candidate:
    missing = estimate_missing_tokens(prompt_tokens, chances)
    ahead = view.own_tokens + view.other_tokens
    return Candidate(
        view=view,
        queue_seconds=ahead / view.tokens_per_second,
        import_seconds=import_seconds,
        compute_seconds=missing / view.tokens_per_second,
        cached_blocks=sum(chance >= PRESENT for chance in chances),
        missing_tokens=missing,
        imports=imports,
    )
