"""Decode the load that a server reports in its answers."""

from turmericproxy.edge import AnswerHead
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.load_reports import LoadReport
from turmericproxy.platform import names

# Number that a server reports while work takes the usual time.
USUAL_PERCENT = 100
# Reports outside of this range are faulty: servers of one service differ by less than a factor of
# ten, and neighbours slow them by two and a half.
PERCENT_RANGE = range(5, 5001)
# Counts above this one are faulty; no server has as many slots.
MAX_COUNT = 1_000_000
FIELD_COUNTS = (3, 4)
# Longer fields are not parsed, and only this much of a field is logged.
MAX_FIELD_LENGTH = 40
# Servers for which a faulty field has been logged; with more of them nothing further is logged.
MAX_LOGGED_SERVERS = 1024


class LoadReportReader:
    """Decode load fields; the first faulty one of each server is logged."""

    def __init__(self) -> None:
        self._logged: set[str | None] = set()

    def read(self, head: AnswerHead) -> LoadReport | None:
        """Return the report in the head of an answer, ``None`` if there is no valid one."""
        text = head.headers.get(names.LOAD)
        if text is None:
            return None
        report = parse_load(text)
        server = head.headers.get(names.INSTANCE)
        if report is None and server not in self._logged and len(self._logged) < MAX_LOGGED_SERVERS:
            self._logged.add(server)
            log_event(
                Part.PLATFORM,
                "unreadable load of a server",
                upstream=server,
                reported=text[:MAX_FIELD_LENGTH],
            )
        return report


def parse_load(text: str) -> LoadReport | None:
    """Return the load in a field, ``None`` if a figure is malformed or out of range.

    >>> parse_load("3,0,8").slowdown, parse_load("3,0,8,160").slowdown, parse_load("3,0,8,0")
    (None, 1.6, None)
    """
    figures = [figure.strip() for figure in text.split(",")]
    is_number = all(figure.isascii() and figure.isdecimal() for figure in figures)
    if len(text) > MAX_FIELD_LENGTH or len(figures) not in FIELD_COUNTS or not is_number:
        return None
    running, waiting, slots, *percents = (int(figure) for figure in figures)
    if max(running, waiting, slots) > MAX_COUNT or any(p not in PERCENT_RANGE for p in percents):
        return None
    return LoadReport(running, waiting, slots, percents[0] / USUAL_PERCENT if percents else None)
