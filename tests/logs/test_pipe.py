"""Check that logging never blocks on its reader, and that bursts are limited."""

import contextlib
import logging
import os
import time

from turmericproxy.logs.pipe import DECISION_BURST, MAX_BUFFERED_BYTES, PipeHandler


def create_record(text: str, *, decision: bool = False) -> logging.LogRecord:
    record = logging.LogRecord("x", logging.INFO, "", 0, text, (), None)
    record.decision = decision
    return record


def test_full_pipe_does_not_block_and_dropped_lines_are_counted() -> None:
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    started = time.monotonic()
    for _ in range(20_000):
        handler.emit(create_record("a" * 100))
    # 2,000 lines per second, ten times the rate of the busiest host.
    assert time.monotonic() - started < 10.0
    assert handler.dropped > 0
    assert len(handler._buffer) <= MAX_BUFFERED_BYTES
    os.set_blocking(reader, False)
    received = b""
    for _ in range(20):
        with contextlib.suppress(BlockingIOError):
            received += os.read(reader, 1 << 20)
        handler.emit(create_record("b"))
    assert b"log lines dropped" in received
    assert handler.dropped == 0


def test_burst_of_decision_lines_is_limited_and_other_lines_are_kept() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = PipeHandler(writer, read_clock=lambda: 5.0)
    for n in range(3_000):
        handler.emit(create_record("d", decision=True))
        if n % 100 == 0:
            with contextlib.suppress(BlockingIOError):
                os.read(reader, 1 << 20)
    handler.emit(create_record("important"))
    received = os.read(reader, 1 << 20)
    assert b"important" in received
    assert b'"count": %d' % (3_000 - DECISION_BURST) in received


def test_closed_reader_raises_no_error() -> None:
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    os.close(reader)
    handler.emit(create_record("a"))
    handler.emit(create_record("b"))
