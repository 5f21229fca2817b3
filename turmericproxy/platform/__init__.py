"""Reach the platform's service."""

from turmericproxy.platform.client import PlatformClient
from turmericproxy.platform.messages import (
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
    "PlatformClient",
    "Row",
    "Transaction",
    "Write",
]
