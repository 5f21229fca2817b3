"""Make a host's own notes: merge its news, and tell at least that it runs."""

from turmericproxy.fleet.batches import Batch, merge_batches

HEARTBEAT_SECONDS = 0.4


class Outbox:
    """Merge some batches in a row into one, and make heartbeats where there is nothing to tell."""

    def __init__(self, merged: int) -> None:
        self._merged = merged
        self._count = 0
        self._batch: Batch | None = None
        self._sent_at = 0.0

    def take(self, batch: Batch | None, now: float) -> Batch | None:
        """Add a batch, and return the one that is due."""
        if batch is not None:
            self._batch = merge_batches(self._batch, batch) if self._batch else batch
        self._count += 1
        is_due = self._count >= self._merged and self._batch is not None
        if not is_due and now - self._sent_at < HEARTBEAT_SECONDS:
            return None
        due = self._batch or Batch()
        self._batch, self._count, self._sent_at = None, 0, now
        return due
