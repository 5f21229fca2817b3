"""Decode the announcements that a server adds to its answers."""

import math
import re

from turmericproxy.edge import AnswerHead
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice
from turmericproxy.platform import names

SERVICE_UNAVAILABLE = 503
LEAVING_VALUE = "1"
# Bounds the pause that a server can ask for, so that a faulty value doesn't exclude it for good.
MAX_PAUSE_SECONDS = 60.0
# A limit without exponent, sign and separators.
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)
# Longer values are not numbers of requests.
MAX_LIMIT_LENGTH = 40
# Pause after a value that is not a number of seconds.
UNREADABLE_PAUSE_SECONDS = 1.0


def read_notice(head: AnswerHead) -> UpstreamNotice:
    """Return the announcements in the head of an answer."""
    is_leaving = (head.headers.get(names.LEAVING) or "").strip() == LEAVING_VALUE
    retry_after = head.headers.get(names.RETRY_AFTER)
    limit_text = head.headers.get(names.REQUEST_LIMIT)
    has_pause = head.status == SERVICE_UNAVAILABLE and retry_after is not None
    if not has_pause and not is_leaving and limit_text is None:
        return NO_NOTICE
    limit = None if limit_text is None else read_limit(limit_text)
    return UpstreamNotice(
        is_leaving,
        read_pause(retry_after) if has_pause and retry_after is not None else 0.0,
        limit,
        is_limit_unreadable=limit_text is not None and limit is None,
    )


def read_limit(text: str) -> float | None:
    """Return the requests a second in a limit field, ``None`` if it is not a decimal number.

    >>> read_limit(" 1.5 "), read_limit("0"), read_limit("1e3"), read_limit("-1")
    (1.5, 0.0, None, None)
    """
    text = text.strip()
    if len(text) <= MAX_LIMIT_LENGTH and _DECIMAL.fullmatch(text):
        return float(text)
    return None


def read_pause(text: str) -> float:
    """Return the seconds of a Retry-After field, within bounds.

    >>> read_pause("0.25"), read_pause("1e9"), read_pause("soon")
    (0.25, 60.0, 1.0)
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if seconds >= 0:
        if seconds > MAX_PAUSE_SECONDS:
            log_event(Part.PLATFORM, "pause of a server shortened", requested=text[:40])
        return min(MAX_PAUSE_SECONDS, seconds)
    log_event(Part.PLATFORM, "unreadable pause of a server", requested=text[:40])
    return UNREADABLE_PAUSE_SECONDS
