"""Define what an upstream reports of its load in its answers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold one report of an upstream: requests running and waiting, and its slots.

    ``slowdown`` is how long work takes there at this moment as a multiple of the usual time, or
    ``None`` if the upstream does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
