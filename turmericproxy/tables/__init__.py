"""Access the platform's table service, which stores durable state."""

from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Condition,
    Conflict,
    HostEntry,
    HostList,
    HostState,
    Row,
    Transaction,
    Write,
)

__all__ = [
    "AnswerLost",
    "Committed",
    "Condition",
    "Conflict",
    "HostEntry",
    "HostList",
    "HostState",
    "Row",
    "Transaction",
    "Write",
]
