"""Write one JSON line an event, each starting with the prefix of its part."""

import logging
import sys
from enum import Enum

from pythonjsonlogger.json import JsonFormatter

from turmericproxy.logs.pipe import PipeHandler

LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"

_LOGGER = logging.getLogger("turmericproxy")


class Part(Enum):
    """Give each part its prefix."""

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
    STAND_IN = "stand-in"


def configure_logs(level: str, host: str) -> None:
    """Send JSON lines of at least ``level`` to standard error."""
    _install(logging.StreamHandler(sys.stderr), level.upper(), host)


def configure_stdout_logs(host: str = "") -> None:
    """Send JSON lines to standard output without waiting for its reader."""
    _install(PipeHandler(sys.stdout.fileno()), logging.INFO, host)


def _install(handler: logging.Handler, level: str | int, host: str) -> None:
    handler.setFormatter(JsonFormatter(LINE_FORMAT, static_fields={"host": host}))
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(level)
    _LOGGER.propagate = False


def log_event(part: Part, message: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log a short sentence of a part, with its figures as fields."""
    _LOGGER.log(level, f"{part.value}: {message}", extra=fields)


def log_decision(part: Part, message: str, **terms: object) -> None:
    """Log a routing or placement decision with the terms that decided it."""
    _LOGGER.info(f"{part.value}: {message}", extra={"decision": True, **terms})
