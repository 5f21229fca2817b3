"""Keep the blocks of the product's own interface in a table, so that they outlast restarts."""

import queue
import threading
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from turmericproxy.core import Refusal
from turmericproxy.crashes.blocks import Block
from turmericproxy.crashes.records import (
    BLOCK_TABLE,
    compute_row_key,
    decode_block,
    encode_block,
    restore_block,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Conflict,
    Row,
    Transaction,
    Write,
)

# Delay before a failed call is repeated, which doubles up to the longest one.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0


class Tables(Protocol):
    """Read and write rows of the platform's tables."""

    def list_rows(self, table: str) -> tuple[Row, ...] | Refusal:
        """Return the rows of a table."""

    def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Commit a transaction."""


class BlockTable:
    """Read the blocks once, then write new ones, in a thread of its own.

    Their ends are stored by the system's clock, which hosts share, not by ``read_clock``.
    """

    def __init__(
        self,
        tables: Tables,
        read_clock: Callable[[], float],
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self._tables = tables
        self._read_clock = read_clock
        self._read_time = read_time
        self._unwritten: queue.SimpleQueue[Block | None] = queue.SimpleQueue()
        self._closed = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self, on_block: Callable[[Block], None]) -> None:
        """Start the thread, which calls ``on_block`` for each stored block that is in force."""
        self._thread = threading.Thread(
            target=self._run, args=(on_block,), name="block-table", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """End the thread after the call under way."""
        self._closed.set()
        self._unwritten.put(None)

    def write(self, block: Block) -> None:
        """Write a block as soon as the platform answers."""
        self._unwritten.put(block)

    def _run(self, on_block: Callable[[Block], None]) -> None:
        self._repeat(partial(self._read, on_block))
        while (block := self._unwritten.get()) is not None:
            self._repeat(partial(self._write, block))

    def _repeat(self, call: Callable[[], bool]) -> None:
        """Repeat a call until it succeeds."""
        delay = RETRY_SECONDS
        while not self._closed.is_set() and not call():
            self._closed.wait(delay)
            delay = min(MAX_RETRY_SECONDS, 2 * delay)

    def _read(self, on_block: Callable[[Block], None]) -> bool:
        rows = self._tables.list_rows(BLOCK_TABLE)
        if isinstance(rows, Refusal):
            log_event(Part.ROUTING, "blocks can't be read", reason=rows.reason)
            return False
        for record in filter(None, map(decode_block, rows)):
            if record.until > self._read_time():
                on_block(restore_block(record, self._read_time(), self._read_clock()))
        return True

    def _write(self, block: Block) -> bool:
        until = self._read_time() + block.until - self._read_clock()
        value = encode_block(block, until).decode()
        write = Write(BLOCK_TABLE, compute_row_key(block), value)
        result = self._tables.commit(Transaction((), (write,)))
        if isinstance(result, Committed):
            return True
        reason = getattr(result, "reason", "conflict")
        log_event(Part.ROUTING, "block not written", block=block.name, reason=reason)
        return False
