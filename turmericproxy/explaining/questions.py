"""Decode the description of a request whose placement is to be explained."""

import json
from dataclasses import dataclass
from typing import Any, NamedTuple

from turmericproxy.core import AccountName, ModelName, Refusal, RequestId, ResultCode, refuse
from turmericproxy.core.ids import create_id

# Path on the metrics address of a host, and on the operators' API.
EXPLAIN_PATH = "/v1/explain-placement"
# Longest description of a request, in bytes.
MAX_BODY_BYTES = 64 * 1024
# Deadline of a described request that names none, as for requests of callers.
DEFAULT_DEADLINE_SECONDS = 30.0
MAX_DEADLINE_SECONDS = 600.0
MAX_PRIORITY = 9
MAX_TOKENS = 10**9
MAX_TEXT = 4096

_FIELDS = frozenset(
    {
        "host",
        "path",
        "account",
        "key",
        "model",
        "parts",
        "prompt_tokens",
        "output_tokens",
        "priority",
        "deadline_seconds",
        "request_id",
    }
)


class DescribedPart(NamedTuple):
    """Hold the identifier and the tokens of one part of a described prompt."""

    part_id: str
    tokens: int


class DescribedPrompt(NamedTuple):
    """Hold a described prompt; the last part is not shared with other requests."""

    model: ModelName
    prompt_tokens: int
    output_tokens: int
    parts: tuple[DescribedPart, ...]


@dataclass(frozen=True)
class Question:
    """Describe a request; ``prompt`` is ``None`` for a plain one.

    ``account`` names the client account in place of ``key``. ``priority`` replaces that of the
    account and of the route.
    """

    host: str
    path: str
    account: AccountName | None
    key: str | None
    prompt: DescribedPrompt | None
    priority: int | None
    deadline_seconds: float
    request_id: RequestId

    def __repr__(self) -> str:
        # A key must not get into a log or an error message.
        return f"Question({self.host!r}, {self.path!r})"


class _FaultError(ValueError):
    """Name the field that is wrong, and the reason; never the value, which may be a key."""


def read_question(body: bytes) -> Question | Refusal:
    """Return the described request, or a refusal that names the field that is wrong."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return refuse(ResultCode.BAD_REQUEST, "the description is not valid JSON")
    if not isinstance(value, dict):
        return refuse(ResultCode.BAD_REQUEST, "the description is not a JSON object")
    if value.keys() - _FIELDS:
        return refuse(
            ResultCode.BAD_REQUEST, f"the description has other fields than {sorted(_FIELDS)}"
        )
    try:
        return _read_fields(value)
    except _FaultError as error:
        return refuse(ResultCode.BAD_REQUEST, str(error))


def _read_fields(value: dict[str, Any]) -> Question:
    path = _read_text(value, "path")
    if path is None or not path.startswith("/"):
        raise _FaultError("path: must begin with a slash")
    host = _read_text(value, "host")
    if not host:
        raise _FaultError("host: is missing")
    account, key = _read_text(value, "account"), _read_text(value, "key")
    if account is not None and key is not None:
        raise _FaultError("account: must not be given together with key")
    priority = _read_number(value, "priority", 0, MAX_PRIORITY)
    deadline = _read_number(value, "deadline_seconds", 0, MAX_DEADLINE_SECONDS, is_whole=False)
    return Question(
        host=host.lower(),
        path=path.partition("?")[0],
        account=None if account is None else AccountName(account),
        key=key,
        prompt=_read_prompt(value),
        priority=None if priority is None else int(priority),
        deadline_seconds=DEFAULT_DEADLINE_SECONDS if deadline is None else deadline,
        request_id=RequestId(_read_text(value, "request_id") or f"explained-{create_id()}"),
    )


def _read_prompt(value: dict[str, Any]) -> DescribedPrompt | None:
    model = _read_text(value, "model")
    given = [name for name in ("parts", "prompt_tokens", "output_tokens") if name in value]
    if model is None:
        if given:
            raise _FaultError(f"{given[0]}: needs a model")
        return None
    parts = _read_parts(value.get("parts") or [])
    total = sum(part.tokens for part in parts)
    prompt_tokens = _read_number(value, "prompt_tokens", 0, MAX_TOKENS)
    output_tokens = _read_number(value, "output_tokens", 0, MAX_TOKENS)
    return DescribedPrompt(
        ModelName(model),
        total if prompt_tokens is None else int(prompt_tokens),
        int(output_tokens or 0),
        parts,
    )


def _read_parts(value: object) -> tuple[DescribedPart, ...]:
    if not isinstance(value, list):
        raise _FaultError("parts: must be a list")
    parts = []
    for text in value:
        part_id, _, tokens = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not part_id or not (tokens.isascii() and tokens.isdecimal()) or len(tokens) > 9:
            raise _FaultError("parts: each must be ID:TOKENS")
        parts.append(DescribedPart(part_id, int(tokens)))
    return tuple(parts)


def _read_text(value: dict[str, Any], name: str) -> str | None:
    text = value.get(name)
    if text is None:
        return None
    if not isinstance(text, str) or not text or len(text) > MAX_TEXT or not text.isprintable():
        raise _FaultError(f"{name}: must be a printable text of 1 to {MAX_TEXT} characters")
    return text


def _read_number(
    value: dict[str, Any], name: str, least: int, most: float, *, is_whole: bool = True
) -> float | None:
    number = value.get(name)
    if number is None:
        return None
    kind = "a whole number" if is_whole else "a number"
    # A truth value is an int in Python.
    if isinstance(number, bool) or not isinstance(number, int if is_whole else int | float):
        raise _FaultError(f"{name}: must be {kind}")
    if not least <= number <= most:
        raise _FaultError(f"{name}: must be {kind} from {least} to {most:g}")
    return float(number)
