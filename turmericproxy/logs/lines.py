"""Write log events as JSON lines, with the component as a prefix of the message."""

import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from enum import Enum
from typing import NamedTuple

from pythonjsonlogger.json import JsonFormatter

from turmericproxy.logs.pipe import PipeHandler

LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"

_LOGGER = logging.getLogger("turmericproxy")


class Part(Enum):
    """Components of the proxy; the values are the prefixes of their log messages."""

    HOST = "host"
    CALLERS = "callers"
    OPERATORS = "operators"
    PEERS = "peers"
    PLATFORM = "platform"
    CONFIGURATION = "configuration"
    KEYS = "keys"
    RATES = "rates"
    BOOKINGS = "bookings"
    CACHE = "cache"
    ROUTING = "routing"
    WEIGHTS = "weights"
    RELEASES = "releases"
    STAND_IN = "stand-in"


def configure_logs(level: str, host: str) -> None:
    """Write JSON lines of at least ``level`` to standard error."""
    _install(logging.StreamHandler(sys.stderr), level.upper(), host)


def configure_stdout_logs(host: str = "") -> None:
    """Write JSON lines to standard output without blocking on its reader."""
    _install(PipeHandler(sys.stdout.fileno()), logging.INFO, host)


def _install(handler: logging.Handler, level: str | int, host: str) -> None:
    handler.setFormatter(JsonFormatter(LINE_FORMAT, static_fields={"host": host}))
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


class CollectedLine(NamedTuple):
    """Hold a log line that was not written: its text with the prefix, and its fields."""

    text: str
    fields: dict[str, object]


_COLLECTED: ContextVar[list[CollectedLine] | None] = ContextVar("collected", default=None)


@contextmanager
def collect_lines() -> Iterator[list[CollectedLine]]:
    """Collect the lines of this task instead of writing them, for a decision that is only tried."""
    lines: list[CollectedLine] = []
    token = _COLLECTED.set(lines)
    try:
        yield lines
    finally:
        _COLLECTED.reset(token)


def log_event(part: Part, message: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event of a component; values belong in ``fields``, not into the message."""
    if (collected := _COLLECTED.get()) is not None:
        collected.append(CollectedLine(f"{part.value}: {message}", fields))
        return
    _LOGGER.log(level, f"{part.value}: {message}", extra=fields)


def log_decision(part: Part, message: str, **terms: object) -> None:
    """Log a decision on a request and the values it was based on; may be dropped at high rates."""
    if (collected := _COLLECTED.get()) is not None:
        collected.append(CollectedLine(f"{part.value}: {message}", terms))
        return
    _LOGGER.info(f"{part.value}: {message}", extra={"decision": True, **terms})
