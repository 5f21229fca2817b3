"""Write one answer to a client."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from http import HTTPStatus


class AnswerWriter:
    """Write the head and body of one answer to a client.

    A body without a known length is sent with chunked encoding, or to an HTTP/1.0 client, which
    doesn't support that, until the connection is closed. Aborting an answer closes the connection
    in a way that the client can't mistake for the end of the body.

    ``may_keep_alive`` is called when the head is written, since only then is it known which other
    requests have been read.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        *,
        may_keep_alive: Callable[[], bool],
        is_http_10: bool,
    ) -> None:
        self._transport = transport
        self._is_http_10 = is_http_10
        self._is_chunked = False
        self._remaining_bytes: int | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._may_keep_alive = may_keep_alive
        self.keep_alive = True
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
        """Return whether the transport's write buffer is full."""
        return not self._can_write.is_set()

    def send(self, status: int, fields: Iterable[tuple[str, str]], body: bytes = b"") -> None:
        """Write a complete answer."""
        self.start(status, fields, len(body))
        if body:
            self.write(body)
        self.finish()

    def start(self, status: int, fields: Iterable[tuple[str, str]], length: int | None) -> None:
        """Write the head; ``length`` is the size of the body in bytes, if it is known."""
        self._remaining_bytes = length
        self._is_chunked = length is None and not self._is_http_10
        if not self._may_keep_alive() or (length is None and self._is_http_10):
            self.keep_alive = False
        lines = [f"HTTP/1.1 {status} {_get_reason_phrase(status)}"]
        lines += [f"{name}: {value}" for name, value in fields]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        elif self._is_chunked:
            lines.append("Transfer-Encoding: chunked")
        if not self.keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.status = status
        self._transport.write(head)

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not data:
            return
        if self._is_chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            if self._remaining_bytes is not None:
                self._remaining_bytes -= len(data)
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the transport's write buffer has room."""
        await self._can_write.wait()

    def finish(self) -> None:
        """Complete the answer, or abort it if the body is shorter than the announced length."""
        if self._remaining_bytes:
            self.abort()
            return
        if self._is_chunked:
            self._transport.write(b"0\r\n\r\n")
        self.is_finished = True

    def abort(self) -> None:
        """Close the connection without completing the answer.

        If only the end of the connection marks the end of the body, the connection is reset: an
        ordinary close would make the body look complete.
        """
        if self.is_started and not self._is_chunked and self._remaining_bytes is None:
            reset_on_close = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
        self.keep_alive = False
        self.is_finished = True
        self._transport.abort()

    def pause(self) -> None:
        """Make ``drain`` wait, since the transport's write buffer is full."""
        self._can_write.clear()

    def resume(self) -> None:
        """Let ``drain`` return, since the write buffer has room again."""
        self._can_write.set()


def _get_reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
