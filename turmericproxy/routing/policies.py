"""Select a candidate engine for a request by the configured routing policy."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.routing.requests import RoutingRequest
from turmericproxy.routing.views import Candidate

TIE_SECONDS = 0.005
TIE_FRACTION = 0.05
RECOMPUTE_WEIGHT = 1.0


@dataclass(frozen=True)
class ExpectedTime:
    """Select the engine with the shortest expected time to the first token.

    Time spent on computing blocks that another engine holds is added again, multiplied by
    ``recompute_weight``, since it delays later requests. Engines whose costs are within
    ``tie_seconds`` or ``tie_fraction`` of the lowest cost count as equal, and all hosts select
    the same one of them by the hash of the prompt's last block.
    """

    recompute_weight: float = RECOMPUTE_WEIGHT
    tie_seconds: float = TIE_SECONDS
    tie_fraction: float = TIE_FRACTION


@dataclass(frozen=True)
class RoundRobin:
    """Select the engines in turn."""


@dataclass(frozen=True)
class LeastLoaded:
    """Select the engine with the fewest requests."""


@dataclass(frozen=True)
class HashFirst:
    """Select the engine by the hash of the prompt's first block."""


Policy = ExpectedTime | RoundRobin | LeastLoaded | HashFirst


def create_policy(name: str) -> Policy:
    """Return the policy with this name in the settings."""
    policies: dict[str, Policy] = {
        "expected_time": ExpectedTime(),
        "round_robin": RoundRobin(),
        "least_loaded": LeastLoaded(),
        "hash_first": HashFirst(),
    }
    return policies[name]


@singledispatch
def select(
    policy: Policy, candidates: Sequence[Candidate], request: RoutingRequest, choice_number: int
) -> Candidate:
    """Return the candidate selected by the policy; ``choice_number`` counts the host's choices."""
    raise TypeError(f"no selection for the policy {type(policy).__name__}")


@select.register
def _(
    policy: ExpectedTime,
    candidates: Sequence[Candidate],
    request: RoutingRequest,
    choice_number: int,
) -> Candidate:
    most_cached = max(candidate.cached_blocks for candidate in candidates)
    costs = [_compute_cost(policy, candidate, most_cached) for candidate in candidates]
    limit = max(min(costs) + policy.tie_seconds, min(costs) * (1 + policy.tie_fraction))
    tied = [c for c, cost in zip(candidates, costs, strict=True) if cost <= limit]
    # Concurrent imports of the same blocks by several hosts are spread over the engines.
    is_spread = not request.blocks or all(candidate.imports for candidate in tied)
    key = request.request_id if is_spread else request.blocks[-1]
    return max(tied, key=lambda candidate: compute_rendezvous_weight(key, candidate.view.engine))


def _compute_cost(policy: ExpectedTime, candidate: Candidate, most_cached: int) -> float:
    """Return the expected seconds plus the weighted seconds of recomputing blocks held elsewhere.

    ``most_cached`` is the largest number of cached blocks among the candidates.
    """
    recomputed_tokens = TOKENS_PER_BLOCK * (most_cached - candidate.cached_blocks)
    recompute_seconds = recomputed_tokens / candidate.view.tokens_per_second
    return candidate.expected_seconds + policy.recompute_weight * recompute_seconds


@select.register
def _(
    policy: RoundRobin,
    candidates: Sequence[Candidate],
    request: RoutingRequest,
    choice_number: int,
) -> Candidate:
    ordered = sorted(candidates, key=lambda candidate: candidate.view.engine)
    return ordered[choice_number % len(ordered)]


@select.register
def _(
    policy: LeastLoaded,
    candidates: Sequence[Candidate],
    request: RoutingRequest,
    choice_number: int,
) -> Candidate:
    key = request.request_id
    return min(
        candidates,
        key=lambda candidate: (
            candidate.view.requests,
            compute_rendezvous_weight(key, candidate.view.engine),
        ),
    )


@select.register
def _(
    policy: HashFirst, candidates: Sequence[Candidate], request: RoutingRequest, choice_number: int
) -> Candidate:
    key = request.blocks[0] if request.blocks else request.account
    return max(
        candidates, key=lambda candidate: compute_rendezvous_weight(key, candidate.view.engine)
    )
