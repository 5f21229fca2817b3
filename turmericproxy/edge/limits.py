"""Bound what a client may send and how long it may take."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EdgeLimits:
    """Hold the limits of client connections; sizes are in bytes, times in seconds.

    The defaults serve until the configuration brings its own.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0

    def __post_init__(self) -> None:
        if min(self.head_bytes, self.body_bytes) <= 0:
            raise ValueError("sizes must be positive")
        if min(self.head_seconds, self.idle_seconds) <= 0:
            raise ValueError("times must be positive")
