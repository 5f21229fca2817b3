"""Encode the requests that the host itself sends to the platform and to engines."""

# Header line of requests whose connection is not reused.
CONNECTION_CLOSE = "Connection: close"


def encode_request(
    method: str, target: str, address: str, *fields: str, content: bytes | None = None
) -> bytes:
    """Return the bytes of a request; ``fields`` are header lines, ``content`` is encoded JSON."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", *fields]
    if content is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (content or b"")
