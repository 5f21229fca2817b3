"""Write the final records of attempts in the background until they have taken effect."""

import heapq
import itertools
import logging
import threading
import time
from dataclasses import replace

from turmericproxy.bookings.batch import TABLE, Batcher, Written
from turmericproxy.bookings.claims import (
    ClaimState,
    Settlement,
    StoredClaim,
    read_record,
    settle_claim,
)
from turmericproxy.bookings.outcomes import store_body
from turmericproxy.core import Refusal
from turmericproxy.logs import Part, log_event
from turmericproxy.tables import Row
from turmericproxy.tables.client import PlatformClient

WORKERS = 4
WRITE_TIMEOUT_SECONDS = 3.0
FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


def read_stored(platform: PlatformClient, row_key: str) -> StoredClaim | None | Refusal:
    """Read the claim of a row; ``None`` means that no row exists."""
    row = platform.read_row(TABLE, row_key)
    if isinstance(row, Row):
        return StoredClaim(read_record(row.value), row.version)
    return row


class SettlementWriter:
    """Write settlements and retry failed ones with exponential delays; keep them in memory only."""

    def __init__(self, platform: PlatformClient, batcher: Batcher) -> None:
        self._platform = platform
        self._batcher = batcher
        self._waiting: list[tuple[float, int, int, Settlement]] = []
        self._sequence = itertools.count()
        self._running = 0
        self._is_closed = False
        self._changed = threading.Condition()
        self._threads = [
            threading.Thread(target=self._run, name=f"claim-settle-{n}", daemon=True)
            for n in range(WORKERS)
        ]

    def start(self) -> None:
        """Start the worker threads."""
        for thread in self._threads:
            thread.start()

    def close(self, timeout: float) -> int:
        """Wait up to ``timeout`` seconds for pending settlements; return how many are left."""
        deadline = time.monotonic() + timeout
        with self._changed:
            while self.count_unstored() and time.monotonic() < deadline:
                self._changed.wait(deadline - time.monotonic())
            unstored = self.count_unstored()
            self._is_closed = True
            self._changed.notify_all()
        for thread in self._threads:
            thread.join(timeout=5)
        return unstored

    def count_unstored(self) -> int:
        """Return the number of settlements that are waiting or being written."""
        return len(self._waiting) + self._running

    def add(self, settlement: Settlement, tries: int = 0) -> None:
        """Queue a settlement, with a delay that doubles with each failed try."""
        delay = min(FIRST_DELAY_SECONDS * 2**tries, MAX_DELAY_SECONDS) if tries else 0.0
        with self._changed:
            entry = (time.monotonic() + delay, next(self._sequence), tries, settlement)
            heapq.heappush(self._waiting, entry)
            self._changed.notify()

    def _run(self) -> None:
        while due := self._await_due():
            tries, settlement = due
            if not self._try_settle(settlement):
                self.add(settlement, tries + 1)
            with self._changed:
                self._running -= 1
                self._changed.notify_all()

    def _await_due(self) -> tuple[int, Settlement] | None:
        with self._changed:
            while not self._is_closed:
                wait = self._waiting[0][0] - time.monotonic() if self._waiting else None
                if wait is not None and wait <= 0:
                    _, _, tries, settlement = heapq.heappop(self._waiting)
                    self._running += 1
                    return tries, settlement
                self._changed.wait(wait)
            return None

    def _try_settle(self, settlement: Settlement) -> bool:
        try:
            return self._settle(settlement)
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            log_event(
                Part.BOOKINGS,
                "storing a claim record failed; retrying",
                level=logging.ERROR,
                reason=reason,
                row=settlement.row_key,
            )
            return False

    def _settle(self, settlement: Settlement) -> bool:
        stored = read_stored(self._platform, settlement.row_key)
        if isinstance(stored, Refusal):
            return False
        write = settle_claim(settlement, stored)
        if write is None:
            self._report_missing(settlement, stored)
            return True
        record = store_body(self._platform, write.record)
        if record is None:
            return False
        write = replace(write, record=record)
        return isinstance(self._batcher.submit(write, WRITE_TIMEOUT_SECONDS), Written)

    def _report_missing(self, settlement: Settlement, stored: StoredClaim | None) -> None:
        record = settlement.record
        is_own = stored is not None and stored.record.attempt == record.attempt
        if record.state is not ClaimState.RELEASED and not is_own:
            log_event(
                Part.BOOKINGS,
                "row of a dispatched claim is missing or belongs to another attempt",
                level=logging.ERROR,
                row=settlement.row_key,
                attempt=record.attempt,
            )
