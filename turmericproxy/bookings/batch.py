"""Combine the claim writes of many requests into one transaction."""

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
MAX_ROWS = 100
MAX_BYTES = 1024 * 1024
SENDERS = 4
UNTHROTTLED_SENDERS = 2
THROTTLED_INTERVAL_SECONDS = 0.05
MIN_INTERVAL_SECONDS = 0.004
MAX_INTERVAL_SECONDS = 0.128
QUEUE_TIMEOUT_SECONDS = 1.0
STALL_SECONDS = 0.5
RETRY_AFTER_SECONDS = 0.5


@dataclass(frozen=True)
class Written:
    """A committed write, with the version that its row got."""

    version: int


@dataclass(frozen=True)
class RowConflict:
    """A write that failed because its row had another version than required."""


WriteResult = Written | RowConflict | AnswerLost | Refusal


@dataclass(frozen=True)
class SizedWrite:
    """A write and the size of its record in bytes of JSON."""

    write: ClaimWrite
    size: int


def create_transaction(writes: Sequence[ClaimWrite]) -> Transaction:
    """Return a transaction whose conditions and writes are in the order of ``writes``."""
    return Transaction(
        tuple(Condition(TABLE, write.row_key, write.version) for write in writes),
        tuple(Write(TABLE, write.row_key, write.record.to_json()) for write in writes),
    )


def select_batch(
    queue: Sequence[SizedWrite], rows_in_flight: frozenset[str], max_rows: int, max_bytes: int
) -> tuple[int, ...]:
    """Return the queue indexes of the writes for the next transaction.

    Writes to one row stay in order: a row occurs only once, and not while it is in flight. A write
    larger than ``max_bytes`` is sent alone.
    """
    chosen: list[int] = []
    excluded = set(rows_in_flight)
    size = 0
    for index, item in enumerate(queue):
        if len(chosen) == max_rows or (chosen and size + item.size > max_bytes):
            break
        if item.write.row_key not in excluded:
            chosen.append(index)
            size += item.size
        excluded.add(item.write.row_key)
    return tuple(chosen)


def adapt_interval(interval: float, is_overloaded: bool) -> float:
    """Return the next minimum interval between transactions in seconds, doubled on overload.

    >>> adapt_interval(0.004, True), adapt_interval(0.128, True), adapt_interval(0.004, False)
    (0.008, 0.128, 0.004)
    """
    if is_overloaded:
        return min(interval * 2, MAX_INTERVAL_SECONDS)
    return max(interval * 0.9, MIN_INTERVAL_SECONDS)


def compute_start_interval(interval: float, answer_seconds: float, running: int) -> float:
    """Return the seconds between the starts of two transactions.

    Starts are spread evenly over the response time, so that with a slow platform some sender is
    soon free again. While responses are fast, few senders run at a time, so that each transaction
    has more rows.

    >>> compute_start_interval(0.004, 0.002, running=0)
    0.004
    >>> compute_start_interval(0.004, 1.0, running=0)
    0.25
    >>> compute_start_interval(0.004, 0.002, running=UNTHROTTLED_SENDERS)
    0.05
    """
    minimum = (
        interval if running < UNTHROTTLED_SENDERS else max(interval, THROTTLED_INTERVAL_SECONDS)
    )
    return max(minimum, answer_seconds / SENDERS)


@dataclass
class _PendingWrite:
    item: SizedWrite
    queued: float
    is_sent: bool = False
    result: WriteResult | None = None
    done: threading.Event = field(default_factory=threading.Event)

    def resolve(self, result: WriteResult) -> None:
        self.result = result
        self.done.set()


