"""Delay the removal of upstreams whose registration expired while the store was unreachable.

A host can't tell an outage of the store from a cut of its own connection. Hosts that were in
contact with the store remove such an upstream at once and tell the others, which then don't wait.
"""

import asyncio
from collections.abc import Callable, Iterable

from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event

# Time after reconnecting to the store within which a live upstream registers again.
REREGISTRATION_SECONDS = 2.0
# Time for which a removal is told to hosts that connect again: longer than most cuts. After a
# longer one, a host waits as after an outage.
NOTICE_SECONDS = 30.0
# Time for which a notice of a peer is kept until this host reads the removal itself: the longest
# delay between two calls to an unreachable store, and a margin.
RECEIVED_SECONDS = 4.0

# Upstream and the start time of its removed registration, in Unix milliseconds.
RemovalNotice = tuple[InstanceId, int]


class RemovalScheduler:
    """Delay removals shortly after an outage of the store; ``remove`` removes an upstream.

    ``find_start`` returns the start time of a registered upstream, and ``is_announcer`` whether
    this host tells its peers of the removal of an upstream.
    """

    def __init__(
        self,
        remove: Callable[[InstanceId], None],
        find_start: Callable[[InstanceId], int | None],
        is_announcer: Callable[[InstanceId], bool],
    ) -> None:
        self._remove = remove
        self._find_start = find_start
        self._is_announcer = is_announcer
        self._timers: dict[InstanceId, asyncio.TimerHandle] = {}
        self._removed: dict[InstanceId, tuple[int, float]] = {}
        self._received: dict[InstanceId, tuple[int, float]] = {}
        self._unsent: list[RemovalNotice] = []

    def record_missing(self, instance: InstanceId, reconnected_at: float | None) -> None:
        """Remove an upstream now, or after an outage once it has had time to register again."""
        loop = asyncio.get_running_loop()
        delay = (
            0.0 if reconnected_at is None else reconnected_at + REREGISTRATION_SECONDS - loop.time()
        )
        if delay <= 0 or self._is_confirmed(instance, loop.time()):
            self._remove_now(instance)
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
        self._removed.pop(instance, None)
        timer = self._timers.pop(instance, None)
        if timer:
            timer.cancel()

    def receive_notices(self, notices: Iterable[RemovalNotice]) -> None:
        """Remove delayed upstreams that a peer in contact with the store has removed."""
        now = asyncio.get_running_loop().time()
        self._received = {
            instance: (start, at)
            for instance, (start, at) in self._received.items()
            if now < at + RECEIVED_SECONDS
        }
        for instance, started_at in notices:
            self._received[instance] = (started_at, now)
            if instance in self._timers and self._is_confirmed(instance, now):
                log_event(Part.ROUTING, "delayed removal confirmed by a peer", upstream=instance)
                self._remove_now(instance)

    def take_notices(self) -> tuple[RemovalNotice, ...]:
        """Return the removals that peers are to be told since the last call."""
        unsent, self._unsent = self._unsent, []
        return tuple(unsent)

    def list_notices(self) -> tuple[RemovalNotice, ...]:
        """Return the recent removals of this host, for a peer that connects."""
        oldest = asyncio.get_running_loop().time() - NOTICE_SECONDS
        self._removed = {i: (start, at) for i, (start, at) in self._removed.items() if at >= oldest}
        return tuple((instance, start) for instance, (start, _) in self._removed.items())

    def _is_confirmed(self, instance: InstanceId, now: float) -> bool:
        started_at, received_at = self._received.get(instance, (None, 0.0))
        is_recent = now < received_at + RECEIVED_SECONDS
        return is_recent and started_at is not None and started_at == self._find_start(instance)

    def _remove_now(self, instance: InstanceId) -> None:
        started_at = self._find_start(instance)
        self.record_present(instance)
        self._remove(instance)
        if started_at is None:
            return
        self._removed[instance] = (started_at, asyncio.get_running_loop().time())
        if self._is_announcer(instance):
            self._unsent.append((instance, started_at))

    def _expire(self, instance: InstanceId) -> None:
        del self._timers[instance]
        self._remove(instance)
