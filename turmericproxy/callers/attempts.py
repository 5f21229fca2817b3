"""Send one attempt of a chat to an engine and read the events of its answer."""

import contextlib
import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3
from urllib3.exceptions import HTTPError

from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.events import Event, parse_events
from turmericproxy.core import RequestId, read_boottime
from turmericproxy.routing import AttemptOutcome, EngineChoice
from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import CallFailure, HttpClient

CHAT_PATH = "/v1/chat/completions"
RESUME_PATH = "/v1/resume"
CANCEL_PATH = "/v1/cancel"
CANCEL_TIMEOUT_SECONDS = 0.5
READ_BYTES = 65536
HTTP_OK = 200
# An engine answers 503 while it loads the weights of the model.
OUTCOME_BY_STATUS = {409: AttemptOutcome.WRONG_VERSION, 503: AttemptOutcome.WRONG_VERSION}


@dataclass(frozen=True)
class AttemptFailure:
    """Describe why an attempt did not complete the stream."""

    outcome: AttemptOutcome
    reason: str


class Attempt:
    """Represent one request to one engine; ``close`` cancels it unless it has finished."""

    def __init__(
        self,
        client: HttpClient,
        settings: UpstreamSettings,
        choice: EngineChoice,
        call: ChatCall,
        request_id: RequestId,
        salt: str,
        start: int,
    ) -> None:
        self.choice = choice
        self.request_id = request_id
        self._client = client
        self._settings = settings
        self._call = call
        self._salt = salt
        self.start = start
        self._answer: urllib3.BaseHTTPResponse | None = None
        self._is_finished = False
        self._was_sent = False
        self._started_at = read_boottime()

    def measure_age(self) -> float:
        """Return the seconds since the attempt was created."""
        return read_boottime() - self._started_at

    def dispatch(self) -> AttemptFailure | None:
        """Request the pieces from index ``start`` on; return a failure unless accepted."""
        body = {
            "request_id": self.request_id,
            "model": self._call.model,
            "version": self.choice.version,
            "messages": list(self._call.messages),
            "max_tokens": self._call.max_tokens,
            "priority": self.choice.priority,
            "cache_salt": self._salt,
            "stream": True,
            "start": self.start,
        }
        return self._open(CHAT_PATH, body)

    def resume(self, after: int) -> AttemptFailure | None:
        """Request the pieces after index ``after`` from the same engine on a new connection."""
        self._close_answer()
        return self._open(RESUME_PATH, {"request_id": self.request_id, "after": after})

    def read_events(self) -> Iterator[Event | AttemptFailure]:
        """Yield the events as they arrive, then a failure if the connection breaks."""
        assert self._answer is not None
        try:
            yield from parse_events(self._answer.stream(READ_BYTES))
        except (HTTPError, OSError) as error:
            yield AttemptFailure(
                AttemptOutcome.FAILED, f"reading the stream failed: {type(error).__name__}"
            )

    def finish(self) -> None:
        """Record that the stream is complete, and release the connection."""
        self._is_finished = True
        if self._answer is not None:
            with contextlib.suppress(HTTPError, OSError):
                self._answer.drain_conn()
            self._answer.release_conn()
            self._answer = None

    def close(self) -> None:
        """Close the connection, and cancel the request at the engine unless it has finished."""
        self._close_answer()
        if self._is_finished or not self._was_sent:
            return
        self._is_finished = True
        # In the background, as the engine may be unreachable and the caller must not wait for it.
        threading.Thread(target=self._cancel, name="cancel", daemon=True).start()

    def _cancel(self) -> None:
        self._client.call_json(
            "POST",
            CANCEL_PATH,
            {"request_id": self.request_id},
            read_timeout=CANCEL_TIMEOUT_SECONDS,
            fresh=True,
        )

    def _open(self, path: str, body: object) -> AttemptFailure | None:
        # An idle pooled connection may have been lost unnoticed: each request opens a new one.
        answer = self._client.open(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json", "X-Request-Id": self.request_id},
            read_timeout=self._settings.first_byte_timeout,
            idle_timeout=self._settings.idle_timeout,
            fresh=True,
        )
        self._was_sent |= not (isinstance(answer, CallFailure) and answer.is_unsent)
        if isinstance(answer, CallFailure):
            outcome = AttemptOutcome.UNREACHABLE if answer.is_unsent else AttemptOutcome.TIMEOUT
            return AttemptFailure(outcome, f"no answer: {answer.reason}")
        if answer.status != HTTP_OK:
            answer.close()
            outcome = OUTCOME_BY_STATUS.get(answer.status, AttemptOutcome.UNREACHABLE)
            return AttemptFailure(outcome, f"the engine answered with HTTP status {answer.status}")
        self._answer = answer
        return None

    def _close_answer(self) -> None:
        if self._answer is not None:
            self._answer.close()
            self._answer = None
