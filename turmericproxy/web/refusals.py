"""Write refusals as answers."""

import math
from functools import singledispatch
from typing import Any

from turmericproxy.core import Refusal
from turmericproxy.web.server import HttpResponse, create_json_response


@singledispatch
def describe_details(refusal: Refusal) -> dict[str, Any]:
    """Return what a refusal says beyond its code and reason; parts register their own kinds."""
    return {}


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the body of a refusal."""
    error = {
        "code": int(refusal.code),
        "name": refusal.code.name.lower(),
        "reason": refusal.reason,
        "run": refusal.run.value,
        **describe_details(refusal),
    }
    return {"error": error}


def create_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the answer that tells of a refusal, with advice on when to come back."""
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return create_json_response(refusal.http_status, describe_refusal(refusal), headers)
