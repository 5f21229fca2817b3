"""Compute the expected time to the first token at each engine, and choose the soonest."""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId
from turmericproxy.traffic.requests import PromptPart

# Tokens a second that an engine prefills, until its own pace has been seen; typical for a 70B
# model on current accelerators.
DEFAULT_TOKENS_PER_SECOND = 40_000.0
# Seconds of one decoding step; a new request waits for the running step to end.
STEP_SECONDS = 0.005
# Added step time for each running request, in seconds.
STEP_SECONDS_PER_REQUEST = 0.00002
# Mean seconds until a running request gives its memory back.
TURNOVER_SECONDS = 0.4
# Expected seconds lost when an upstream fails a request: one more attempt.
FAILURE_SECONDS = 1.0
# A hop to another failure domain and back, in seconds.
FAR_SECONDS = 0.002
# Advantage of a prompt's home engine over equals, in seconds, so that hosts agree.
HOME_SECONDS = 0.008
# Share of the memory that running requests may take before new ones have to wait.
USABLE_MEMORY = 0.92
# Seconds of a fetch that don't depend on its size.
FETCH_SECONDS = 0.002
# A transfer between failure domains takes twice as long.
FAR_TRANSFER = 2.0


@dataclass(frozen=True, slots=True)
class FetchSource:
    """Name a place that holds parts of a prompt beyond the engine's own."""

    address: str
    held_parts: int
    seconds_per_token: float


@dataclass(frozen=True, slots=True)
class PromptNeed:
    """Hold what a prompt asks of an engine; ``home_key`` is shared by prompts with one prefix."""

    prompt_tokens: int
    output_tokens: int
    shared: tuple[PromptPart, ...]
    home_key: str


@dataclass(frozen=True, slots=True)
class EngineView:
    """Hold what a host knows of one engine at the moment of a choice.

    ``pending_prefill_tokens`` are those of requests without a first token,
    ``reserved_tokens`` the memory of all running requests. ``changing_seconds`` is how long a
    change of weights still takes.
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
    changing_seconds: float = 0.0
    source: FetchSource | None = None


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """Hold an engine with the terms of its score, in seconds."""

    view: EngineView
    queue_seconds: float
    prefill_seconds: float
    memory_seconds: float
    other_seconds: float
    pending_prefill_tokens: int
    fetch_from: str | None

    @property
    def expected_seconds(self) -> float:
        """Return the expected time to the first token."""
        return self.queue_seconds + self.prefill_seconds + self.memory_seconds + self.other_seconds


def count_tokens(parts: Sequence[PromptPart]) -> int:
    """Return the tokens of some parts."""
    return sum(part.tokens for part in parts)


def score_engine(view: EngineView, need: PromptNeed, known_parts: int = 0) -> EngineCandidate:
    """Return an engine as a candidate, with a fetch if another place holds more of the prompt.

    ``known_parts`` are held by some engine; to read them again takes time from other requests.
    """
    own = count_tokens(need.shared[: view.cached_parts])
    unread = max(1, need.prompt_tokens - own)
    prefill_seconds = unread / view.tokens_per_second
    fetch_from = None
    source = view.source
    if source and source.held_parts > view.cached_parts:
        moved = count_tokens(need.shared[view.cached_parts : source.held_parts])
        unread = max(1, unread - moved)
        prefill_seconds = unread / view.tokens_per_second
        prefill_seconds += FETCH_SECONDS + moved * source.seconds_per_token
        fetch_from = source.address
    present = max(view.cached_parts, source.held_parts if source else 0)
    repeated = count_tokens(need.shared[present:known_parts])
    return EngineCandidate(
        view=view,
        queue_seconds=view.pending_prefill_tokens / view.tokens_per_second,
        prefill_seconds=prefill_seconds,
        memory_seconds=_wait_for_memory(view, need, own),
        other_seconds=_sum_other_terms(view, need) + repeated / view.tokens_per_second,
        pending_prefill_tokens=unread,
        fetch_from=fetch_from,
    )


def choose_engine(
    candidates: Sequence[EngineCandidate], need: PromptNeed, known_parts: int = 0
) -> EngineCandidate:
    """Return the candidate with the soonest first token.

    Near ties go to the prompt's home, as long as no engine holds any of its parts.
    """
    if known_parts:
        return min(candidates, key=lambda c: c.expected_seconds)
    home = max(candidates, key=lambda c: _weigh(need.home_key, c.view.instance))
    return min(
        candidates,
        key=lambda c: c.expected_seconds - (HOME_SECONDS if c is home else 0.0),
    )


def _weigh(home_key: str, instance: InstanceId) -> int:
    return zlib.crc32(f"{home_key}/{instance}".encode())


def _wait_for_memory(view: EngineView, need: PromptNeed, own: int) -> float:
    # Parts that the engine holds anyway take no more memory for one more request.
    wanted = need.prompt_tokens - own + need.output_tokens
    missing = view.reserved_tokens + wanted - USABLE_MEMORY * view.capacity_tokens
    if missing <= 0:
        return 0.0
    return TURNOVER_SECONDS * missing / max(1.0, min(view.reserved_tokens, view.capacity_tokens))


def _sum_other_terms(view: EngineView, need: PromptNeed) -> float:
    seconds = STEP_SECONDS + view.requests * STEP_SECONDS_PER_REQUEST * max(1, need.output_tokens)
    seconds += view.failure_share * FAILURE_SECONDS
    seconds += view.changing_seconds
    return seconds if view.is_local else seconds + FAR_SECONDS
