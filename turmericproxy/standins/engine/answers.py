"""Send the output of requests to clients, with the faults that a control call set."""

import json
import time
from collections.abc import Iterator
from typing import Any

from turmericproxy.standins.engine.batch import Job, JobState
from turmericproxy.standins.engine.core import EngineCore
from turmericproxy.standins.engine.generation import digest_prompt, generate_piece
from turmericproxy.standins.engine.options import EngineFaults
from turmericproxy.standins.exchange import abort_connection
from turmericproxy.web import HttpRequest

POLL_SECONDS = 0.25
KEEP_ALIVE_SECONDS = 0.5
KEEP_ALIVE = b": waiting\n\n"
MISMATCHED_DIGEST = digest_prompt("user:another request\n")


class ResponseAborted(Exception):
    """Signal that the connection is to be aborted before the response is complete."""


class Answer:
    """Send the pieces of one request to one connection."""

    def __init__(
        self, core: EngineCore, faults: EngineFaults, job: Job, request: HttpRequest
    ) -> None:
        self._core = core
        self._faults = faults
        self._job = job
        self._request = request
        self._mismatch_from = faults.take_mismatch_offset()
        self._break_after: int | None = None
        self._first_index = job.start
        self.is_stalled = faults.silent

    def stream(self, first: int) -> Iterator[bytes]:
        """Yield server-sent events: the pieces from ``first``, the usage and the end marker."""
        job = self._job
        self._break_after = self._faults.take_break_offset()
        self._first_index = first
        try:
            self._delay()
            self._wait(lambda: True)
            yield KEEP_ALIVE
            for index in range(first, job.max_tokens):
                while not self._is_ready(index):
                    yield KEEP_ALIVE
                if self._break_after is not None and index - first >= self._break_after:
                    raise ResponseAborted
                yield _encode(self._describe_piece(index))
            self._await_end()
            yield _encode(self._describe_usage(job.max_tokens))
            yield b"data: [DONE]\n\n"
        except ResponseAborted:
            self._core.detach(job)
            abort_connection(self._request.connection)
        except GeneratorExit:
            self._core.detach(job)
            raise

    def build(self) -> dict[str, Any]:
        """Wait for the request to end and return the complete answer as a JSON value."""
        job = self._job
        self._delay()
        try:
            self._await_end()
        except ResponseAborted:
            self._core.detach(job)
            raise
        pieces = [self._describe_piece(n)["text"] for n in range(job.start, job.max_tokens)]
        return {**self._describe_usage(0), "text": "".join(pieces)}

    @property
    def _is_silent(self) -> bool:
        return self.is_stalled or time.monotonic() < self._faults.paused_until

    def _delay(self) -> None:
        time.sleep(self._faults.late)

    def _is_ready(self, index: int) -> bool:
        """Return whether a piece is ready, waiting for it until the next keep-alive is due."""
        due = time.monotonic() + KEEP_ALIVE_SECONDS
        self._wait(
            lambda: self._job.produced > index
            or self._job.is_ended
            or (time.monotonic() > due and not self._is_silent)
        )
        if self._job.is_ended and self._job.produced <= index:
            raise ResponseAborted
        return self._job.produced > index

    def _await_end(self) -> None:
        self._wait(lambda: self._job.is_ended)
        if self._job.state is not JobState.DONE:
            raise ResponseAborted

    def _wait(self, is_ready: Any) -> None:
        while not is_ready() or self._is_silent:
            with self._job.changed:
                if not is_ready() or self._is_silent:
                    self._job.changed.wait(timeout=POLL_SECONDS)
            if self._request.is_client_gone() or self._job.state is JobState.LOST:
                raise ResponseAborted

    def _is_mismatched(self, index: int) -> bool:
        return self._mismatch_from is not None and index - self._first_index >= self._mismatch_from

    def _describe(self, index: int) -> dict[str, Any]:
        is_mismatched = self._is_mismatched(index)
        return {
            "id": f"crossed-{self._job.request_id[:8]}" if is_mismatched else self._job.request_id,
            "version": self._job.version,
            "incarnation": self._core.incarnation,
        }

    def _describe_piece(self, index: int) -> dict[str, Any]:
        job = self._job
        digest = MISMATCHED_DIGEST if self._is_mismatched(index) else job.prompt_digest
        text = generate_piece(digest, job.model, job.version, index)
        return {**self._describe(index), "index": index, "text": text}

    def _describe_usage(self, index: int) -> dict[str, Any]:
        job = self._job
        usage = {
            "prompt_tokens": job.prompt_tokens,
            "cached_tokens": job.cached_tokens,
            "completion_tokens": job.max_tokens - job.start,
        }
        return {**self._describe(index), "usage": usage}


def _encode(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"
