"""Keep callers' keys out of everything that is sent to upstreams."""

import re
from collections.abc import Iterable
from functools import singledispatch
from urllib.parse import unquote

from turmericproxy.callers.calls import Call, ChatCall, PlainCall
from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.edge.messages import HOP_BY_HOP
from turmericproxy.web import HttpRequest

BEARER = "bearer "
JSON_ESCAPE = re.compile(r"\\u([0-9a-fA-F]{4})")
# Fields that concern one connection, or that the client towards the upstream writes itself.
CONNECTION_HEADERS = HOP_BY_HOP | {"content-length", "expect", "host"}
CREDENTIAL_HEADERS = frozenset({"authorization", "cookie", "x-api-key", "api-key"})


def read_key(request: HttpRequest) -> str | None:
    """Return the key that came with a request."""
    value = request.headers.get("authorization", "")
    if not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip() or None


def select_headers(headers: Iterable[tuple[str, str]], key: str | None) -> dict[str, str]:
    """Return the headers that an upstream may see."""
    hidden = CONNECTION_HEADERS | CREDENTIAL_HEADERS
    return {
        name: value
        for name, value in headers
        if name not in hidden and not (key and key in unquote(value))
    }


def check_secrecy(call: Call, key: str | None) -> Refusal | None:
    """Refuse a call whose texts would show the caller's key to an upstream."""
    if key is None or not any(_holds_key(text, key) for text in list_texts(call)):
        return None
    return refuse(ResultCode.KEY_IN_REQUEST, "the path, the body or the prompt holds the key")


@singledispatch
def list_texts(call: Call) -> tuple[str, ...]:
    """Return the texts of a call that an upstream would see, headers apart."""
    raise TypeError(f"no texts are known for {type(call).__name__}")


@list_texts.register
def _(call: PlainCall) -> tuple[str, ...]:
    return call.path, call.body.decode("utf-8", "replace")


@list_texts.register
def _(call: ChatCall) -> tuple[str, ...]:
    return (call.prompt,)


def _holds_key(text: str, key: str) -> bool:
    if key in text or ("%" in text and key in unquote(text)):
        return True
    return "\\u" in text and key in JSON_ESCAPE.sub(_decode_escape, text)


def _decode_escape(match: re.Match[str]) -> str:
    return chr(int(match[1], 16))
