"""Define the numbered result codes that callers and operators receive."""

from dataclasses import dataclass
from enum import Enum, IntEnum


class RunState(Enum):
    """Whether a refused request may have run at an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Code of a result; the hundreds digit groups the codes by subsystem."""

    OK = 0

    BAD_REQUEST = 100
    BODY_TOO_LARGE = 101
    UNKNOWN_ROUTE = 102
    UNKNOWN_MODEL = 103
    METHOD_NOT_ALLOWED = 104
    KEY_IN_REQUEST = 106
    REQUEST_TIMEOUT = 107

    KEY_MISSING = 200
    KEY_UNKNOWN = 201
    KEY_WITHDRAWN = 202
    ACCOUNT_NOT_ALLOWED = 203
    KEYS_TOO_OLD = 204

    RATE_EXCEEDED = 300
    REQUEST_OVER_BURST = 301
    OVERLOADED = 302
    DEADLINE_UNREACHABLE = 303
    DRAINING = 304
    PROMPT_BLOCKED = 305
    UPSTREAMS_LIMITED = 306

    NO_UPSTREAM = 400
    UPSTREAM_FAILED = 401
    UPSTREAM_TIMEOUT = 402
    STREAM_BROKEN = 403

    CLAIM_IN_PROGRESS = 500
    CLAIM_OTHER_BODY = 501
    CLAIM_UNAVAILABLE = 502
    OUTCOME_UNKNOWN = 503

    RESOURCE_INVALID = 600
    RESOURCE_NOT_FOUND = 601
    RESOURCE_CONFLICT = 602
    RESOURCE_IN_USE = 603
    CHANGE_UNKNOWN = 604
    PLATFORM_UNAVAILABLE = 605

    SETTINGS_INVALID = 700

    INTERNAL_ERROR = 900


HTTP_STATUS: dict[ResultCode, int] = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.UNKNOWN_MODEL: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.KEY_IN_REQUEST: 400,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.KEY_MISSING: 401,
    ResultCode.KEY_UNKNOWN: 401,
    ResultCode.KEY_WITHDRAWN: 401,
    ResultCode.ACCOUNT_NOT_ALLOWED: 403,
    ResultCode.KEYS_TOO_OLD: 503,
    ResultCode.RATE_EXCEEDED: 429,
    ResultCode.REQUEST_OVER_BURST: 413,
    ResultCode.OVERLOADED: 503,
    ResultCode.DEADLINE_UNREACHABLE: 503,
    ResultCode.DRAINING: 503,
    ResultCode.PROMPT_BLOCKED: 503,
    ResultCode.UPSTREAMS_LIMITED: 503,
    ResultCode.NO_UPSTREAM: 503,
    ResultCode.UPSTREAM_FAILED: 502,
    ResultCode.UPSTREAM_TIMEOUT: 504,
    ResultCode.STREAM_BROKEN: 502,
    ResultCode.CLAIM_IN_PROGRESS: 409,
    ResultCode.CLAIM_OTHER_BODY: 422,
    ResultCode.CLAIM_UNAVAILABLE: 503,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.RESOURCE_INVALID: 422,
    ResultCode.RESOURCE_NOT_FOUND: 404,
    ResultCode.RESOURCE_CONFLICT: 409,
    ResultCode.RESOURCE_IN_USE: 409,
    ResultCode.CHANGE_UNKNOWN: 503,
    ResultCode.PLATFORM_UNAVAILABLE: 503,
    ResultCode.SETTINGS_INVALID: 422,
    ResultCode.INTERNAL_ERROR: 500,
}


# Statuses that tell callers that their request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Refusal:
    """Reason why a request was not answered, and whether it may have run.

    Functions return a refusal in place of their result; exceptions are for program faults only.
    ``retry_after`` is in seconds.
    """

    code: ResultCode
    reason: str
    run: RunState = RunState.NOT_RUN
    retry_after: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status of the code."""
        return HTTP_STATUS[self.code]


def refuse(
    code: ResultCode,
    reason: str,
    run: RunState = RunState.NOT_RUN,
    retry_after: float | None = None,
) -> Refusal:
    """Return a refusal; by default the request has not run.

    >>> refuse(ResultCode.KEY_MISSING, "no key was sent").http_status
    401
    """
    return Refusal(code, reason, run, retry_after)
