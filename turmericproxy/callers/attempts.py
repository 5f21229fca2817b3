"""Send one attempt of a chat to an engine and read the events of its answer."""

import contextlib
import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import chain
from typing import Protocol

import urllib3
from urllib3.exceptions import HTTPError

from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.events import Event, Piece, parse_events
from turmericproxy.core import RequestId, read_boottime
from turmericproxy.crashes.evidence import SOUND_ANSWER_SECONDS
from turmericproxy.logs import Part, log_event
from turmericproxy.routing import AttemptOutcome, EngineChoice
from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import CallFailure, HasData, HttpClient, SilenceHandler

CHAT_PATH = "/v1/chat/completions"
RESUME_PATH = "/v1/resume"
CANCEL_PATH = "/v1/cancel"
CANCEL_TIMEOUT_SECONDS = 0.5
READ_BYTES = 65536
HTTP_OK = 200
HTTP_NOT_FOUND = 404
# Interval at which a silent engine is probed and a replacement for it is looked for.
SILENCE_CHECK_SECONDS = 0.5
# Interval at which a probe checks whether data has arrived on the connection that was silent.
PROBE_POLL_SECONDS = 0.05
# An engine answers 503 while it loads the weights of the model.
OUTCOME_BY_STATUS = {409: AttemptOutcome.WRONG_VERSION, 503: AttemptOutcome.WRONG_VERSION}


@dataclass(frozen=True)
class AttemptFailure:
    """Describe why an attempt did not complete the stream.

    ``is_forgotten`` tells that the engine no longer knew a chat which it had begun to answer.
    """

    outcome: AttemptOutcome
    reason: str
    is_silent: bool = False
    is_forgotten: bool = False


@dataclass(frozen=True)
class _OpenAnswer:
    """Hold an answer whose body is read chunk by chunk."""

    response: urllib3.BaseHTTPResponse
    chunks: Iterator[bytes]


class ProbeResult(Enum):
    """Distinguish how a silent engine answered when it was asked to resume on a new connection."""

    RESUMED = "resumed"
    UNKNOWN_REQUEST = "unknown_request"
    UNREACHABLE = "unreachable"
    NO_ANSWER = "no_answer"


class SilencePolicy(Protocol):
    """Decide how long an attempt waits for a silent engine."""

    def is_caller_gone(self) -> bool:
        """Return whether nobody waits for the answer any longer."""

    def count_seconds_left(self) -> float:
        """Return how long the engine may stay silent; negative once the time has passed."""

    def secure_replacement(self, attempt: "Attempt", probe: ProbeResult | None) -> bool:
        """Reserve another attempt and return ``True``, or ``False`` if none can be had."""


