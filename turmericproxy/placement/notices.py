"""Define what an upstream announces about itself in its answers, besides the answers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """Hold the announcements of one answer.

    An upstream with ``is_leaving`` takes no new requests until it has restarted. One with
    ``pause_seconds`` above 0 asks this host to send it nothing for that time. ``request_limit`` is
    the number of requests a second that it takes from all hosts together, ``None`` if it names
    none; with ``is_limit_unreadable`` it names one that can't be read.
    """

    is_leaving: bool = False
    pause_seconds: float = 0.0
    request_limit: float | None = None
    is_limit_unreadable: bool = False


NO_NOTICE = UpstreamNotice()
