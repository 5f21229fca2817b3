"""Estimate the time to the first token at each engine and choose the engine with the lowest.

Views and candidates are named tuples: each selection creates one of each engine, and other classes
take several times as long to create.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.pauses import StreamRequirements, estimate_pause_cost
from turmericproxy.traffic.requests import PromptPart

# Prefill rate assumed for an engine until its own rate is known; typical for a 70B model on current
# accelerators.
DEFAULT_TOKENS_PER_SECOND = 40_000.0
# Duration of one decode step; a new request waits for the running step to end.
DECODE_STEP_SECONDS = 0.005
# Increase of the decode step's duration for each running request.
DECODE_STEP_SECONDS_PER_REQUEST = 0.00002
# Mean time until a running request releases its memory.
MEMORY_RELEASE_SECONDS = 0.4
# Expected delay when an upstream fails a request: one more attempt.
FAILURE_COST_SECONDS = 1.0
# Round-trip time to another failure domain.
CROSS_DOMAIN_RTT_SECONDS = 0.002
# Score advantage of a prompt's preferred engine, so that all hosts choose the same one of several
# nearly equal engines.
AFFINITY_BONUS_SECONDS = 0.008
# Share of an engine's memory that running requests may use before new ones have to wait.
USABLE_MEMORY_SHARE = 0.92
# Part of a fetch's duration that doesn't depend on its size.
FETCH_OVERHEAD_SECONDS = 0.002
# Transfers between failure domains take this many times as long as local ones.
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
# Age of what a host knows of the choices of others: half an interval of the batches and the way.
# As many requests as the service gets in it are spread over as many of the best engines.
UNSEEN_SECONDS = 0.03
# Least width of that spread: one engine that is ahead of the others by a few milliseconds must not
# get all requests of these 30 ms.
SPREAD_SECONDS = 0.005
# Weight of the queue of an engine where engines report their speed. The queue is longer than known,
# most of all at the engines that all hosts prefer.
QUEUE_WEIGHT = 3.0
# The same for shared parts that an engine has to compute again: they delay the requests that come
# after them as well, and take the place of other cached parts.
RECOMPUTATION_WEIGHT = 3.0
# Requests below the number of slots from which a wait for a slot is expected, since the known
# number of running requests is old.
SLOT_MARGIN = 6
# An engine counts as slowed by neighbours if its slowdown exceeds the lasting one by this factor.
SLOWED_FACTOR = 1.2


@dataclass(frozen=True, slots=True)
class FetchSource:
    """Describe an engine or kept store from which parts of a prompt can be fetched."""

    address: str
    held_parts: int
    seconds_per_token: float


@dataclass(frozen=True, slots=True)
class PromptRequirements:
    """Describe the resources that a prompt needs from an engine.

    Prompts with the same shared prefix have the same ``affinity_key``. ``stream`` is set if engines
    of the service report their speed.
    """

    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[PromptPart, ...]
    affinity_key: str
    stream: StreamRequirements | None = None


class EngineView(NamedTuple):
    """Describe the state of one engine, as known to this host, when a request is placed.

    ``pending_prefill_tokens`` counts the prompt tokens of requests without a first token,
    ``reserved_tokens`` is the memory of all running requests. ``weights_delay_seconds`` is the time
    until the engine has loaded new weights, plus the penalty for older weights. ``slowdown`` is the
    expected one and ``lasting_slowdown`` that without momentary load of the machine; the default
    applies where no engine reports its speed.
    """

    instance: InstanceId
    address: str
    domain: str
    is_local: bool
    version: int
    requests: int
    pending_prefill_tokens: float
    reserved_tokens: float
    capacity_tokens: int
    cached_parts: int
    tokens_per_second: float
    failure_share: float
    weights_delay_seconds: float = 0.0
    source: FetchSource | None = None
    slowdown: float = 1.0
    lasting_slowdown: float = 1.0


class EngineCandidate(NamedTuple):
    """Hold an engine and the terms of its score, in seconds.

    ``pause_cost_seconds`` is what late gaps between events cost, of the request and of others.
    """

    view: EngineView
    queue_seconds: float
    prefill_seconds: float
    memory_seconds: float
    other_seconds: float
    pending_prefill_tokens: int
    fetch_from: str | None
    pause_cost_seconds: float = 0.0

    @property
    def score(self) -> float:
        """Return the figure by which engines are compared, in seconds."""
        return self.expected_seconds + self.pause_cost_seconds

    @property
    def expected_seconds(self) -> float:
        """Return the expected time to the first token."""
        return self.queue_seconds + self.prefill_seconds + self.memory_seconds + self.other_seconds


def count_tokens(parts: Sequence[PromptPart]) -> int:
    """Return the total number of tokens of the parts."""
    return sum(part.tokens for part in parts)


def score_engine(
    view: EngineView, requirements: PromptRequirements, max_cached_parts: int = 0
) -> EngineCandidate:
    """Return the score of an engine, including a fetch if the source holds more of the prompt.

    ``max_cached_parts`` is the largest number of leading parts that any engine has cached. Parts
    among them that this engine has to compute again are added to the score, since computing them
    delays other requests.
    """
    cached_tokens = count_tokens(requirements.shared_parts[: view.cached_parts])
    prefill_tokens = max(1, requirements.prompt_tokens - cached_tokens)
    prefill_seconds = prefill_tokens / view.tokens_per_second
    fetch_from = None
    source = view.source
    if source and source.held_parts > view.cached_parts:
        fetched_tokens = count_tokens(
            requirements.shared_parts[view.cached_parts : source.held_parts]
        )
        prefill_tokens = max(1, prefill_tokens - fetched_tokens)
        prefill_seconds = prefill_tokens / view.tokens_per_second
        prefill_seconds += FETCH_OVERHEAD_SECONDS + fetched_tokens * source.seconds_per_token
        fetch_from = source.address
    available_parts = max(view.cached_parts, source.held_parts if source else 0)
    recomputed_tokens = count_tokens(requirements.shared_parts[available_parts:max_cached_parts])
    return EngineCandidate(
        view=view,
        queue_seconds=view.pending_prefill_tokens / view.tokens_per_second,
        prefill_seconds=prefill_seconds,
        memory_seconds=_estimate_memory_wait(view, requirements, cached_tokens),
        other_seconds=_estimate_other_delays(view, requirements)
        + recomputed_tokens / view.tokens_per_second,
        pending_prefill_tokens=prefill_tokens,
        fetch_from=fetch_from,
        pause_cost_seconds=(
            _estimate_pause_cost(view, requirements.stream, prefill_tokens)
            + (QUEUE_WEIGHT - 1.0) * view.pending_prefill_tokens / view.tokens_per_second
            + (RECOMPUTATION_WEIGHT - 1.0) * recomputed_tokens / view.tokens_per_second
            if requirements.stream
            else 0.0
        ),
    )


def choose_engine(
    candidates: Sequence[EngineCandidate],
    requirements: PromptRequirements,
    max_cached_parts: int = 0,
) -> EngineCandidate:
    """Return the candidate with the lowest expected time to the first token.

    While no engine has any part of the prompt cached, near ties go to the preferred engine, which
    rendezvous hashing of the affinity key selects.
    """
    if requirements.stream:
        return _choose_spread(candidates, requirements, requirements.stream, max_cached_parts)
    if max_cached_parts:
        return min(candidates, key=lambda c: c.expected_seconds)
    preferred = _find_preferred(candidates, requirements)
    return min(
        candidates,
        key=lambda c: c.expected_seconds - (AFFINITY_BONUS_SECONDS if c is preferred else 0.0),
    )


def _find_preferred(
    candidates: Sequence[EngineCandidate], requirements: PromptRequirements
) -> EngineCandidate:
    """Return the engine that all hosts prefer for prompts with the same shared prefix."""
    return max(
        candidates,
        key=lambda c: _compute_rendezvous_weight(requirements.affinity_key, c.view.instance),
    )


def _choose_spread(
    candidates: Sequence[EngineCandidate],
    requirements: PromptRequirements,
    stream: StreamRequirements,
    max_cached_parts: int,
) -> EngineCandidate:
    """Return one of the best candidates; each request adds its own small time to each engine's."""
    preferred = None if max_cached_parts else _find_preferred(candidates, requirements)
    scores = [c.score - (AFFINITY_BONUS_SECONDS if c is preferred else 0.0) for c in candidates]
    running = sum(candidate.view.requests for candidate in candidates)
    unseen = int(running / stream.stream_seconds * UNSEEN_SECONDS)
    return choose_near(candidates, scores, stream.spread_key, unseen)