class Attempt:
    """Represent one request to one engine; ``close`` cancels it unless it has finished.

    A silent engine is left for a replacement that ``policy`` has secured, or once the time that the
    policy allows has passed. Until then its connection stays open.
    """

    def __init__(
        self,
        client: HttpClient,
        settings: UpstreamSettings,
        choice: EngineChoice,
        call: ChatCall,
        request_id: RequestId,
        salt: str,
        start: int,
        policy: SilencePolicy,
    ) -> None:
        self.choice = choice
        self.request_id = request_id
        self._client = client
        self._settings = settings
        self._call = call
        self._salt = salt
        self.start = start
        self._policy = policy
        self._next_index = start
        self._answer: _OpenAnswer | None = None
        self._resumed_answer: _OpenAnswer | None = None
        self._last_probe: ProbeResult | None = None
        self._has_received_events = False
        self._is_abandoned = False
        self._is_finished = False
        self._was_sent = False
        self._started_at = read_boottime()
        self._begun_at: float | None = None
        self._last_event_at = self._started_at

    @property
    def was_sent(self) -> bool:
        """Return whether the engine may have received the request."""
        return self._was_sent

    def measure_age(self) -> float:
        """Return the seconds since the attempt was created."""
        return read_boottime() - self._started_at

    @property
    def has_only_begun(self) -> bool:
        """Return whether the answer broke off soon enough to be what ended its engine."""
        begun_at = self._begun_at
        return begun_at is not None and self._last_event_at < begun_at + SOUND_ANSWER_SECONDS

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

    def resume(self) -> AttemptFailure | None:
        """Request the pieces that are missing from the same engine on a new connection."""
        self._close_answer()
        self._has_received_events = False
        self._last_probe = None
        return self._open(RESUME_PATH, self._describe_resume())

    def read_events(self) -> Iterator[Event | AttemptFailure]:
        """Yield the events as they arrive, then a failure if the connection breaks."""
        while True:
            assert self._answer is not None
            try:
                for event in parse_events(self._answer.chunks):
                    self._record_event(event)
                    yield event
                return
            except (HTTPError, OSError) as error:
                if not self._switch_connection():
                    yield self._describe_read_failure(error)
                    return

    def finish(self) -> None:
        """Record that the stream is complete, and release the connection."""
        self._is_finished = True
        if self._answer is not None:
            with contextlib.suppress(HTTPError, OSError):
                self._answer.response.drain_conn()
            self._answer.response.release_conn()
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

    def _record_event(self, event: Event) -> None:
        self._has_received_events = True
        self._last_event_at = read_boottime()
        self._last_probe = None
        if isinstance(event, Piece):
            self._next_index = event.index + 1

    def _describe_read_failure(self, error: Exception) -> AttemptFailure:
        if self._is_abandoned:
            return AttemptFailure(AttemptOutcome.TIMEOUT, "the engine was silent", is_silent=True)
        reason = f"reading the stream failed: {type(error).__name__}"
        return AttemptFailure(AttemptOutcome.FAILED, reason)

    def _describe_resume(self) -> dict[str, object]:
        return {"request_id": self.request_id, "after": self._next_index - 1}

    def _open(self, path: str, body: object) -> AttemptFailure | None:
        timeouts = (self._settings.first_byte_timeout, self._settings.idle_timeout)
        answer = self._send(path, body, timeouts, self._handle_silence)
        self._was_sent |= not (isinstance(answer, CallFailure) and answer.is_unsent)
        if isinstance(answer, CallFailure):
            if self._switch_connection():
                return None
            outcome = AttemptOutcome.UNREACHABLE if answer.is_unsent else AttemptOutcome.TIMEOUT
            return AttemptFailure(outcome, f"no answer: {answer.reason}", self._is_abandoned)
        if answer.status != HTTP_OK:
            answer.close()
            outcome = OUTCOME_BY_STATUS.get(answer.status, AttemptOutcome.UNREACHABLE)
            return AttemptFailure(
                outcome,
                f"the engine answered with HTTP status {answer.status}",
                is_forgotten=path == RESUME_PATH and answer.status == HTTP_NOT_FOUND,
            )
        self._answer = _OpenAnswer(answer, answer.stream(READ_BYTES))
        if self._begun_at is None:
            self._begun_at = read_boottime()
        return None

    def _send(
        self, path: str, body: object, timeouts: tuple[float, float], on_silence: SilenceHandler
    ) -> urllib3.BaseHTTPResponse | CallFailure:
        # An idle pooled connection may have been lost unnoticed: each request opens a new one.
        return self._client.open(
            "POST",
            path,
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json", "X-Request-Id": self.request_id},
            read_timeout=timeouts[0],
            idle_timeout=timeouts[1],
            on_silence=on_silence,
            fresh=True,
        )

    def _handle_silence(self, has_data: HasData) -> float | None:
        """Return how long to go on waiting for the engine, or ``None`` to end the wait."""
        if self._is_finished or self._policy.is_caller_gone():
            return None
        seconds_left = self._policy.count_seconds_left()
        if seconds_left > 0 or self._last_probe is None:
            # An engine that has sent events on this connection probably has lost only that.
            steps = [self._probe, self._secure_replacement]
            for step in steps if self._has_received_events else reversed(steps):
                if step(has_data):
                    return None
                if has_data():
                    return SILENCE_CHECK_SECONDS
        seconds_left = self._policy.count_seconds_left()
        self._is_abandoned = seconds_left <= 0
        return None if self._is_abandoned else min(SILENCE_CHECK_SECONDS, seconds_left)

    def _secure_replacement(self, _: HasData) -> bool:
        self._is_abandoned = self._policy.secure_replacement(self, self._last_probe)
        return self._is_abandoned

    def _probe(self, has_data: HasData) -> bool:
        """Ask the engine to resume on a second connection; return whether that one replaces ours.

        The probe ends early if data arrives on the connection that was silent.
        """
        ends_at = read_boottime() + self._compute_probe_seconds()
        is_probing = True

        def handle_silence(has_probe_data: HasData) -> float | None:
            if not is_probing:
                return self._handle_resumed_silence(has_probe_data)
            is_over = has_data() or read_boottime() >= ends_at or self._policy.is_caller_gone()
            return None if is_over else PROBE_POLL_SECONDS

        timeouts = (PROBE_POLL_SECONDS, PROBE_POLL_SECONDS)
        answer = self._send(RESUME_PATH, self._describe_resume(), timeouts, handle_silence)
        self._last_probe = self._read_probe(answer)
        is_probing = False
        log_event(
            Part.CALLERS,
            "silent engine probed",
            request_id=self.request_id,
            engine=self.choice.engine,
            result=self._last_probe.value,
        )
        return self._last_probe is ProbeResult.RESUMED

    def _read_probe(self, answer: urllib3.BaseHTTPResponse | CallFailure) -> ProbeResult:
        """Keep the answer of a probe if it brings an event; close it otherwise."""
        if isinstance(answer, CallFailure):
            return ProbeResult.UNREACHABLE if answer.is_unsent else ProbeResult.NO_ANSWER
        with contextlib.suppress(HTTPError, OSError):
            chunks = answer.stream(READ_BYTES)
            if answer.status == HTTP_OK and (first := next(chunks, b"")):
                self._resumed_answer = _OpenAnswer(answer, chain((first,), chunks))
                return ProbeResult.RESUMED
        answer.close()
        is_unknown = answer.status == HTTP_NOT_FOUND
        return ProbeResult.UNKNOWN_REQUEST if is_unknown else ProbeResult.NO_ANSWER

    def _handle_resumed_silence(self, has_data: HasData) -> float | None:
        """Handle a silence on the connection of a probe, whose timeouts are shorter."""
        silent_seconds = read_boottime() - self._last_event_at
        if silent_seconds < self._settings.idle_timeout:
            return self._settings.idle_timeout - silent_seconds
        return self._handle_silence(has_data)

    def _compute_probe_seconds(self) -> float:
        limit = self._settings.first_byte_timeout
        seconds_left = self._policy.count_seconds_left()
        return min(limit, seconds_left) if seconds_left > 0 else limit

    def _switch_connection(self) -> bool:
        """Replace a silent connection by the one that resumes it; return whether there is one."""
        if self._resumed_answer is None:
            return False
        self._close_answer()
        self._answer, self._resumed_answer = self._resumed_answer, None
        self._last_event_at = read_boottime()
        return True

    def _close_answer(self) -> None:
        if self._answer is not None:
            self._answer.response.close()
            self._answer = None
