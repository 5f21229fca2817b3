"""Relay chats to engines and bring every stream to its end."""

import hashlib
import json
from collections.abc import Generator, Iterator
from dataclasses import dataclass, replace
from itertools import chain
from typing import Any

from turmericproxy.cache.blocks import chain_blocks
from turmericproxy.callers.attempts import Attempt, AttemptFailure
from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Answer, Exchange
from turmericproxy.callers.pieces import (
    BadEvent,
    Expectation,
    KeepAlive,
    Piece,
    StreamEnd,
)
from turmericproxy.callers.refusals import describe_refusal
from turmericproxy.core import (
    AccountName,
    EngineName,
    Refusal,
    RequestId,
    ResultCode,
    RunState,
    read_boottime,
    refuse,
)
from turmericproxy.keys import KeyController
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.routing import Choice, FinishKind, RoutingRequest, Selector, Usage
from turmericproxy.settings.schema import UpstreamSettings
from turmericproxy.web import HttpResponse, create_json_response

MAXIMUM_ATTEMPTS = 4
RETRY_AFTER_SECONDS = 1.0
SALT_BYTES = 8
Item = Piece | StreamEnd | Refusal
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


@dataclass(frozen=True)
class ChatParts:
    """Name the parts that a chat needs."""

    selector: Selector
    keys: KeyController
    clients: UpstreamClients
    metrics: Metrics
    settings: UpstreamSettings


def derive_salt(account: AccountName) -> str:
    """Return the salt that keeps the cache entries of client accounts apart."""
    return hashlib.blake2b(account.encode(), digest_size=SALT_BYTES).hexdigest()


class ChatRelay:
    """Answer a chat, streamed or whole."""

    def __init__(self, parts: ChatParts) -> None:
        self._parts = parts

    def __call__(self, exchange: Exchange) -> Answer:
        stream = ChatStream(self._parts, exchange)
        first = next(stream)
        if isinstance(first, Refusal):
            stream.close()
            return first
        call = exchange.call
        assert isinstance(call, ChatCall)
        if call.is_streamed:
            return HttpResponse(200, _StreamBody(stream, first, exchange), STREAM_HEADERS)
        return _collect_answer(stream, first, exchange)


class ChatStream:
    """Return the pieces of one answer in order, over as many attempts as are allowed.

    The last item is a ``StreamEnd``, or a refusal if the answer could not be completed.
    """

    def __init__(self, parts: ChatParts, exchange: Exchange) -> None:
        assert isinstance(exchange.call, ChatCall)
        assert exchange.identity is not None
        self._parts = parts
        self._exchange = exchange
        self._call = exchange.call
        self._identity = exchange.identity
        self._salt = derive_salt(exchange.identity.account)
        self._blocks = chain_blocks(
            self._call.prompt, self._salt, self._call.model, self._call.version
        )
        self._next_index = 0
        self._excluded: frozenset[EngineName] = frozenset()
        self._usage: Usage | None = None
        self._items = self._run_attempts()

    def __iter__(self) -> Iterator[Item]:
        return self

    def __next__(self) -> Item:
        return next(self._items)

    def close(self) -> None:
        """End the stream and cancel what still runs at an engine."""
        self._items.close()

    def _run_attempts(self) -> Generator[Item, None, None]:
        reason = ""
        for number in range(MAXIMUM_ATTEMPTS):
            choice = self._choose_engine()
            if isinstance(choice, Refusal):
                yield choice if number == 0 else self._refuse_broken(reason)
                return
            failure = yield from self._run_attempt(choice, number)
            if failure is None:
                return
            reason = failure.reason
            self._excluded |= {choice.engine}
            self._report_failure(choice, failure)
        yield self._refuse_broken(reason)

    def _choose_engine(self) -> Choice | Refusal:
        refusal = self._parts.keys.check(self._identity)
        if refusal:
            return refusal
        request = RoutingRequest(
            request_id=self._exchange.request_id,
            account=self._identity.account,
            model=self._call.model,
            version=self._call.version,
            blocks=self._blocks,
            prompt_tokens=self._call.prompt_tokens,
            max_tokens=self._call.max_tokens,
            deadline=self._exchange.deadline,
            excluded=self._excluded,
        )
        return self._parts.selector.choose(request)

    def _run_attempt(
        self, choice: Choice, number: int
    ) -> Generator[Item, None, AttemptFailure | None]:
        attempt = self._create_attempt(choice, number)
        kind = FinishKind.CANCELLED
        self._parts.selector.record_dispatch(choice)
        try:
            failure = attempt.dispatch()
            if failure is None:
                failure = yield from self._read_pieces(attempt)
            if failure is not None and failure.kind is FinishKind.FAILED:
                failure = attempt.resume(self._next_index - 1) or (
                    yield from self._read_pieces(attempt)
                )
            kind = failure.kind if failure else FinishKind.DONE
            return failure
        finally:
            attempt.close()
            self._parts.selector.record_finish(choice, kind, self._usage)

    def _create_attempt(self, choice: Choice, number: int) -> Attempt:
        return Attempt(
            self._parts.clients.get(choice.address),
            self._parts.settings,
            choice,
            self._call,
            RequestId(f"{self._exchange.request_id}-{number}"),
            self._salt,
            self._next_index,
        )

    def _read_pieces(self, attempt: Attempt) -> Generator[Item, None, AttemptFailure | None]:
        """Pass on the pieces of one connection; return ``None`` when the stream is complete."""
        is_first = True
        for event in attempt.read_events():
            if isinstance(event, KeepAlive):
                if self._exchange.request.is_client_gone():
                    yield refuse(ResultCode.STREAM_BROKEN, "the caller has gone", RunState.UNKNOWN)
                    return None
                continue
            failure = self._find_failure(event, attempt)
            if failure is not None:
                return failure
            if isinstance(event, Piece):
                if is_first:
                    self._parts.selector.record_first_piece(attempt.choice, attempt.measure_age())
                is_first = False
                self._record_piece()
                yield event
            elif isinstance(event, StreamEnd):
                self._usage = event.usage
                attempt.finish()
                yield replace(event, usage=replace(event.usage, completion_tokens=self._next_index))
                return None
        return AttemptFailure(FinishKind.FAILED, "the stream ended early")

    def _find_failure(
        self, event: Piece | StreamEnd | BadEvent | AttemptFailure, attempt: Attempt
    ) -> AttemptFailure | None:
        if isinstance(event, AttemptFailure):
            return event
        if isinstance(event, BadEvent):
            return AttemptFailure(FinishKind.CROSSED, event.reason)
        expectation = Expectation(
            attempt.request_id, attempt.choice.version, self._next_index, attempt.start
        )
        fault = expectation.find_fault(event)
        return AttemptFailure(FinishKind.CROSSED, fault) if fault else None

    def _record_piece(self) -> None:
        if self._next_index == 0:
            seconds = read_boottime() - self._exchange.received
            self._parts.metrics.record_latency("first_token", seconds)
        self._next_index += 1
        self._exchange.usage.tokens = self._call.prompt_tokens + self._next_index

    def _report_failure(self, choice: Choice, failure: AttemptFailure) -> None:
        self._parts.metrics.count("attempt_failures", kind=failure.kind.value)
        log_event(
            Part.CALLERS,
            "attempt failed",
            request_id=self._exchange.request_id,
            engine=choice.engine,
            reason=failure.reason,
            pieces=self._next_index,
        )

    def _refuse_broken(self, reason: str) -> Refusal:
        """Refuse after a dispatch: the engine may have done the work."""
        code = ResultCode.STREAM_BROKEN if self._next_index else ResultCode.UPSTREAM_FAILED
        return refuse(code, reason, RunState.UNKNOWN, RETRY_AFTER_SECONDS)


