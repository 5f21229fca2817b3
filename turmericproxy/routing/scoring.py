"""Compute the expected time to the first token of a request at an engine."""

from collections.abc import Sequence

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.configuration import Engine
from turmericproxy.core import DomainName, EngineName
from turmericproxy.routing.candidates import Candidate
from turmericproxy.routing.engines import EngineState

PRESENT = 0.5


def estimate_missing_tokens(prompt_tokens: int, chances: Sequence[float]) -> int:
    """Return the prompt tokens that an engine is expected to compute.

    ``chances`` holds for each block the chance that it and all before it are cached.

    >>> estimate_missing_tokens(5000, [1.0, 0.5])
    2000
    """
    return max(1, round(prompt_tokens - TOKENS_PER_BLOCK * sum(chances)))


def score_engine(
    engine: Engine,
    state: EngineState,
    chances: Sequence[float],
    prompt_tokens: int,
    now: float,
) -> Candidate:
    """Return the engine as a candidate, with the terms of its expected time."""
    missing = estimate_missing_tokens(prompt_tokens, chances)
    ahead = state.count_own_tokens() + state.count_other_tokens(now)
    report = state.report
    return Candidate(
        engine=EngineName(engine.name),
        address=engine.address,
        domain=DomainName(engine.domain),
        queue_seconds=state.speed.estimate_seconds(ahead),
        compute_seconds=state.speed.estimate_seconds(missing),
        distance_seconds=state.distance,
        overhead_seconds=state.speed.overhead,
        cached_blocks=sum(chance >= PRESENT for chance in chances),
        missing_tokens=missing,
        requests=max(len(state.in_flight), report.running + report.queued if report else 0),
    )


def has_room(engine: Engine, state: EngineState, now: float) -> bool:
    """Return whether the host may keep one more request in flight at the engine."""
    slots = max(1, int(engine.slots * state.health.measure_share(now)))
    return len(state.in_flight) < slots
