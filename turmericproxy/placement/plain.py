"""Choose among the upstreams of a plain service."""

from collections.abc import Sequence
from dataclasses import dataclass

from turmericproxy.core.ids import InstanceId

# Expected seconds lost when an upstream fails a call: one more attempt.
FAILURE_SECONDS = 0.5
# A hop to another failure domain and back, in seconds.
FAR_SECONDS = 0.003
# Seconds of a call at an upstream that has not answered yet.
DEFAULT_CALL_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class PlainView:
    """Hold what a host knows of one upstream; ``call_seconds`` is a smoothed time of calls."""

    instance: InstanceId
    address: str
    is_local: bool
    requests: int
    slots: int
    call_seconds: float
    failure_share: float


def estimate_seconds(view: PlainView) -> float:
    """Return the expected time of one more call."""
    waiting = max(0, view.requests + 1 - view.slots) / max(1, view.slots)
    # Upstreams slow down before all of their slots are taken.
    crowding = 1.0 + view.requests / max(1, view.slots)
    seconds = view.call_seconds * (crowding + waiting) + view.failure_share * FAILURE_SECONDS
    return seconds if view.is_local else seconds + FAR_SECONDS


def choose_plain(views: Sequence[PlainView]) -> PlainView:
    """Return the upstream with the soonest expected answer."""
    return min(views, key=lambda view: (estimate_seconds(view), view.instance))