class Batcher:
    """Send writes in transactions; writes submitted meanwhile are queued for the next one.

    A conflict fails only the writes whose rows conflict; the others are sent again at once.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._queue: list[_PendingWrite] = []
        self._rows_in_flight: set[str] = set()
        self._running = 0
        self._last_start = 0.0
        self._answer_seconds = 0.0
        self._interval = MIN_INTERVAL_SECONDS
        self._is_closed = False
        self._changed = threading.Condition()
        self._threads = [
            threading.Thread(target=self._run, name=f"claim-batch-{n}", daemon=True)
            for n in range(SENDERS)
        ]

    def start(self) -> None:
        """Start the sender threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Refuse the unsent writes and stop the threads."""
        with self._changed:
            self._is_closed = True
            unsent, self._queue = self._queue, []
            self._changed.notify_all()
        for pending in unsent:
            pending.resolve(_refuse("the host is closing"))
        for thread in self._threads:
            thread.join(timeout=5)

    def submit(self, write: ClaimWrite, timeout: float) -> WriteResult:
        """Send a write and return its result; a refusal guarantees that it was not written.

        An unsent write is refused after ``QUEUE_TIMEOUT_SECONDS``, or at once if all senders wait
        for a response and the last transaction started more than ``STALL_SECONDS`` ago. A sent
        write without a response after ``timeout`` seconds gives ``AnswerLost``.
        """
        size = len(json.dumps(write.record.to_json()))
        pending = _PendingWrite(SizedWrite(write, size), time.monotonic())
        with self._changed:
            if self._is_closed:
                return _refuse("the host is closing")
            if self._is_stalled():
                return _refuse("the platform does not answer")
            self._queue.append(pending)
            self._changed.notify()
        if not pending.done.wait(min(timeout, QUEUE_TIMEOUT_SECONDS)) and not self._cancel(pending):
            pending.done.wait(max(0.0, pending.queued + timeout - time.monotonic()))
            self._cancel(pending)
        return pending.result or AnswerLost("no answer in time")

    def _cancel(self, pending: _PendingWrite) -> bool:
        with self._changed:
            if pending.is_sent or pending.result:
                return False
            self._queue.remove(pending)
        pending.resolve(_refuse("the platform is too slow"))
        return True

    def _run(self) -> None:
        while batch := self._await_batch():
            try:
                self._send_batch(batch)
            except Exception as error:
                _fail_batch(batch, error)
            with self._changed:
                self._running -= 1
                self._rows_in_flight.difference_update(p.item.write.row_key for p in batch)
                self._changed.notify_all()

    def _await_batch(self) -> list[_PendingWrite]:
        with self._changed:
            while not self._is_closed:
                start_interval = compute_start_interval(
                    self._interval, self._answer_seconds, self._running
                )
                wait = self._last_start + start_interval - time.monotonic()
                if self._queue and wait <= 0 and (batch := self._select_pending()):
                    self._last_start = time.monotonic()
                    self._running += 1
                    return batch
                self._changed.wait(wait if self._queue and wait > 0 else None)
            return []

    def _is_stalled(self) -> bool:
        all_waiting = self._running == SENDERS
        return all_waiting and time.monotonic() - self._last_start > STALL_SECONDS

    def _select_pending(self) -> list[_PendingWrite]:
        items = [pending.item for pending in self._queue]
        indexes = select_batch(items, frozenset(self._rows_in_flight), MAX_ROWS, MAX_BYTES)
        batch = [self._queue[index] for index in indexes]
        for pending in batch:
            pending.is_sent = True
            self._rows_in_flight.add(pending.item.write.row_key)
        chosen = set(indexes)
        self._queue = [p for index, p in enumerate(self._queue) if index not in chosen]
        return batch

    def _requeue_batch(self, batch: list[_PendingWrite]) -> None:
        # Merges the rows with writes queued since, so that the platform gets fewer transactions.
        with self._changed:
            if not self._is_closed:
                for pending in batch:
                    pending.is_sent = False
                self._queue[:0] = batch
                return
        for pending in batch:
            pending.resolve(_refuse("the host is closing"))

    def _record_answer_seconds(self, result: object, seconds: float) -> None:
        if isinstance(result, Committed | Conflict):
            self._answer_seconds = max(seconds, (seconds + self._answer_seconds) / 2)
        elif not _is_overloaded(result):
            self._answer_seconds = 0.0

    def _send_batch(self, batch: list[_PendingWrite]) -> None:
        while batch:
            transaction = create_transaction([pending.item.write for pending in batch])
            started = time.monotonic()
            result = self._platform.commit(transaction)
            self._interval = adapt_interval(self._interval, _is_overloaded(result))
            self._record_answer_seconds(result, time.monotonic() - started)
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


def _resolve_conflicts(batch: list[_PendingWrite], failed: frozenset[int]) -> list[_PendingWrite]:
    for index in failed:
        batch[index].resolve(RowConflict())
    return [pending for index, pending in enumerate(batch) if index not in failed]


def _is_overloaded(result: object) -> bool:
    return isinstance(result, Refusal) and result.code is ResultCode.OVERLOADED


def _fail_batch(batch: list[_PendingWrite], error: Exception) -> None:
    reason = f"{type(error).__name__}: {error}"
    log_event(
        Part.BOOKINGS, "write batch failed", level=logging.ERROR, reason=reason, rows=len(batch)
    )
    for pending in batch:
        if not pending.result:
            pending.resolve(AnswerLost(reason))


def _refuse(reason: str) -> Refusal:
    return refuse(ResultCode.PLATFORM_UNAVAILABLE, reason, retry_after=RETRY_AFTER_SECONDS)
