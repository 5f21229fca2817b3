"""Prevent callers' keys from being sent to upstreams."""

import re
from collections.abc import Iterable
from functools import singledispatch
from urllib.parse import unquote

from turmericproxy.callers.calls import Call, ChatCall, PlainCall
from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.edge.messages import HOP_BY_HOP
from turmericproxy.web import HttpRequest

BEARER_PREFIX = "bearer "
JSON_ESCAPE = re.compile(r"\\u([0-9a-fA-F]{4})")
# Headers that apply to one connection, or that the HTTP client for the upstream sets itself.
CONNECTION_HEADERS = HOP_BY_HOP | {"content-length", "expect", "host"}
CREDENTIAL_HEADERS = frozenset({"authorization", "cookie", "x-api-key", "api-key"})


def read_key(request: HttpRequest) -> str | None:
    """Return the bearer key of a request, or ``None`` if it has none."""
    value = request.headers.get("authorization", "")
    if not value.lower().startswith(BEARER_PREFIX):
        return None
    return value[len(BEARER_PREFIX) :].strip() or None


def select_headers(headers: Iterable[tuple[str, str]], key: str | None) -> dict[str, str]:
    """Return the headers to forward to an upstream, without credentials."""
    excluded = CONNECTION_HEADERS | CREDENTIAL_HEADERS
    return {
        name: value
        for name, value in headers
        if name not in excluded and not (key and key in unquote(value))
    }


def check_key_exposure(call: Call, key: str | None) -> Refusal | None:
    """Refuse a call that would expose the caller's key to an upstream."""
    if key is None or not any(_contains_key(text, key) for text in list_forwarded_texts(call)):
        return None
    return refuse(ResultCode.KEY_IN_REQUEST, "the path, the body or the prompt contains the key")


@singledispatch
def list_forwarded_texts(call: Call) -> tuple[str, ...]:
    """Return the texts of a call, except its headers, that are forwarded to an upstream."""
    raise TypeError(f"no forwarded texts for {type(call).__name__}")


@list_forwarded_texts.register
def _(call: PlainCall) -> tuple[str, ...]:
    return call.path, call.body.decode("utf-8", "replace")


@list_forwarded_texts.register
def _(call: ChatCall) -> tuple[str, ...]:
    return (call.prompt,)


def _contains_key(text: str, key: str) -> bool:
    if key in text or ("%" in text and key in unquote(text)):
        return True
    return "\\u" in text and key in JSON_ESCAPE.sub(_decode_escape, text)


def _decode_escape(match: re.Match[str]) -> str:
    return chr(int(match[1], 16))
