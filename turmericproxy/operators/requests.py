"""Parse and validate requests to the operator API."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from turmericproxy.configuration.changes import MUST_NOT_EXIST, refuse_faults
from turmericproxy.configuration.resources import FieldFault, Kind
from turmericproxy.core.documents import decode_json
from turmericproxy.core.ids import Revision
from turmericproxy.core.results import Refusal, ResultCode, refuse
from turmericproxy.web import HttpRequest

MAX_BODY_BYTES = 256 * 1024
BEARER_PREFIX = "bearer "
NON_SPEC_FIELDS = ("kind", "name", "revision")


@dataclass(frozen=True)
class Precondition:
    """Hold the resource version that a change requires; ``None`` sets no condition."""

    version: Revision | None


def read_key(request: HttpRequest) -> str | None:
    """Return the bearer key of a request, or ``None`` without bearer authorization."""
    value = request.headers.get("authorization", "")
    return value[len(BEARER_PREFIX) :].strip() if value.lower().startswith(BEARER_PREFIX) else None


def parse_object(request: HttpRequest) -> dict[str, Any] | Refusal:
    """Return the JSON object in the body, or a refusal if there is none."""
    body = request.read_body(MAX_BODY_BYTES)
    if body is None:
        return refuse(ResultCode.BODY_TOO_LARGE, f"the body is longer than {MAX_BODY_BYTES} bytes")
    try:
        value = decode_json(body)
    except ValueError as error:
        return refuse(ResultCode.BAD_REQUEST, f"the body is not valid JSON: {error}")
    if not isinstance(value, dict):
        return refuse(ResultCode.BAD_REQUEST, "the body is not a JSON object")
    return value


def parse_kind(text: str) -> Kind | Refusal:
    """Return the resource kind of that name, or a refusal that lists the kinds."""
    try:
        return Kind(text)
    except ValueError:
        known = ", ".join(kind.value for kind in Kind)
        reason = f"unknown resource kind {text!r}; known kinds: {known}"
        return refuse(ResultCode.RESOURCE_NOT_FOUND, reason)


def parse_spec(kind: Kind, name: str, body: Mapping[str, Any]) -> dict[str, Any] | Refusal:
    """Return the resource's own fields; a kind or name in the body must match the path.

    A ``revision``, as the API's answers contain it, is ignored: the precondition is in the headers.
    """
    expected = {"kind": kind.value, "name": name}
    faults = tuple(
        FieldFault(field, f"differs from {wanted!r} in the path")
        for field, wanted in expected.items()
        if body.get(field, wanted) != wanted
    )
    if faults:
        return refuse_faults(faults)
    return {field: value for field, value in body.items() if field not in NON_SPEC_FIELDS}


def parse_precondition(headers: Mapping[str, str]) -> Precondition | Refusal:
    """Return the version in ``If-Match``, or ``MUST_NOT_EXIST`` for ``If-None-Match: *``."""
    if headers.get("if-none-match") == "*":
        return Precondition(MUST_NOT_EXIST)
    if "if-none-match" in headers:
        return refuse(ResultCode.BAD_REQUEST, 'If-None-Match allows only "*"')
    if "if-match" not in headers:
        return Precondition(None)
    version = headers["if-match"].strip().strip('"')
    if not version.isdecimal():
        return refuse(ResultCode.BAD_REQUEST, "If-Match must be one quoted version")
    return Precondition(Revision(int(version)))


def parse_number(query: Mapping[str, str], name: str, default: float) -> float | Refusal:
    """Return a finite, non-negative number from the query."""
    try:
        value = float(query.get(name, default))
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        return refuse(ResultCode.BAD_REQUEST, f"{name} must be a finite number of at least 0")
    return value
