"""Provide the identifiers, result codes and clocks that all packages use."""

from turmericproxy.core.clock import PauseDetector, read_boottime
from turmericproxy.core.ids import (
    AccountName,
    AttemptId,
    DomainName,
    EngineName,
    HostName,
    Incarnation,
    KeyId,
    ModelName,
    RequestId,
    Revision,
    RouteName,
    UpstreamName,
    create_id,
)
from turmericproxy.core.results import Refusal, ResultCode, RunState, refuse

__all__ = [
    "AccountName",
    "AttemptId",
    "DomainName",
    "EngineName",
    "HostName",
    "Incarnation",
    "KeyId",
    "ModelName",
    "PauseDetector",
    "Refusal",
    "RequestId",
    "ResultCode",
    "Revision",
    "RouteName",
    "RunState",
    "UpstreamName",
    "create_id",
    "read_boottime",
    "refuse",
]
