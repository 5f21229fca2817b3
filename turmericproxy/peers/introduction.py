"""Read the first frame of a connection, which must be a heartbeat of bounded size."""

import socket
import time
from typing import Any

import msgpack

HEARTBEAT_KIND = "heartbeat"
# Names have at most 63 characters and the digest holds three short values, so that a heartbeat
# takes less than half of this.
MAX_INTRODUCTION_BYTES = 1024
# A frame is an array of three. The unpacker allocates an array from its header alone: without this
# bound, nested headers in 1 KB would allocate several MB.
MAX_ARRAY_ITEMS = 16


def receive_introduction(sock: socket.socket, timeout: float) -> bytes | None:
    """Return the received bytes, which start with a heartbeat, or ``None`` without a valid one.

    ``timeout`` limits the whole introduction, in seconds. The timeout of the socket is changed.
    """
    deadline = time.monotonic() + timeout
    received = b""
    while len(received) < MAX_INTRODUCTION_BYTES:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return None
        try:
            sock.settimeout(remaining)
            data = sock.recv(MAX_INTRODUCTION_BYTES - len(received))
        except OSError:
            return None
        if not data:
            return None
        received += data
        unpacker = msgpack.Unpacker(
            raw=False, max_buffer_size=MAX_INTRODUCTION_BYTES, max_array_len=MAX_ARRAY_ITEMS
        )
        unpacker.feed(received)
        try:
            return received if _is_heartbeat(unpacker.unpack()) else None
        except msgpack.OutOfData:
            continue
        except (ValueError, TypeError, msgpack.UnpackException):
            return None
    return None


def _is_heartbeat(frame: Any) -> bool:
    if not isinstance(frame, list) or len(frame) != 3:
        return False
    kind, call_id, body = frame
    return kind == HEARTBEAT_KIND and isinstance(call_id, int) and read_host(body) is not None


def read_host(body: Any) -> str | None:
    """Return the name of the host that sent a heartbeat, or ``None`` if its body is malformed."""
    host = body.get("host") if isinstance(body, dict) else None
    return host if isinstance(host, str) and host else None
