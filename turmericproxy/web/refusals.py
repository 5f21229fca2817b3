"""Turn refusals into HTTP answers."""

import math

from turmericproxy.core import Refusal
from turmericproxy.web.error_bodies import describe_refusal
from turmericproxy.web.server import HttpResponse, create_json_response


def create_refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the error answer for a refusal, with ``Retry-After`` if the refusal has a time."""
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return create_json_response(refusal.http_status, describe_refusal(refusal), headers)
