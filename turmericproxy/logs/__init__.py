"""JSON log lines, prefixed with the component that wrote them."""

from turmericproxy.logs.lines import (
    Part,
    configure_logs,
    configure_stdout_logs,
    log_decision,
    log_event,
)

__all__ = ["Part", "configure_logs", "configure_stdout_logs", "log_decision", "log_event"]
