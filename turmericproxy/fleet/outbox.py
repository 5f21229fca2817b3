"""Merge the batches of a host before they are sent, and add heartbeats."""

from turmericproxy.fleet.batches import HEARTBEAT, Batch, merge_batches

# Interval of heartbeats to each other host.
HEARTBEAT_INTERVAL_SECONDS = 0.4
# Interval of heartbeats to a hub, which only collects them: shorter by what that takes, and by what
# it takes to notice that the hub has failed.
HUB_HEARTBEAT_INTERVAL_SECONDS = 0.2


class Outbox:
    """Merge consecutive batches into one, and create heartbeats while there is nothing to send."""

    def __init__(self, calls_per_batch: int) -> None:
        self._calls_per_batch = calls_per_batch
        self._calls = 0
        self._batch: Batch | None = None
        self._sent_at = 0.0

    def add(
        self,
        batch: Batch | None,
        now: float,
        heartbeat_interval: float = HEARTBEAT_INTERVAL_SECONDS,
    ) -> Batch | None:
        """Add a batch, and return the merged one or the heartbeat that is due, if any."""
        if batch is not None:
            self._batch = merge_batches(self._batch, batch) if self._batch else batch
        self._calls += 1
        is_due = self._calls >= self._calls_per_batch and self._batch is not None
        if not is_due and now - self._sent_at < heartbeat_interval:
            return None
        due = self._batch or HEARTBEAT
        self._batch, self._calls, self._sent_at = None, 0, now
        return due
