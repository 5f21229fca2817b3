"""Check that logs never wait for their reader, and stay bounded under a burst."""

import contextlib
import logging
import os
import time

from turmericproxy.logs.pipe import BUFFERED_BYTES, DECISION_BURST, PipeHandler


def create_record(text: str, *, decision: bool = False) -> logging.LogRecord:
    record = logging.LogRecord("x", logging.INFO, "", 0, text, (), None)
    record.decision = decision
    return record


def test_full_pipe_delays_nobody_and_the_loss_is_told() -> None:
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    started = time.monotonic()
    for _ in range(20_000):
        handler.emit(create_record("a" * 100))
    # Two thousand lines a second would be ten times the busiest host's.
    assert time.monotonic() - started < 10.0
    assert handler.dropped > 0
    assert len(handler._waiting) <= BUFFERED_BYTES
    os.set_blocking(reader, False)
    received = b""
    for _ in range(20):
        with contextlib.suppress(BlockingIOError):
            received += os.read(reader, 1 << 20)
        handler.emit(create_record("b"))
    assert b"log lines dropped" in received
    assert handler.dropped == 0


def test_burst_of_decisions_is_bounded_and_other_lines_pass() -> None:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = PipeHandler(writer, read_clock=lambda: 5.0)
    for n in range(3_000):
        handler.emit(create_record("d", decision=True))
        if n % 100 == 0:
            with contextlib.suppress(BlockingIOError):
                os.read(reader, 1 << 20)
    handler.emit(create_record("important"))
    told = os.read(reader, 1 << 20)
    assert b"important" in told
    assert b'"count": %d' % (3_000 - DECISION_BURST) in told


def test_reader_that_has_gone_ends_nothing() -> None:
    reader, writer = os.pipe()
    handler = PipeHandler(writer)
    os.close(reader)
    handler.emit(create_record("a"))
    handler.emit(create_record("b"))
