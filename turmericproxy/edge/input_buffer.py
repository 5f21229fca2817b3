"""Hold what a client has sent until its next request may be parsed, and parse one at a time."""

import re
from collections.abc import Callable

import httptools

# Bytes that a head may have in addition to its limit, which counts target and fields: the method,
# the version and the ends of lines.
HEAD_SLACK_BYTES = 64
# Estimated size of the objects of one parsed header field beyond its text: two strings, a tuple,
# and the field's entry in the index by name.
FIELD_BYTES = 400
# Bytes in which the end of a line of a chunked body's framing is looked for at once.
LINE_SLICE_BYTES = 256
# A head ends with an empty line. Line feeds without carriage return are found too: the parser
# refuses them, while waiting for the rest of the head would end in a timeout.
_HEAD_END = re.compile(rb"\n\r?\n")
_EMPTY_LINES = re.compile(rb"[\r\n]*")


class InputTooLargeError(Exception):
    """Report a head, empty lines or the framing of a body above the limit of a head."""


class InputBuffer:
    """Split the input of a connection into requests, and feed them to a parser.

    An unfinished head stays in bytes: the parser keeps the fields of a head as objects that take
    up to a hundred times the space, and bounds neither their number nor the length of an
    unfinished one. ``callbacks`` are those of ``httptools``; it must call ``begin_body``,
    ``record_body`` and ``end_message``.
    """

    def __init__(self, callbacks: object) -> None:
        self._callbacks = callbacks
        self.parser = httptools.HttpRequestParser(callbacks)
        self._raw = bytearray()
        self._searched_bytes = 0
        self._empty_bytes = 0
        self._is_in_body = False
        # Bytes of the body that are still to come, or ``None`` if the body is chunked.
        self._body_left: int | None = 0
        self._framing_bytes = 0
        # Bytes of a chunk's data and of the end of its line that are still to come, or ``None``
        # after the last chunk.
        self._chunk_left: int | None = 0
        self._line = b""
        self._is_closed = False
        self.is_head_waiting = False

    @property
    def size(self) -> int:
        """Return the number of bytes that are held."""
        return len(self._raw)

    @property
    def is_in_body(self) -> bool:
        """Return whether the head of a request is parsed and its body is not complete."""
        return self._is_in_body

    def add(self, data: bytes | memoryview, head_limit: int) -> None:
        """Parse received bytes that belong to a body, and hold the others."""
        if self._is_in_body and not self._raw:
            data = self._feed_body(memoryview(data), head_limit)
        if not self._is_closed:
            self._raw += data

    def advance(self, head_limit: int, may_begin: Callable[[int], bool]) -> bool:
        """Parse the next part of what is held; return whether there was any.

        ``may_begin`` is called with the estimated size of the next request's head, in bytes, and
        returns whether it may be parsed now. Raise ``InputTooLargeError`` or
        ``httptools.HttpParserError`` if the request must be refused.
        """
        if not self._raw:
            return False
        if self._is_in_body:
            data, self._raw = bytes(self._raw), bytearray()
            rest = self._feed_body(memoryview(data), head_limit)
            if not self._is_closed:
                self._raw += rest
            return True
        return self._advance_head(head_limit, may_begin)

    def begin_body(self, length: int | None) -> None:
        """Record that a head is complete; ``length`` is that of its body, ``None`` if chunked."""
        self._is_in_body = True
        self._body_left = length
        self._framing_bytes = 0
        self._chunk_left = 0
        self._line = b""

    def record_body(self) -> None:
        """Record that a part of the body was parsed."""
        self._framing_bytes = 0

    def end_message(self) -> None:
        """Record that a request is complete."""
        self._is_in_body = False

    def close(self) -> None:
        """Drop what is held, and parse nothing more."""
        self._is_closed = True
        self._is_in_body = self.is_head_waiting = False
        self._raw = bytearray()

    def _advance_head(self, head_limit: int, may_begin: Callable[[int], bool]) -> bool:
        raw, most = self._raw, head_limit + HEAD_SLACK_BYTES
        if raw[0] in b"\r\n":
            self._skip_empty_lines()
            if self._empty_bytes > most:
                raise InputTooLargeError
            if not raw:
                return False
        end = _HEAD_END.search(raw, max(0, self._searched_bytes - 2))
        size = end.end() if end else len(raw)
        if size > most:
            raise InputTooLargeError
        if end is None:
            self._searched_bytes = size
            if not raw[:1].isalpha():
                self.parser.feed_data(bytes(raw))  # no request line: raises an error
                raise httptools.HttpParserError("no request line")
            return False
        self.is_head_waiting = not may_begin(size + FIELD_BYTES * raw.count(b"\n", 0, size))
        if self.is_head_waiting:
            return False
        head = bytes(memoryview(raw)[:size])
        del raw[:size]
        self._searched_bytes = self._empty_bytes = 0
        self._feed_head(head)
        return True

    def _skip_empty_lines(self) -> None:
        found = _EMPTY_LINES.match(self._raw)
        size = found.end() if found else 0
        self._empty_bytes += size
        del self._raw[:size]
        self._searched_bytes = 0

    def _feed_head(self, head: bytes) -> None:
        self._is_in_body = True  # until the parser has found the end of the message
        self._body_left = 0
        try:
            self.parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            # No upgrade is accepted: HTTP follows a request that offers one.
            self.parser = httptools.HttpRequestParser(self._callbacks)
        if self._is_in_body and self._body_left == 0:
            raise httptools.HttpParserError("the head has no end")

    def _feed_body(self, data: memoryview, head_limit: int) -> memoryview:
        """Parse input up to the end of the request at most; return the rest."""
        while data and self._is_in_body:
            if self._body_left is not None:
                size = min(self._body_left, len(data))
                self._body_left -= size
                self.parser.feed_data(data[:size])
            elif self._chunk_left:
                size = min(self._chunk_left, len(data))
                self._chunk_left -= size
                self.parser.feed_data(data[:size])
            else:
                size = self._feed_line(data, head_limit)
            data = data[size:]
        return data

    def _feed_line(self, data: memoryview, head_limit: int) -> int:
        """Parse up to the end of a line of a chunked body's framing; return the size in bytes.

        The sizes of chunks are read here to find the end of the body; the parser checks them.
        """
        if self._framing_bytes > head_limit:
            raise InputTooLargeError
        start = bytes(data[:LINE_SLICE_BYTES])
        end = start.find(b"\n") + 1
        part = start[:end] if end else start
        self._framing_bytes += len(part)
        self.parser.feed_data(part)
        if self._chunk_left is None:
            return len(part)  # a trailer
        self._line = (self._line + part)[:LINE_SLICE_BYTES]
        if end:
            try:
                size = int(self._line.partition(b";")[0], 16)
            except ValueError:
                raise httptools.HttpParserError("the size of a chunk can't be read") from None
            self._chunk_left = size + len(b"\r\n") if size else None
            self._line = b""
        return len(part)
