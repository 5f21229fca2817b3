"""JSON log lines, prefixed with the component that wrote them."""

from turmericproxy.logs.lines import (
    CollectedLine,
    Part,
    collect_lines,
    configure_logs,
    configure_stdout_logs,
    log_decision,
    log_event,
)

__all__ = [
    "CollectedLine",
    "Part",
    "collect_lines",
    "configure_logs",
    "configure_stdout_logs",
    "log_decision",
    "log_event",
]