def choose_near(
    candidates: Sequence[EngineCandidate], scores: Sequence[float], spread_key: str, unseen: int
) -> EngineCandidate:
    """Return a good candidate by hash of the request and the engine.

    Each request adds a time of its own to each score, so that choices made at once differ. It is at
    most ``SPREAD_SECONDS`` longer than the distance from the best score to that after ``unseen``
    others; with none unseen, the best candidate is returned.
    """
    ordered = sorted(scores)
    width = ordered[min(unseen, len(ordered) - 1)] - ordered[0]
    if unseen:
        width += SPREAD_SECONDS
    limit = ordered[0] + width
    scale = width / 2**32
    near = [(s, c) for s, c in zip(scores, candidates, strict=True) if s <= limit]
    return min(
        near,
        key=lambda n: n[0] + scale * _compute_rendezvous_weight(spread_key, n[1].view.instance),
    )[1]


def _estimate_pause_cost(
    view: EngineView, stream: StreamRequirements, prefill_tokens: int
) -> float:
    return estimate_pause_cost(
        stream,
        view.lasting_slowdown,
        view.requests,
        view.pending_prefill_tokens,
        prefill_tokens,
        is_slowed=view.slowdown > SLOWED_FACTOR * view.lasting_slowdown,
    )


def _compute_rendezvous_weight(affinity_key: str, instance: InstanceId) -> int:
    return zlib.crc32(f"{affinity_key}/{instance}".encode())


def _estimate_memory_wait(
    view: EngineView, requirements: PromptRequirements, cached_tokens: int
) -> float:
    # Cached parts are shared between requests, so one more request needs no more memory for them.
    needed_tokens = requirements.prompt_tokens - cached_tokens + requirements.output_tokens
    excess_tokens = (
        view.reserved_tokens + needed_tokens - USABLE_MEMORY_SHARE * view.capacity_tokens
    )
    if excess_tokens <= 0:
        return 0.0
    return (
        MEMORY_RELEASE_SECONDS
        * excess_tokens
        / max(1.0, min(view.reserved_tokens, view.capacity_tokens))
    )


def _estimate_other_delays(view: EngineView, requirements: PromptRequirements) -> float:
    seconds = DECODE_STEP_SECONDS + view.requests * DECODE_STEP_SECONDS_PER_REQUEST * max(
        1, requirements.output_tokens
    )
    if stream := requirements.stream:
        # The first event needs as many steps as the later ones.
        seconds += stream.event_seconds - DECODE_STEP_SECONDS
        taken = view.requests + SLOT_MARGIN - stream.slots
        if taken >= 0:
            seconds += (taken + 1) / stream.slots * stream.stream_seconds
        seconds *= view.slowdown
    seconds += view.failure_share * FAILURE_COST_SECONDS
    seconds += view.weights_delay_seconds
    return seconds if view.is_local else seconds + CROSS_DOMAIN_RTT_SECONDS
