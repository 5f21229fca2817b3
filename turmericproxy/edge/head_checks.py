"""Check heads for what two programs could read in two ways."""

import httptools

from turmericproxy.edge.messages import Headers


def read_length(headers: Headers) -> int:
    """Return the announced length of a body in bytes, 0 without one."""
    return int(headers.get("content-length") or 0)


def is_chunked(headers: Headers) -> bool:
    """Return whether a body is chunked; the parser accepts no other coding."""
    return headers.get("transfer-encoding") is not None


def is_head_valid(
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: Headers,
    singleton_fields: tuple[str, ...],
) -> bool:
    """Return whether a head is unambiguous; ``singleton_fields`` may occur only once."""
    is_http_11 = parser.get_http_version() == "1.1"
    if headers.count("host") != 1 and is_http_11:
        return False
    if not target.startswith(b"/"):
        return False
    if parser.should_upgrade() and (read_length(headers) > 0 or is_chunked(headers)):
        return False  # the parser would not read the body
    return all(headers.count(name) <= 1 for name in singleton_fields)
