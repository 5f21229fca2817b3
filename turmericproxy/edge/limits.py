"""Define size and time limits of client connections."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EdgeLimits:
    """Describe the limits of a client connection; sizes are in bytes, times in seconds.

    ``head_seconds`` bounds the time from the first byte of a request to the end of its head;
    ``idle_seconds`` bounds each silence within its body and between two requests. The defaults
    apply until a configuration is loaded. Limits that are not positive raise ``ValueError``.
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
