"""Describe refusals in the bodies of answers."""

from functools import singledispatch
from typing import Any

from turmericproxy.core import Refusal


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
