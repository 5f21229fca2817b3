"""Build the bodies of error answers."""

from functools import singledispatch
from typing import Any

from turmericproxy.core import Refusal


@singledispatch
def describe_details(refusal: Refusal) -> dict[str, Any]:
    """Return the additional fields of a refusal; packages register their own subclasses."""
    return {}


def describe_refusal(refusal: Refusal) -> dict[str, Any]:
    """Return the error answer's body for a refusal, ready for JSON."""
    error = {
        "code": int(refusal.code),
        "name": refusal.code.name.lower(),
        "reason": refusal.reason,
        "run": refusal.run.value,
        **describe_details(refusal),
    }
    return {"error": error}
