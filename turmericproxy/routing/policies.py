"""Choose one of the candidates for a request, by the policy of the host."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.routing.requests import RoutingRequest
from turmericproxy.routing.views import Candidate

NEAR_SECONDS = 0.005
NEAR_SHARE = 0.05
WASTE_WEIGHT = 1.0


@dataclass(frozen=True)
class ExpectedTime:
    """Take the engine with the least expected time to the first token.

    Time spent on computing blocks that another engine holds counts ``waste_weight`` times more,
    since it delays the requests that come later. Among engines that differ by less than
    ``near_seconds`` or ``near_share``, all hosts agree on one by the hash of the prompt's last
    block.
    """

    waste_weight: float = WASTE_WEIGHT
    near_seconds: float = NEAR_SECONDS
    near_share: float = NEAR_SHARE


@dataclass(frozen=True)
class RoundRobin:
    """Take the engines in turn."""


@dataclass(frozen=True)
class LeastLoaded:
    """Take the engine with the fewest requests."""


@dataclass(frozen=True)
class HashFirst:
    """Take the engine given by the hash of the prompt's first block."""


Policy = ExpectedTime | RoundRobin | LeastLoaded | HashFirst


def create_policy(name: str) -> Policy:
    """Return the policy of that name in the settings."""
    policies: dict[str, Policy] = {
        "expected_time": ExpectedTime(),
        "round_robin": RoundRobin(),
        "least_loaded": LeastLoaded(),
        "hash_first": HashFirst(),
    }
    return policies[name]


@singledispatch
def select(
    policy: Policy, candidates: Sequence[Candidate], request: RoutingRequest, turn: int
) -> Candidate:
    """Return the candidate that the policy takes; ``turn`` counts the host's choices."""
    raise TypeError(f"no selection for {type(policy).__name__}")


@select.register
def _(
    policy: ExpectedTime, candidates: Sequence[Candidate], request: RoutingRequest, turn: int
) -> Candidate:
    most_cached = max(candidate.cached_blocks for candidate in candidates)
    costs = [_compute_cost(policy, candidate, most_cached) for candidate in candidates]
    limit = max(min(costs) + policy.near_seconds, min(costs) * (1 + policy.near_share))
    near = [c for c, cost in zip(candidates, costs, strict=True) if cost <= limit]
    # Hosts that import the same blocks at the same moment had better use several engines.
    is_spread = not request.blocks or all(candidate.imports for candidate in near)
    key = request.request_id if is_spread else request.blocks[-1]
    return max(near, key=lambda candidate: compute_rendezvous_weight(key, candidate.view.engine))


def _compute_cost(policy: ExpectedTime, candidate: Candidate, most_cached: int) -> float:
    """Return the expected seconds with those wasted on blocks that another engine holds."""
    wasted_tokens = TOKENS_PER_BLOCK * (most_cached - candidate.cached_blocks)
    wasted = wasted_tokens / candidate.view.tokens_per_second
    return candidate.expected_seconds + policy.waste_weight * wasted


@select.register
def _(
    policy: RoundRobin, candidates: Sequence[Candidate], request: RoutingRequest, turn: int
) -> Candidate:
    ordered = sorted(candidates, key=lambda candidate: candidate.view.engine)
    return ordered[turn % len(ordered)]


@select.register
def _(
    policy: LeastLoaded, candidates: Sequence[Candidate], request: RoutingRequest, turn: int
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
    policy: HashFirst, candidates: Sequence[Candidate], request: RoutingRequest, turn: int
) -> Candidate:
    key = request.blocks[0] if request.blocks else request.account
    return max(
        candidates, key=lambda candidate: compute_rendezvous_weight(key, candidate.view.engine)
    )
