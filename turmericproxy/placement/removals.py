"""Keep upstreams whose registration lapsed while the store was away."""

import asyncio
from collections.abc import Callable

from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event

# Seconds after the store's return in which a live upstream registers again.
RETURN_SECONDS = 2.0


class RemovalScheduler:
    """Delay removals that come shortly after an outage; ``remove`` drops an upstream."""

    def __init__(self, remove: Callable[[InstanceId], None]) -> None:
        self._remove = remove
        self._timers: dict[InstanceId, asyncio.TimerHandle] = {}

    def record_missing(self, instance: InstanceId, reconnected_at: float | None) -> None:
        """Remove an upstream now, or once it has had the time to register again."""
        loop = asyncio.get_running_loop()
        left = 0.0 if reconnected_at is None else reconnected_at + RETURN_SECONDS - loop.time()
        if left <= 0:
            self.record_present(instance)
            self._remove(instance)
        elif instance not in self._timers:
            log_event(Part.ROUTING, "registration lapsed", upstream=instance, wait=round(left, 2))
            self._timers[instance] = loop.call_later(left, self._expire, instance)

    def record_present(self, instance: InstanceId) -> None:
        """Keep an upstream that has registered again."""
        timer = self._timers.pop(instance, None)
        if timer:
            timer.cancel()

    def _expire(self, instance: InstanceId) -> None:
        del self._timers[instance]
        self._remove(instance)
