"""Run the background tasks of a host."""

from turmericproxy.tasks.repetition import repeat

__all__ = ["repeat"]
