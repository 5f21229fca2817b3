"""Hold the newest snapshot of a host and the changes that led to it."""

import threading
from collections import deque
from collections.abc import Iterable, Mapping

from turmericproxy.configuration.deltas import ChangeId, Delta, merge_deltas
from turmericproxy.configuration.snapshot import Snapshot
from turmericproxy.core.ids import Revision

HISTORY_CHANGES = 1000


class ConfigurationState:
    """Install snapshots and deltas; the revision never falls."""

    def __init__(self) -> None:
        self._snapshot = Snapshot()
        self._waiting: Mapping[Revision, Delta] = {}
        self._history: deque[Delta] = deque(maxlen=HISTORY_CHANGES)
        self._changed = threading.Condition()

    def snapshot(self) -> Snapshot:
        """Return the newest snapshot."""
        return self._snapshot

    def install_deltas(self, deltas: Iterable[Delta]) -> tuple[Delta, ...]:
        """Install the deltas that follow without a gap, and return those."""
        with self._changed:
            merge = merge_deltas(self._snapshot, self._waiting, deltas)
            self._waiting = merge.waiting
            if merge.installed:
                self._history.extend(merge.installed)
                self._snapshot = merge.snapshot
                self._changed.notify_all()
            return merge.installed

    def install_snapshot(self, snapshot: Snapshot) -> bool:
        """Install a whole snapshot if its revision is higher, and return whether it was."""
        with self._changed:
            if snapshot.revision <= self._snapshot.revision:
                return False
            self._history.clear()
            self._snapshot = snapshot
            self._changed.notify_all()
        self.install_deltas(())
        return True

    def list_changes(self, after: Revision) -> tuple[Delta, ...] | None:
        """Return the deltas after a revision, or ``None`` if some of them are not held."""
        with self._changed:
            if after >= self._snapshot.revision:
                return ()
            if not self._history or self._history[0].revision > after + 1:
                return None
            return tuple(delta for delta in self._history if delta.revision > after)

    def find_change(self, change_id: ChangeId) -> Delta | None:
        """Return the installed delta with that change id, if it is still held."""
        with self._changed:
            return next((d for d in self._history if d.change_id == change_id), None)

    def find_revision(self, revision: Revision) -> Delta | None:
        """Return the installed delta of that revision, if it is still held."""
        with self._changed:
            return next((d for d in self._history if d.revision == revision), None)

    def wait_for_newer(self, revision: Revision, timeout: float) -> bool:
        """Wait until the revision is higher; ``timeout`` is in seconds."""
        with self._changed:
            return self._changed.wait_for(lambda: self._snapshot.revision > revision, timeout)
