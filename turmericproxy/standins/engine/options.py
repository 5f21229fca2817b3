"""Speeds, sizes and faults of an engine stand-in."""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any


@dataclass(frozen=True)
class EngineOptions:
    """Options that are fixed while an engine stand-in runs; times are in seconds."""

    address: str = "127.0.0.1:0"
    name: str = "engine"
    platform: str | None = None
    models: Mapping[str, str] = field(default_factory=lambda: {"verdict": "1"})
    role: str = "mixed"
    step_time: float = 0.01
    prefill_rate: float = 20_000.0
    decode_time: float = 0.01
    slots: int = 32
    capacity_blocks: int = 256
    checks_fence: bool = True
    load_time: float = 0.33
    import_time: float = 0.01
    resume_hold: float = 5.0
    threads: int = 96
    record_bodies: bool = False
    seed: int = 1
    event_lag: float = 0.05
    event_loss: float = 0.0
    load_lag: float = 0.1


@dataclass
class EngineFaults:
    """Faults that a control call sets; times are in seconds.

    ``crossed`` is how many more answers switch to another request's output after
    ``crossed_after`` pieces of their own; ``break_stream_after`` aborts the next stream after
    that many pieces. ``paused_until`` is a monotonic time until which no answer is sent.
    """

    event_lag: float
    event_loss: float
    load_lag: float
    silent: bool = False
    late: float = 0.0
    crossed: int = 0
    crossed_after: int = 0
    break_stream_after: int | None = None
    paused_until: float = 0.0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def apply(self, changes: Mapping[str, Any]) -> None:
        """Set the faults that are named in ``changes``."""
        names = {item.name for item in fields(self) if not item.name.startswith("_")}
        with self._lock:
            for name in names & changes.keys():
                setattr(self, name, changes[name])

    def take_mismatch_offset(self) -> int | None:
        """Return after how many pieces this answer switches to another request's, or ``None``."""
        with self._lock:
            if self.crossed <= 0:
                return None
            self.crossed -= 1
            return self.crossed_after

    def count_pending(self) -> dict[str, int]:
        """Return how many crossed answers and broken streams are still pending."""
        with self._lock:
            return {"crossed": self.crossed, "broken": int(self.break_stream_after is not None)}

    def take_break_offset(self) -> int | None:
        """Return after how many pieces this stream is aborted, or ``None``, and clear the fault."""
        with self._lock:
            pieces, self.break_stream_after = self.break_stream_after, None
            return pieces


def create_faults(options: EngineOptions) -> EngineFaults:
    """Return the faults that an engine starts with."""
    return EngineFaults(options.event_lag, options.event_loss, options.load_lag)
