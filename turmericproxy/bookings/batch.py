"""Gather claim writes of many requests into one transaction."""

import json
import logging
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from turmericproxy.bookings.claims import ClaimWrite
from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.logs import Part, log_event
from turmericproxy.tables import (
    AnswerLost,
    Committed,
    Condition,
    Conflict,
    Transaction,
    Write,
)
from turmericproxy.tables.client import PlatformClient

TABLE = "bookings"
MOST_ROWS = 100
MOST_BYTES = 1024 * 1024
SENDERS = 4
FAST_SENDERS = 2
SLOW_ANSWER_SECONDS = 0.05
FIRST_GAP_SECONDS = 0.004
LONGEST_GAP_SECONDS = 0.128
QUEUE_WAIT_SECONDS = 1.0
STALL_SECONDS = 0.5
RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class Written:
    """Hold the version that a row was written with."""

    version: int


@dataclass(frozen=True)
class RowConflict:
    """Say that the row did not have the version that was asked for."""


WriteResult = Written | RowConflict | AnswerLost | Refusal


@dataclass(frozen=True)
class SizedWrite:
    """Hold a write with its size in bytes."""

    write: ClaimWrite
    size: int


def create_transaction(writes: Sequence[ClaimWrite]) -> Transaction:
    """Return one transaction whose conditions are in the order of the writes."""
    return Transaction(
        tuple(Condition(TABLE, write.row_key, write.version) for write in writes),
        tuple(Write(TABLE, write.row_key, write.record.to_json()) for write in writes),
    )


def select_batch(
    queue: Sequence[SizedWrite], busy: frozenset[str], most_rows: int, most_bytes: int
) -> tuple[int, ...]:
    """Return the places in the queue that go into the next transaction.

    No key occurs twice or while it is busy, so that writes to one row stay in order; a write
    larger than ``most_bytes`` goes alone.
    """
    chosen: list[int] = []
    taken = set(busy)
    size = 0
    for place, item in enumerate(queue):
        if len(chosen) == most_rows or (chosen and size + item.size > most_bytes):
            break
        if item.write.row_key not in taken:
            chosen.append(place)
            size += item.size
        taken.add(item.write.row_key)
    return tuple(chosen)


def adapt_gap(gap: float, is_refused: bool) -> float:
    """Return the next pause between transactions, in seconds: double it when refused.

    >>> adapt_gap(0.004, True), adapt_gap(0.128, True), adapt_gap(0.004, False)
    (0.008, 0.128, 0.004)
    """
    if is_refused:
        return min(gap * 2, LONGEST_GAP_SECONDS)
    return max(gap * 0.9, FIRST_GAP_SECONDS)


def compute_pause(gap: float, answer_time: float, running: int) -> float:
    """Return the seconds between the starts of two transactions.

    The senders are spread over the time that an answer takes, so that a slow platform finds one of
    them free soon. While answers are fast, few senders gather more rows each.

    >>> compute_pause(0.004, 0.002, running=0), compute_pause(0.004, 1.0, running=0)
    (0.004, 0.25)
    >>> compute_pause(0.004, 0.002, running=FAST_SENDERS)
    0.05
    """
    least = gap if running < FAST_SENDERS else max(gap, SLOW_ANSWER_SECONDS)
    return max(least, answer_time / SENDERS)


@dataclass
class _Pending:
    item: SizedWrite
    queued: float
    is_sent: bool = False
    result: WriteResult | None = None
    ready: threading.Event = field(default_factory=threading.Event)

    def resolve(self, result: WriteResult) -> None:
        self.result = result
        self.ready.set()


