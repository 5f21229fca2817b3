"""Refuse answers whose head broke off, which ``http.client`` takes for complete ones."""

from http.client import HTTPException, HTTPResponse
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection


class IncompleteHead(HTTPException):
    """Report that a connection ended within the head of an answer."""


class _LineRecorder:
    """Read lines of a file and keep the last one."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.last_line: bytes | None = None

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection."""
        self.last_line = self.file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class _StrictResponse(HTTPResponse):
    """Answer whose head must end with an empty line."""

    fp: Any

    def begin(self) -> None:
        """Read the head; raise ``IncompleteHead`` if the connection ends first."""
        if self.fp is None or isinstance(self.fp, _LineRecorder):
            super().begin()
            return
        recorder = self.fp = _LineRecorder(self.fp)
        super().begin()
        if self.fp is recorder:
            self.fp = recorder.file
        if recorder.last_line == b"":
            raise IncompleteHead("the connection ended within the head of the answer")


class StrictConnection(HTTPConnection):
    """Connection that refuses answers without a whole head."""

    response_class = _StrictResponse


class StrictPool(urllib3.HTTPConnectionPool):
    """Pool of such connections."""

    ConnectionCls = StrictConnection
