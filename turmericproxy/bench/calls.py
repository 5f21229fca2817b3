"""Call a host over HTTP as a client does, and collect the answers."""

import json
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from urllib3.exceptions import HTTPError

from turmericproxy.web import CallFailure, HttpClient

CALL_TIMEOUT_SECONDS = 30.0
END_MARKER = "[DONE]"


@dataclass(frozen=True)
class ChatResult:
    """Store the answer to a chat call; times are in seconds from the start of the call.

    ``fault`` describes a connection error or an invalid event of the stream; it is empty if there
    was none.
    """

    status: int
    request_id: str = ""
    text: str = ""
    usage: Mapping[str, int] = field(default_factory=dict)
    error: Mapping[str, Any] = field(default_factory=dict)
    fault: str = ""
    has_end_marker: bool = False
    first_content_seconds: float | None = None
    elapsed: float = 0.0
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether the answer arrived in full without an error."""
        return self.status == 200 and self.has_end_marker and not self.fault and not self.error


@dataclass(frozen=True)
class PlainResult:
    """Store the answer to a plain call; ``status`` is 0 if no answer arrived."""

    status: int
    value: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)
    fault: str = ""

    @property
    def error(self) -> Mapping[str, Any]:
        """Return the error object of the answer, or an empty mapping."""
        return self.value.get("error", {}) if isinstance(self.value, dict) else {}


def build_chat(prompt: str, max_tokens: int = 16, model: str = "verdict") -> dict[str, Any]:
    """Return the body of a chat call with one user message."""
    messages = [{"role": "user", "content": prompt}]
    return {"model": model, "messages": messages, "max_tokens": max_tokens}


class Caller:
    """Call one host with one key over kept-alive connections."""

    def __init__(self, address: str, key: str | None) -> None:
        self._client = HttpClient(address, read_timeout=CALL_TIMEOUT_SECONDS)
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    def chat(self, body: Mapping[str, Any], timeout: float = CALL_TIMEOUT_SECONDS) -> ChatResult:
        """Send a chat call without streaming."""
        started = time.monotonic()
        result = self._call("POST", "/v1/chat/completions", json.dumps(body).encode(), {}, timeout)
        elapsed = time.monotonic() - started
        request_id = result.headers.get("X-Request-Id", "")
        if result.status != 200:
            return ChatResult(
                result.status, request_id, error=result.error, fault=result.fault, elapsed=elapsed
            )
        return ChatResult(
            200,
            request_id,
            text=result.value["choices"][0]["message"]["content"],
            usage=_flatten_usage(result.value.get("usage", {})),
            has_end_marker=True,
            first_content_seconds=elapsed,
            elapsed=elapsed,
            headers=result.headers,
        )

    def stream(self, body: Mapping[str, Any], timeout: float = CALL_TIMEOUT_SECONDS) -> ChatResult:
        """Send a chat call with streaming and read the stream to its end."""
        started = time.monotonic()
        answer = self._client.open(
            "POST",
            "/v1/chat/completions",
            body=json.dumps({**body, "stream": True}).encode(),
            headers={**self._headers, "Content-Type": "application/json"},
            read_timeout=timeout,
        )
        if isinstance(answer, CallFailure):
            return ChatResult(0, fault=f"{answer.stage.value}: {answer.reason}")
        if answer.status != 200:
            error = _decode(answer.read()) or {}
            return ChatResult(
                answer.status,
                answer.headers.get("X-Request-Id", ""),
                error=error.get("error", {}),
                elapsed=time.monotonic() - started,
                headers=dict(answer.headers),
            )
        return _collect_stream(answer, started)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> PlainResult:
        """Send a call that is not a chat."""
        return self._call(method, path, body, headers or {}, timeout)

    def _call(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str], timeout: float
    ) -> PlainResult:
        sent = {"Content-Type": "application/json", **self._headers, **headers}
        answer = self._client.open(method, path, body=body, headers=sent, read_timeout=timeout)
        if isinstance(answer, CallFailure):
            return PlainResult(0, fault=f"{answer.stage.value}: {answer.reason}")
        try:
            content = answer.read()
        except (HTTPError, OSError) as error:
            answer.close()
            return PlainResult(0, fault=type(error).__name__)
        answer.release_conn()
        return PlainResult(answer.status, _decode(content), dict(answer.headers))


def _flatten_usage(usage: Mapping[str, Any]) -> Mapping[str, int]:
    details = usage.get("prompt_tokens_details", {})
    return {name: value for name, value in {**usage, **details}.items() if isinstance(value, int)}


def _decode(content: bytes) -> Any:
    try:
        return json.loads(content)
    except ValueError:
        return None


def _collect_stream(answer: Any, started: float) -> ChatResult:
    texts: list[str] = []
    usage: Mapping[str, int] = {}
    error: Mapping[str, Any] = {}
    first_content_seconds, fault, has_end_marker = None, "", False
    try:
        for data in _read_events(answer):
            if data == END_MARKER:
                has_end_marker = True
                break
            event = json.loads(data)
            usage = _flatten_usage(event["usage"]) if "usage" in event else usage
            error = event.get("error") or error
            for choice in event.get("choices", ()):
                content = choice.get("delta", {}).get("content")
                if content:
                    first_content_seconds = first_content_seconds or time.monotonic() - started
                    texts.append(content)
        answer.drain_conn()
        answer.release_conn()
    except (HTTPError, OSError, ValueError) as failure:
        fault = type(failure).__name__
        answer.close()
    return ChatResult(
        answer.status,
        answer.headers.get("X-Request-Id", ""),
        text="".join(texts),
        usage=usage,
        error=error,
        fault=fault,
        has_end_marker=has_end_marker,
        first_content_seconds=first_content_seconds,
        elapsed=time.monotonic() - started,
        headers=dict(answer.headers),
    )


def _read_events(answer: Any) -> Iterator[str]:
    buffer = b""
    for chunk in answer.stream(None, decode_content=False):
        buffer += chunk
        while b"\n\n" in buffer:
            event, buffer = buffer.split(b"\n\n", 1)
            if event.startswith(b"data: "):
                yield event[6:].decode()
