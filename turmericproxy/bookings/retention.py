"""Delete bookings whose retention time has passed."""

import logging
import random
import threading
import time
from collections.abc import Callable, Sequence

from turmericproxy.bookings.batch import MAX_ROWS, TABLE
from turmericproxy.bookings.claims import ROW_KEY_BYTES, read_record
from turmericproxy.core import Refusal
from turmericproxy.logs import Part, log_event
from turmericproxy.tables import Committed, Condition, Row, Transaction, Write
from turmericproxy.tables.client import PlatformClient

PAGE_ROWS = 1000
PAGE_INTERVAL_SECONDS = 30.0
FULL_PAGE_INTERVAL_SECONDS = 1.0


def list_expired(rows: Sequence[Row], now: float, retention: float) -> tuple[Row, ...]:
    """Return the rows that were last written more than ``retention`` seconds ago."""
    return tuple(row for row in rows if now - read_record(row.value).written > retention)


def split_rows(rows: Sequence[Row]) -> tuple[Sequence[Row], ...]:
    """Split rows into groups that each fit into one transaction."""
    return tuple(rows[start : start + MAX_ROWS] for start in range(0, len(rows), MAX_ROWS))


def create_deletion(rows: Sequence[Row]) -> Transaction:
    """Return a transaction that deletes the rows unless one of them has changed."""
    return Transaction(
        tuple(Condition(TABLE, row.key, row.version) for row in rows),
        tuple(Write(TABLE, row.key, delete=True) for row in rows),
    )


class Sweeper:
    """Check one page of the table at a time, starting at a random row key.

    Hosts sweep without coordination. Row keys are digests, so random start keys cover the table
    evenly, and if two hosts delete the same row, one of them gets a harmless conflict.
    """

    def __init__(
        self,
        platform: PlatformClient,
        retention: float,
        interval: float = PAGE_INTERVAL_SECONDS,
        random_bytes: Callable[[int], bytes] = random.randbytes,
    ) -> None:
        self._platform = platform
        self._retention = retention
        self._interval = interval
        self._random_bytes = random_bytes
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="booking-sweep", daemon=True)

    def start(self) -> None:
        """Start the sweep thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the sweep thread."""
        self._stopped.set()
        self._thread.join(timeout=5)

    def sweep_page(self) -> int:
        """Delete the expired rows of one page and return their number."""
        after = self._random_bytes(ROW_KEY_BYTES).hex()
        rows = self._platform.list_rows(TABLE, after=after, limit=PAGE_ROWS)
        if isinstance(rows, Refusal):
            return 0
        expired = list_expired(rows, time.time(), self._retention)
        deleted = sum(self._delete_rows(group) for group in split_rows(expired))
        if deleted:
            log_event(Part.BOOKINGS, "expired bookings deleted", rows=deleted)
        return deleted

    def _delete_rows(self, rows: Sequence[Row]) -> int:
        if not isinstance(self._platform.commit(create_deletion(rows)), Committed):
            return 0
        for row in rows:
            if body_object := read_record(row.value).body_object:
                self._platform.delete_object(body_object)
        return len(rows)

    def _try_sweep(self) -> int:
        try:
            return self.sweep_page()
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            log_event(Part.BOOKINGS, "retention sweep failed", level=logging.ERROR, reason=reason)
            return 0

    def _run(self) -> None:
        interval = self._interval
        while not self._stopped.wait(interval * random.uniform(0.5, 1.5)):
            is_full = self._try_sweep() > PAGE_ROWS / 2
            interval = min(FULL_PAGE_INTERVAL_SECONDS, interval) if is_full else self._interval
