"""Write refusals as answers to callers."""

import math
from typing import Any

from turmericproxy.core import Refusal
from turmericproxy.web import HttpResponse, create_json_response


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the body of a refusal."""
    return {
        "error": {
            "code": int(refusal.code),
            "name": refusal.code.name.lower(),
            "reason": refusal.reason,
            "run": refusal.run.value,
        }
    }


def create_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the answer that tells a caller of a refusal."""
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return create_json_response(refusal.http_status, describe_refusal(refusal), headers)
