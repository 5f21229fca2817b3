"""Answer chats as a stream of server-sent events or as one JSON document."""

import json
from collections.abc import Iterator
from itertools import chain
from typing import Any

from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.events import Piece, StreamEnd
from turmericproxy.callers.exchange import Answer, Exchange
from turmericproxy.callers.streams import ChatDependencies, ChatStream, StreamItem
from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.routing import Usage
from turmericproxy.web import HttpResponse, create_json_response
from turmericproxy.web.error_bodies import describe_refusal

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


class ChatRelay:
    """Answer a chat with a stream or, if the caller asks for none, with one document."""

    def __init__(self, dependencies: ChatDependencies) -> None:
        self._dependencies = dependencies

    def __call__(self, exchange: Exchange) -> Answer:
        stream = ChatStream(self._dependencies, exchange)
        first = next(stream)
        if isinstance(first, Refusal):
            stream.close()
            return first
        call = exchange.call
        assert isinstance(call, ChatCall)
        if call.is_streamed:
            return HttpResponse(200, _StreamBody(stream, first, exchange), STREAM_HEADERS)
        return _collect_answer(stream, first, exchange)


class _StreamBody:
    """Encode the items of a stream as server-sent events."""

    def __init__(self, stream: ChatStream, first: Piece | StreamEnd, exchange: Exchange) -> None:
        self._stream = stream
        self._first = first
        self._exchange = exchange

    def __iter__(self) -> Iterator[bytes]:
        for item in chain((self._first,), self._stream):
            yield _encode_event(item, self._exchange)
            if isinstance(item, StreamEnd):
                yield b"data: [DONE]\n\n"

    def close(self) -> None:
        """End the stream, and cancel the request if it still runs at an engine."""
        self._stream.close()


def _encode_event(item: StreamItem, exchange: Exchange) -> bytes:
    if isinstance(item, Refusal):
        value: dict[str, Any] = describe_refusal(item)
    elif isinstance(item, Piece):
        value = _describe_chunk(exchange, {"content": item.text}, None)
    else:
        value = _describe_chunk(exchange, {}, "stop")
        value["usage"] = _describe_usage(item.usage)
    return b"data: " + json.dumps(value, separators=(",", ":")).encode() + b"\n\n"


def _describe_chunk(
    exchange: Exchange, delta: dict[str, str], finish_reason: str | None
) -> dict[str, Any]:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
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
    return refuse(ResultCode.STREAM_BROKEN, "the caller closed the connection", RunState.UNKNOWN)


def _describe_answer(exchange: Exchange, texts: list[str], end: StreamEnd) -> dict[str, Any]:
    message = {"role": "assistant", "content": "".join(texts)}
    return {
        "id": exchange.request_id,
        "object": "chat.completion",
        "model": _get_model(exchange),
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": _describe_usage(end.usage),
    }
