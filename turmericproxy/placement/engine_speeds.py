"""Derive the speed of an engine from the slowdowns that it reports.

A slowdown is the time that work takes on an engine as a multiple of the usual time. Its lasting
part belongs to the machine. Neighbours on the machine raise it for some hundred milliseconds at a
time and never lower it, so a low report replaces the lasting slowdown at once, and a higher one
only if no lower one is reported for some seconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from statistics import median

# Reports that differ by less from what is known change nothing and are not sent to other hosts.
TOLERANCE = 0.1
# Raised reports over this time, and as many, without a lower one are a lasting change. Neighbours
# slow an engine for some hundred milliseconds, and it gets about four requests a second.
RISE_SECONDS = 3.0
RISE_REPORTS = 4
# Time for which a raised report is used: about the length of what neighbours cause.
MOMENTARY_SECONDS = 0.4
# A slowdown that goes on is sent to other hosts again after this time, before they forget it.
RESEND_SECONDS = 0.3
# Bounds of a slowdown as factors of the median of the service. The fastest machines seen take 0.36
# of the time of the slowest; a report below that may be false, and must not draw all requests.
MIN_MEDIAN_FACTOR = 0.4
MAX_MEDIAN_FACTOR = 6.0


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Hold what is known of one start of an engine; times are of the event loop.

    ``raised`` is the newest of ``raised_reports`` reports above the lasting slowdown since
    ``raised_since``, after which no lower one has been seen, and ``least_raised`` the lowest of
    them.
    """

    lasting: float
    raised: float = 0.0
    least_raised: float = 0.0
    raised_since: float = 0.0
    raised_at: float = -math.inf
    raised_reports: int = 0


def record_slowdown(speed: EngineSpeed | None, slowdown: float, now: float) -> EngineSpeed:
    """Return the speed after one more report, of this host or from another one."""
    if speed is None or slowdown < speed.lasting * (1 - TOLERANCE):
        return EngineSpeed(slowdown)
    if slowdown <= speed.lasting * (1 + TOLERANCE):
        return EngineSpeed(speed.lasting) if speed.raised_reports else speed
    if not speed.raised_reports:
        return EngineSpeed(speed.lasting, slowdown, slowdown, now, now, 1)
    reports, least = speed.raised_reports + 1, min(speed.least_raised, slowdown)
    if reports >= RISE_REPORTS and now - speed.raised_since >= RISE_SECONDS:
        return EngineSpeed(least)
    return replace(
        speed, raised=slowdown, least_raised=least, raised_at=now, raised_reports=reports
    )


def is_news(speed: EngineSpeed | None, slowdown: float, now: float) -> bool:
    """Return whether other hosts should be told a report, given what was known before it.

    A usual report is news only after raised ones, since it shows that these are over.
    """
    if speed is None or slowdown < speed.lasting * (1 - TOLERANCE):
        return True
    if slowdown <= speed.lasting * (1 + TOLERANCE):
        return speed.raised_reports > 0
    is_known = abs(slowdown - speed.raised) <= TOLERANCE * speed.raised
    return not is_known or now - speed.raised_at >= RESEND_SECONDS


def estimate_slowdown(speed: EngineSpeed | None, usual: float, now: float) -> float:
    """Return the slowdown to expect now; ``usual`` is the median of the service."""
    if speed is None:
        return usual
    slowdown = speed.raised if now - speed.raised_at < MOMENTARY_SECONDS else speed.lasting
    return min(MAX_MEDIAN_FACTOR * usual, max(MIN_MEDIAN_FACTOR * usual, slowdown))


def estimate_lasting_slowdown(speed: EngineSpeed | None, usual: float) -> float:
    """Return the slowdown to expect for longer; ``usual`` is the median of the service."""
    return estimate_slowdown(speed, usual, math.inf)


def compute_usual_slowdown(speeds: Iterable[EngineSpeed]) -> float:
    """Return the median of the lasting slowdowns; at least one must be given."""
    return median(speed.lasting for speed in speeds)