class _StreamBody:
    """Write the pieces of a stream as server-sent events."""

    def __init__(self, stream: ChatStream, first: Piece | StreamEnd, exchange: Exchange) -> None:
        self._stream = stream
        self._first = first
        self._exchange = exchange

    def __iter__(self) -> Iterator[bytes]:
        for item in chain((self._first,), self._stream):
            yield _write_event(item, self._exchange)
            if isinstance(item, StreamEnd):
                yield b"data: [DONE]\n\n"

    def close(self) -> None:
        """End the stream; work that still runs at an engine is cancelled."""
        self._stream.close()


def _write_event(item: Item, exchange: Exchange) -> bytes:
    if isinstance(item, Refusal):
        value: dict[str, Any] = describe_refusal(item)
    elif isinstance(item, Piece):
        value = _describe_chunk(exchange, {"content": item.text}, None)
    else:
        value = _describe_chunk(exchange, {}, "stop")
        value["usage"] = _describe_usage(item.usage)
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _describe_chunk(exchange: Exchange, delta: dict[str, str], end: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": delta, "finish_reason": end}
    return {
        "id": exchange.request_id,
        "object": "chat.completion.chunk",
        "model": _get_model(exchange),
        "choices": [choice],
    }


def _describe_usage(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def _get_model(exchange: Exchange) -> str:
    assert isinstance(exchange.call, ChatCall)
    return exchange.call.model


def _collect_answer(stream: ChatStream, first: Piece | StreamEnd, exchange: Exchange) -> Answer:
    texts: list[str] = []
    try:
        for item in chain((first,), stream):
            if isinstance(item, Refusal):
                return item
            if isinstance(item, StreamEnd):
                return create_json_response(200, _describe_answer(exchange, texts, item))
            texts.append(item.text)
            if exchange.request.is_client_gone():
                break
    finally:
        stream.close()
    return refuse(ResultCode.STREAM_BROKEN, "the caller has gone", RunState.UNKNOWN)


def _describe_answer(exchange: Exchange, texts: list[str], end: StreamEnd) -> dict[str, Any]:
    message = {"role": "assistant", "content": "".join(texts)}
    return {
        "id": exchange.request_id,
        "object": "chat.completion",
        "model": _get_model(exchange),
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": _describe_usage(end.usage),
    }
