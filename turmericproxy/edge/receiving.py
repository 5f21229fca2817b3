"""Provide one receive buffer for each event loop."""

import threading

# Bytes that are read at once from a connection that sends a body, and from one that sends a head:
# what follows a head is held until the next request may begin.
BODY_RECEIVE_BYTES = 64 * 1024
HEAD_RECEIVE_BYTES = 16 * 1024


class _ReceiveBuffer(threading.local):
    """Hold what is read from a connection until it is processed, at once."""

    def __init__(self) -> None:
        self.body = memoryview(bytearray(BODY_RECEIVE_BYTES))
        self.head = self.body[:HEAD_RECEIVE_BYTES]


_receive_buffer = _ReceiveBuffer()


def get_receive_buffer(*, is_body: bool) -> memoryview:
    """Return the buffer of this thread, which is used again for the next connection."""
    return _receive_buffer.body if is_body else _receive_buffer.head
