"""Write JSON log lines with a fixed prefix for each part."""

from turmericproxy.logs.lines import (
    Part,
    configure_logs,
    configure_stdout_logs,
    log_decision,
    log_event,
)

__all__ = ["Part", "configure_logs", "configure_stdout_logs", "log_decision", "log_event"]
