"""Reach the table service that keeps what must last."""

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
