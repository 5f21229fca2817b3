"""Write one answer to a client."""

import asyncio
import socket
import struct
from collections.abc import Iterable
from http import HTTPStatus


class AnswerWriter:
    """Write the head and body of one answer; without a length the body is sent in chunks.

    An answer that is aborted closes the connection, so that it can't look complete.
    """

    def __init__(self, transport: asyncio.Transport, *, keep_alive: bool, is_http_10: bool) -> None:
        self._transport = transport
        self._is_http_10 = is_http_10
        self._is_chunked = False
        self._left: int | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.keep_alive = keep_alive
        self.status: int | None = None
        self.is_finished = False

    @property
    def is_started(self) -> bool:
        """Return whether the head has been written."""
        return self.status is not None

    @property
    def connection(self) -> socket.socket:
        """Return the socket of the client."""
        sock: socket.socket = self._transport.get_extra_info("socket")
        return sock

    @property
    def is_paused(self) -> bool:
        """Return whether the client reads slower than is written."""
        return not self._can_write.is_set()

    def send(self, status: int, fields: Iterable[tuple[str, str]], body: bytes = b"") -> None:
        """Write a whole answer."""
        self.start(status, fields, len(body))
        if body:
            self.write(body)
        self.finish()

    def start(self, status: int, fields: Iterable[tuple[str, str]], length: int | None) -> None:
        """Write the head; ``length`` is the size of the body in bytes, if it is known."""
        self.status = status
        self._left = length
        self._is_chunked = length is None and not self._is_http_10
        if length is None and self._is_http_10:
            self.keep_alive = False
        lines = [f"HTTP/1.1 {status} {_get_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        elif self._is_chunked:
            lines.append("Transfer-Encoding: chunked")
        if not self.keep_alive:
            lines.append("Connection: close")
        self._transport.write("\r\n".join([*lines, "", ""]).encode("latin-1"))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data:
            return
        if self._is_chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            if self._left is not None:
                self._left -= len(data)
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the client has taken enough of what was written."""
        await self._can_write.wait()

    def finish(self) -> None:
        """End the answer as complete."""
        if self._left:
            self.abort()
            return
        if self._is_chunked:
            self._transport.write(b"0\r\n\r\n")
        self.is_finished = True

    def abort(self) -> None:
        """Close the connection without an end of the answer.

        A body that ends with its connection needs a reset, or it would look complete.
        """
        if self.is_started and not self._is_chunked and self._left is None:
            linger = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.keep_alive = False
        self.is_finished = True
        self._transport.abort()

    def pause(self) -> None:
        """Let ``drain`` wait; the transport's buffer is full."""
        self._can_write.clear()

    def resume(self) -> None:
        """Let ``drain`` return."""
        self._can_write.set()


def _get_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
