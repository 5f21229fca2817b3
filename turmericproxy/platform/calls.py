"""Write the short requests that this host sends in its own name."""

# A field of requests on a connection of their own.
CLOSE = "Connection: close"


def write_call(
    method: str, target: str, address: str, *fields: str, content: bytes | None = None
) -> bytes:
    """Return the bytes of a request with some header fields, and with JSON if there is any."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", *fields]
    if content is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (content or b"")
