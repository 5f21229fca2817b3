"""Build the plan of the cluster on which a user's workload runs."""

from typing import Any

from turmericproxy.bench.plan import (
    AccountPlan,
    ClusterPlan,
    EnginePlan,
    HostPlan,
    RoutePlan,
    ServicePlan,
)
from turmericproxy.bench.shapes import Shape

DOMAINS = ("north", "centre", "south")
HOSTS = 8
ROUTE = "bookings"
NO_KEPT_STORE_POLICY = "expected_time_alone"
RATE_HEADROOM = 1.6
BURST_SECONDS = 6.0


def create_plan(shape: Shape, policy: str) -> ClusterPlan:
    """Return the plan of a user's cluster whose hosts use a routing policy.

    ``NO_KEPT_STORE_POLICY`` is the expected-time policy without the store of kept KV cache.
    """
    services = _create_services(shape)
    return ClusterPlan(
        hosts=_create_hosts(policy),
        engines=_create_engines(shape),
        services=services,
        accounts=tuple(
            _create_account(shape, account.share, account.name) for account in shape.accounts
        ),
        routes=(RoutePlan(ROUTE, tuple(service.name for service in services)),),
    )


def estimate_prompt_tokens(shape: Shape) -> float:
    """Return the mean number of prompt and answer tokens of a request."""
    spans = (shape.subject_tokens, shape.question_tokens, shape.answer_tokens)
    return sum(shape.shared_levels) + sum(sum(span) / 2 for span in spans)


def _create_hosts(policy: str) -> tuple[HostPlan, ...]:
    routing: dict[str, Any] = {"policy": policy}
    if policy == NO_KEPT_STORE_POLICY:
        routing = {"policy": "expected_time", "kept_cache": False}
    settings = {"routing": routing}
    return tuple(
        HostPlan(f"host-{number + 1}", _get_domain(number), settings) for number in range(HOSTS)
    )


def _create_engines(shape: Shape) -> tuple[EnginePlan, ...]:
    return tuple(
        EnginePlan(
            f"engine-{number + 1}",
            _get_domain(number),
            models={shape.model: "1"},
            options={
                "prefill_rate": shape.prefill_rate,
                "capacity_blocks": shape.capacity_blocks,
                "seed": number,
            },
        )
        for number in range(shape.engines)
    )


def _create_services(shape: Shape) -> tuple[ServicePlan, ...]:
    return tuple(
        ServicePlan(f"{ROUTE}-{number + 1}", _get_domain(number))
        for number in range(shape.services)
    )


def _create_account(shape: Shape, share: float, name: str) -> AccountPlan:
    rate = shape.requests_per_second * share * estimate_prompt_tokens(shape) * RATE_HEADROOM
    return AccountPlan(name, rate=round(rate), burst=round(rate * BURST_SECONDS))


def _get_domain(number: int) -> str:
    return DOMAINS[number % len(DOMAINS)]
