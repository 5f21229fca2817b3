"""Derive from a configuration how long the queue of less urgent prompts may be at engines."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from turmericproxy.admission.decision import HEADROOM_SHARE
from turmericproxy.core.ids import ServiceName
from turmericproxy.traffic.site import Site

# Least share of the target that counts as left, also where first events come later than it. With
# none left, nothing less urgent would be admitted and no first event would be measured beside it.
MIN_LEFT_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class PriorityClass:
    """The requests of one priority to a service, and the shortest target of their routes."""

    priority: int
    target: float


@dataclass(frozen=True, slots=True)
class ServiceBounds:
    """Waits in seconds up to which prompts are admitted under pressure.

    ``base`` is the bound of the service, which its pressure is measured by. ``by_priority`` lacks
    the most urgent priority, which has no bound.
    """

    base: float
    by_priority: Mapping[int, float]

    def find(self, priority: int) -> float | None:
        """Return the bound of a priority, ``None`` for the most urgent.

        A priority that the configuration doesn't name has that of the next more urgent one.
        """
        more_urgent = [p for p in self.by_priority if p <= priority]
        return self.by_priority[max(more_urgent)] if more_urgent else None


def list_classes(site: Site, service: ServiceName) -> tuple[PriorityClass, ...]:
    """Return the priorities of the requests to a service, the most urgent first."""
    targets: dict[int, float] = {}
    for route in site.routes:
        if not any(share.service == service and share.weight > 0 for share in route.shares):
            continue
        accounts = () if route.is_public else site.accounts
        priorities = {route.priority if a.priority is None else a.priority for a in accounts}
        for priority in priorities or {route.priority}:
            targets[priority] = min(route.target_latency, targets.get(priority, float("inf")))
    return tuple(PriorityClass(p, target) for p, target in sorted(targets.items()))


def compute_bounds(
    classes: Sequence[PriorityClass], own_seconds: Mapping[int, float]
) -> ServiceBounds:
    """Return the bounds of a service; ``own_seconds`` is a prompt's own duration by priority.

    The bound is a share of the time that the tightest target leaves. Each less urgent priority has
    a lower one than the priority before it, so that it gives way first.
    """
    if not classes:
        return ServiceBounds(float("inf"), {})
    limiting = classes[:-1] or classes
    base = HEADROOM_SHARE * min(
        max(c.target - own_seconds.get(c.priority, 0.0), MIN_LEFT_SHARE * c.target)
        for c in limiting
    )
    lower = classes[1:]
    return ServiceBounds(
        base,
        {c.priority: base * (len(lower) - rank) / len(lower) for rank, c in enumerate(lower)},
    )
