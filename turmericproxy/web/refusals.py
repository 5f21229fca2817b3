"""Write refusals as answers."""

import math

from turmericproxy.core import Refusal
from turmericproxy.web.error_bodies import describe_refusal
from turmericproxy.web.server import HttpResponse, create_json_response


def create_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the answer that tells of a refusal, with advice on when to come back."""
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return create_json_response(refusal.http_status, describe_refusal(refusal), headers)
