"""Read and check what operators send."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration.changes import MUST_NOT_EXIST, refuse_faults
from turmericproxy.configuration.resources import FieldFault, Kind
from turmericproxy.core.ids import Revision
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.web import HttpRequest

BODY_BYTES = 256 * 1024
BEARER = "bearer "
PATH_FIELDS = ("kind", "name", "revision")


@dataclass(frozen=True)
class Precondition:
    """Hold the version that a change requires; ``None`` requires nothing."""

    version: Revision | None


def read_secret(request: HttpRequest) -> str | None:
    """Return the key that came with the request."""
    value = request.headers.get("authorization", "")
    return value[len(BEARER) :].strip() if value.lower().startswith(BEARER) else None


def read_object(request: HttpRequest) -> dict[str, Any] | Refusal:
    """Return the JSON object in the body."""
    body = request.read_body(BODY_BYTES)
    if body is None:
        return refuse(ResultCode.BODY_TOO_LARGE, f"the body is longer than {BODY_BYTES} bytes")
    try:
        value = json.loads(body)
    except ValueError as error:
        return refuse(ResultCode.BAD_REQUEST, f"the body is not JSON: {error}")
    if not isinstance(value, dict):
        return refuse(ResultCode.BAD_REQUEST, "the body is not a JSON object")
    return value


def read_kind(text: str) -> Kind | Refusal:
    """Return the kind of resource of that name."""
    try:
        return Kind(text)
    except ValueError:
        known = ", ".join(kind.value for kind in Kind)
        reason = f"there is no kind {text!r}; the kinds are {known}"
        return refuse(ResultCode.RESOURCE_NOT_FOUND, reason)


def read_spec(kind: Kind, name: str, body: Mapping[str, Any]) -> dict[str, Any] | Refusal:
    """Return the resource's fields; a kind and name in the body must be those of the path.

    A ``revision``, as in the answers, is ignored: the precondition is in the headers.
    """
    expected = {"kind": kind.value, "name": name}
    faults = tuple(
        FieldFault(field, f"is not {wanted!r} as in the path")
        for field, wanted in expected.items()
        if body.get(field, wanted) != wanted
    )
    if faults:
        return refuse_faults(faults)
    return {field: value for field, value in body.items() if field not in PATH_FIELDS}


def read_precondition(headers: Mapping[str, str]) -> Precondition | Refusal:
    """Return the version in ``If-Match``, or that of nothing for ``If-None-Match: *``."""
    if headers.get("if-none-match") == "*":
        return Precondition(MUST_NOT_EXIST)
    if "if-none-match" in headers:
        return refuse(ResultCode.BAD_REQUEST, 'If-None-Match takes "*" only')
    if "if-match" not in headers:
        return Precondition(None)
    version = headers["if-match"].strip().strip('"')
    if not version.isdecimal():
        return refuse(ResultCode.BAD_REQUEST, "If-Match takes one quoted version")
    return Precondition(Revision(int(version)))


def read_number(query: Mapping[str, str], name: str, default: float) -> float | Refusal:
    """Return a number of the query that is 0 or more."""
    try:
        value = float(query.get(name, default))
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        return refuse(ResultCode.BAD_REQUEST, f"{name} is not a number of 0 or more")
    return value