class Batcher:
    """Send writes in transactions: those that come while one is under way go into the next.

    A conflict fails only the writes whose rows conflict; the rest are sent again at once.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._queue: list[_Pending] = []
        self._busy: set[str] = set()
        self._running = 0
        self._last_start = 0.0
        self._answer_time = 0.0
        self._gap = FIRST_GAP_SECONDS
        self._is_closed = False
        self._changed = threading.Condition()
        self._threads = [
            threading.Thread(target=self._run, name=f"claim-batch-{n}", daemon=True)
            for n in range(SENDERS)
        ]

    def start(self) -> None:
        """Start the threads that send."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Refuse what was not sent and end the threads."""
        with self._changed:
            self._is_closed = True
            left, self._queue = self._queue, []
            self._changed.notify_all()
        for pending in left:
            pending.resolve(_refuse("the host is closing"))
        for thread in self._threads:
            thread.join(timeout=5)

    def submit(self, write: ClaimWrite, timeout: float) -> WriteResult:
        """Send a write and return its result; a refusal means that it was surely not written.

        An unsent write is refused after ``QUEUE_WAIT_SECONDS``, or at once while every sender waits
        and none began within ``STALL_SECONDS``; after ``timeout`` seconds a sent one counts as
        ``AnswerLost``.
        """
        size = len(json.dumps(write.record.to_json()))
        pending = _Pending(SizedWrite(write, size), time.monotonic())
        with self._changed:
            if self._is_closed:
                return _refuse("the host is closing")
            if self._is_stalled():
                return _refuse("the platform does not answer")
            self._queue.append(pending)
            self._changed.notify()
        if not pending.ready.wait(min(timeout, QUEUE_WAIT_SECONDS)) and not self._withdraw(pending):
            pending.ready.wait(max(0.0, pending.queued + timeout - time.monotonic()))
            self._withdraw(pending)
        return pending.result or AnswerLost("no answer in time")

    def _withdraw(self, pending: _Pending) -> bool:
        with self._changed:
            if pending.is_sent or pending.result:
                return False
            self._queue.remove(pending)
        pending.resolve(_refuse("the platform is too slow"))
        return True

    def _run(self) -> None:
        while batch := self._take_batch():
            try:
                self._send_batch(batch)
            except Exception as error:
                _report_fault(batch, error)
            with self._changed:
                self._running -= 1
                self._busy.difference_update(p.item.write.row_key for p in batch)
                self._changed.notify_all()

    def _take_batch(self) -> list[_Pending]:
        with self._changed:
            while not self._is_closed:
                pause = compute_pause(self._gap, self._answer_time, self._running)
                wait = self._last_start + pause - time.monotonic()
                if self._queue and wait <= 0 and (batch := self._select_pending()):
                    self._last_start = time.monotonic()
                    self._running += 1
                    return batch
                self._changed.wait(wait if self._queue and wait > 0 else None)
            return []

    def _is_stalled(self) -> bool:
        is_full = self._running == SENDERS
        return is_full and time.monotonic() - self._last_start > STALL_SECONDS

    def _select_pending(self) -> list[_Pending]:
        items = [pending.item for pending in self._queue]
        places = select_batch(items, frozenset(self._busy), MOST_ROWS, MOST_BYTES)
        batch = [self._queue[place] for place in places]
        for pending in batch:
            pending.is_sent = True
            self._busy.add(pending.item.write.row_key)
        chosen = set(places)
        self._queue = [p for place, p in enumerate(self._queue) if place not in chosen]
        return batch

    def _requeue_batch(self, batch: list[_Pending]) -> None:
        # The rows join those that came since, so that the platform sees fewer transactions.
        with self._changed:
            if not self._is_closed:
                for pending in batch:
                    pending.is_sent = False
                self._queue[:0] = batch
                return
        for pending in batch:
            pending.resolve(_refuse("the host is closing"))

    def _record_answer_time(self, result: object, seconds: float) -> None:
        if isinstance(result, Committed | Conflict):
            self._answer_time = max(seconds, (seconds + self._answer_time) / 2)
        elif not _is_overloaded(result):
            self._answer_time = 0.0

    def _send_batch(self, batch: list[_Pending]) -> None:
        while batch:
            transaction = create_transaction([pending.item.write for pending in batch])
            started = time.monotonic()
            result = self._platform.commit(transaction)
            self._gap = adapt_gap(self._gap, _is_overloaded(result))
            self._record_answer_time(result, time.monotonic() - started)
            match result:
                case Committed():
                    for pending in batch:
                        version = result.get_version(TABLE, pending.item.write.row_key)
                        pending.resolve(Written(version))
                    return
                case Refusal() if _is_overloaded(result):
                    self._requeue_batch(batch)
                    return
                case Conflict(failed=failed):
                    batch = _resolve_conflicts(batch, frozenset(failed))
                case _:
                    for pending in batch:
                        pending.resolve(result)
                    return


def _resolve_conflicts(batch: list[_Pending], failed: frozenset[int]) -> list[_Pending]:
    for index in failed:
        batch[index].resolve(RowConflict())
    return [pending for index, pending in enumerate(batch) if index not in failed]


def _is_overloaded(result: object) -> bool:
    return isinstance(result, Refusal) and result.code is ResultCode.OVERLOADED


def _report_fault(batch: list[_Pending], error: Exception) -> None:
    reason = f"{type(error).__name__}: {error}"
    log_event(Part.BOOKINGS, "a batch failed", level=logging.ERROR, reason=reason, rows=len(batch))
    for pending in batch:
        if not pending.result:
            pending.resolve(AnswerLost(reason))


def _refuse(reason: str) -> Refusal:
    return refuse(ResultCode.PLATFORM_UNAVAILABLE, reason, retry_after=RETRY_SECONDS)
