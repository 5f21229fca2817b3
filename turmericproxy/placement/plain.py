"""Choose an upstream of a plain service, one whose upstreams are not engines."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId

# Expected delay when an upstream fails a call: one more attempt.
FAILURE_COST_SECONDS = 0.5
# Round-trip time to another failure domain.
CROSS_DOMAIN_RTT_SECONDS = 0.003
# Duration assumed for calls to an upstream that has not answered any yet.
DEFAULT_CALL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class PlainView:
    """Describe the state of one upstream; ``call_seconds`` is a smoothed duration without load."""

    instance: InstanceId
    address: str
    is_local: bool
    requests: int
    slots: int
    call_seconds: float
    failure_share: float


def estimate_load_factor(view: PlainView) -> float:
    """Return how many times as long one more call takes as without other requests.

    Measured durations are divided by it before they are learned, or load would count twice.
    """
    queue_factor = max(0, view.requests + 1 - view.slots) / max(1, view.slots)
    # Upstreams slow down before all of their slots are taken.
    return 1.0 + view.requests / max(1, view.slots) + queue_factor


def estimate_seconds(view: PlainView) -> float:
    """Return the expected duration of one more call."""
    seconds = view.call_seconds * estimate_load_factor(view)
    seconds += view.failure_share * FAILURE_COST_SECONDS
    return seconds if view.is_local else seconds + CROSS_DOMAIN_RTT_SECONDS


def choose_plain(views: Sequence[PlainView]) -> PlainView:
    """Return the upstream with the lowest expected duration of a call."""
    return min(views, key=lambda view: (estimate_seconds(view), view.instance))
