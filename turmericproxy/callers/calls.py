"""Parse requests of callers into typed calls."""

import hashlib
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from turmericproxy.cache.blocks import count_tokens, render_prompt
from turmericproxy.configuration import Route, Snapshot
from turmericproxy.core import ModelName, Refusal, ResultCode, RouteName, refuse
from turmericproxy.core.documents import decode_json
from turmericproxy.web import HttpRequest

CHAT_PATH = "/v1/chat/completions"
PLAIN_PATH_PREFIX = "/r/"
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
PLAIN_METHODS = SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200


class Message(BaseModel):
    """Describe one message of a chat."""

    model_config = ConfigDict(frozen=True)

    role: Annotated[str, Field(min_length=1, max_length=64)]
    content: str


class ChatBody(BaseModel):
    """Describe the fields of a chat request that the router reads."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    model: str
    messages: tuple[Message, ...] = Field(min_length=1)
    max_tokens: int = Field(default=DEFAULT_OUTPUT_TOKENS, ge=1, le=MAX_OUTPUT_TOKENS)
    stream: bool = False


@dataclass(frozen=True)
class ChatCall:
    """Describe a request to a model to continue a chat."""

    model: ModelName
    version: str
    messages: tuple[dict[str, str], ...]
    prompt: str
    prompt_tokens: int
    max_tokens: int
    is_streamed: bool

    @property
    def cost(self) -> int:
        """Return the number of tokens to charge to the client account at admission."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True)
class PlainCall:
    """Describe a call of a plain service by its route."""

    name: RouteName
    route: Route
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str | None

    @property
    def cost(self) -> int:
        """Return the number of tokens to charge to the client account at admission."""
        return self.route.cost

    @property
    def is_repeatable(self) -> bool:
        """Return whether the router may send the call more than once."""
        return self.route.repeatable or self.method in SAFE_METHODS

    @property
    def body_digest(self) -> str:
        """Return a digest to check that a repeated idempotency key comes with the same call."""
        head = f"{self.method} {self.name} {self.path}\n".encode()
        return hashlib.blake2b(head + self.body, digest_size=16).hexdigest()


Call = ChatCall | PlainCall


def parse_call(request: HttpRequest, snapshot: Snapshot, body_limit: int) -> Call | Refusal:
    """Return the call that a request describes, or a refusal that names its fault."""
    if request.path == CHAT_PATH:
        if request.method != "POST":
            return refuse(ResultCode.METHOD_NOT_ALLOWED, f"{CHAT_PATH} allows only POST")
        return _parse_chat(request, snapshot, body_limit)
    if request.path.startswith(PLAIN_PATH_PREFIX):
        return _parse_plain(request, snapshot, body_limit)
    return refuse(ResultCode.UNKNOWN_ROUTE, f"no route for path {request.path}")


def find_route(request: HttpRequest, snapshot: Snapshot) -> Route | None:
    """Return the configured route that the path of a plain call names, or ``None``."""
    if not request.path.startswith(PLAIN_PATH_PREFIX):
        return None
    name = request.path.removeprefix(PLAIN_PATH_PREFIX).partition("/")[0]
    return snapshot.find_route(name)


def _read_body(request: HttpRequest, limit: int) -> bytes | Refusal:
    try:
        body = request.read_body(limit)
    except (OSError, ValueError) as error:
        return refuse(ResultCode.REQUEST_TIMEOUT, f"the body could not be read: {error}")
    if body is None:
        return refuse(ResultCode.BODY_TOO_LARGE, f"the body is longer than {limit} bytes")
    if request.content_length is not None and len(body) < request.content_length:
        return refuse(ResultCode.REQUEST_TIMEOUT, "the body is incomplete")
    return body


def _parse_chat(request: HttpRequest, snapshot: Snapshot, body_limit: int) -> Call | Refusal:
    content = _read_body(request, body_limit)
    if isinstance(content, Refusal):
        return content
    try:
        document: Any = decode_json(content)
        body = ChatBody.model_validate(document)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}" for fault in error.errors()
        )
        return refuse(ResultCode.BAD_REQUEST, faults)
    except (ValueError, RecursionError):
        return refuse(ResultCode.BAD_REQUEST, "the body is not valid JSON")
    model = snapshot.find_model(body.model)
    if model is None:
        return refuse(ResultCode.UNKNOWN_MODEL, f"unknown model {body.model}")
    messages = tuple({"role": m.role, "content": m.content} for m in body.messages)
    prompt = render_prompt(messages)
    return ChatCall(
        model=ModelName(model.name),
        version=model.version,
        messages=messages,
        prompt=prompt,
        prompt_tokens=count_tokens(prompt),
        max_tokens=body.max_tokens,
        is_streamed=body.stream,
    )


def _parse_plain(request: HttpRequest, snapshot: Snapshot, body_limit: int) -> Call | Refusal:
    name = request.path.removeprefix(PLAIN_PATH_PREFIX).partition("/")[0]
    route = snapshot.find_route(name)
    if route is None:
        return refuse(ResultCode.UNKNOWN_ROUTE, f"unknown route {name}")
    if request.method not in PLAIN_METHODS:
        return refuse(ResultCode.METHOD_NOT_ALLOWED, f"method {request.method} is not allowed")
    key = request.headers.get("idempotency-key")
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        limit = MAX_IDEMPOTENCY_KEY_CHARACTERS
        return refuse(ResultCode.BAD_REQUEST, f"Idempotency-Key must have 1 to {limit} characters")
    body = _read_body(request, body_limit)
    if isinstance(body, Refusal):
        return body
    return PlainCall(
        name=RouteName(name),
        route=route,
        method=request.method,
        path=_strip_route(request.target),
        headers=tuple(request.headers.items()),
        body=body,
        idempotency_key=key,
    )


def _strip_route(target: str) -> str:
    """Return the path and query that follow the route's name, as the caller sent them."""
    path, separator, query = target.partition("?")
    service_path = path.removeprefix(PLAIN_PATH_PREFIX).partition("/")[2]
    return f"/{service_path}{separator}{query}"
