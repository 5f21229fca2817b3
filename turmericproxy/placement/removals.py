"""Delay the removal of upstreams whose registration expired while the store was unreachable."""

import asyncio
from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event

# Time after reconnecting to the store within which a live upstream registers again.
REREGISTRATION_SECONDS = 2.0


class RemovalScheduler:
    """Delay removals shortly after an outage of the store; ``remove`` removes an upstream."""

    def __init__(self, remove: Callable[[InstanceId], None]) -> None:
        self._remove = remove
        self._timers: dict[InstanceId, asyncio.TimerHandle] = {}

    def record_missing(self, instance: InstanceId, reconnected_at: float | None) -> None:
        """Remove an upstream now, or after an outage once it has had time to register again."""
        loop = asyncio.get_running_loop()
        delay = (
            0.0 if reconnected_at is None else reconnected_at + REREGISTRATION_SECONDS - loop.time()
        )
        if delay <= 0:
            self.record_present(instance)
            self._remove(instance)
        elif instance not in self._timers:
            log_event(
                Part.ROUTING,
                "removal delayed after store outage",
                upstream=instance,
                wait=round(delay, 2),
            )
            self._timers[instance] = loop.call_later(delay, self._expire, instance)

    def record_present(self, instance: InstanceId) -> None:
        """Cancel a scheduled removal, since the upstream is registered."""
        timer = self._timers.pop(instance, None)
        if timer:
            timer.cancel()

    def _expire(self, instance: InstanceId) -> None:
        del self._timers[instance]
        self._remove(instance)
