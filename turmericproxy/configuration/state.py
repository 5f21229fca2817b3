"""Store a host's newest snapshot and the history of changes."""

import threading
from collections import deque
from collections.abc import Iterable, Mapping

from turmericproxy.configuration.deltas import ChangeId, Delta, merge_deltas
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.core.ids import Revision

MAX_HISTORY_CHANGES = 1000


class ConfigurationState:
    """Install snapshots and deltas; the revision never decreases."""

    def __init__(self) -> None:
        self._snapshot = Snapshot()
        self._pending: Mapping[Revision, Delta] = {}
        self._history: deque[Delta] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._changed = threading.Condition()

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._snapshot

    def install_deltas(self, deltas: Iterable[Delta]) -> tuple[Delta, ...]:
        """Install the deltas that follow without a gap, and return the installed ones."""
        with self._changed:
            merge = merge_deltas(self._snapshot, self._pending, deltas)
            self._pending = merge.pending
            if merge.installed:
                self._history.extend(merge.installed)
                self._snapshot = merge.snapshot
                self._changed.notify_all()
            return merge.installed

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Install a snapshot if its revision is higher; return whether it was installed."""
        with self._changed:
            if snapshot.revision <= self._snapshot.revision:
                return False
            self._history.clear()
            self._snapshot = snapshot
            self._changed.notify_all()
        self.install_deltas(())
        return True

    def list_changes(self, after: Revision) -> tuple[Delta, ...] | None:
        """Return the deltas after a revision, or ``None`` if some are not in the history."""
        with self._changed:
            if after >= self._snapshot.revision:
                return ()
            if not self._history or self._history[0].revision > after + 1:
                return None
            return tuple(delta for delta in self._history if delta.revision > after)

    def find_change(self, change_id: ChangeId) -> Delta | None:
        """Return the delta with that change id, if it is still in the history."""
        with self._changed:
            return next((d for d in self._history if d.change_id == change_id), None)

    def find_revision(self, revision: Revision) -> Delta | None:
        """Return the delta of that revision, if it is still in the history."""
        with self._changed:
            return next((d for d in self._history if d.revision == revision), None)

    def wait_for_newer(self, revision: Revision, timeout: float) -> bool:
        """Wait up to ``timeout`` seconds for a higher revision; return whether it arrived."""
        with self._changed:
            return self._changed.wait_for(lambda: self._snapshot.revision > revision, timeout)
