"""Choose engines and plain services for requests."""

from turmericproxy.core.budget import RetryBudget
from turmericproxy.routing.queue import FairQueue, Ticket
from turmericproxy.routing.requests import (
    AttemptOutcome,
    EngineChoice,
    RoutingRequest,
    TokenCounts,
    UpstreamChoice,
    Usage,
)
from turmericproxy.routing.selector import Selector

__all__ = [
    "AttemptOutcome",
    "EngineChoice",
    "FairQueue",
    "RetryBudget",
    "RoutingRequest",
    "Selector",
    "Ticket",
    "TokenCounts",
    "UpstreamChoice",
    "Usage",
]
