"""Keep callers' keys out of everything that is sent to upstreams."""

from collections.abc import Iterable
from urllib.parse import unquote

from turmericproxy.callers.calls import PlainCall
from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.web import HttpRequest

BEARER = "bearer "
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
CREDENTIAL_HEADERS = frozenset({"authorization", "cookie", "x-api-key", "api-key"})


def read_key(request: HttpRequest) -> str | None:
    """Return the key that came with a request."""
    value = request.headers.get("authorization", "")
    if not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip() or None


def select_headers(headers: Iterable[tuple[str, str]], key: str | None) -> dict[str, str]:
    """Return the headers that an upstream may see."""
    hidden = HOP_BY_HOP | CREDENTIAL_HEADERS
    return {
        name: value
        for name, value in headers
        if name not in hidden and not (key and key in unquote(value))
    }


def check_secrecy(call: PlainCall, key: str | None) -> Refusal | None:
    """Refuse a call whose path or body would show the caller's key to an upstream."""
    if key is None:
        return None
    if key in unquote(call.path) or key.encode() in call.body:
        return refuse(ResultCode.KEY_IN_REQUEST, "the path or body holds the caller's key")
    return None
