"""Ask hosts for explanations, and compare the whole state of a host before and after."""

import asyncio
import ctypes
import json
import random
from collections import deque
from collections.abc import Mapping, Sequence
from enum import Enum
from types import FunctionType, MethodType
from typing import Any

from tests.host.support import Answer, HostEnvironment, read_answer
from turmericproxy.explaining.questions import EXPLAIN_PATH
from turmericproxy.host.site_daemon import SiteHost

# What has no state that a decision changes, or is only compared by its kind.
_OPAQUE = (FunctionType, MethodType, asyncio.Future, asyncio.Event, asyncio.AbstractEventLoop)

ENGINE_QUESTION = {
    "host": "jepu9.example",
    "path": "/lepu270/2f",
    "key": "key-1",
    "model": "m",
    "parts": ["aa:20", "bb:20", "cc:20"],
    "output_tokens": 5,
    "deadline_seconds": 2.0,
    "request_id": "r1",
}
PLAIN_QUESTION = {"host": "app.example", "path": "/look/1", "key": "key-1", "request_id": "r1"}


async def send_question(
    environment: HostEnvironment, body: bytes, index: int = 0, method: str = "POST"
) -> Answer:
    address = environment.settings[index].metrics
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = f"{method} {EXPLAIN_PATH} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    received = await asyncio.wait_for(reader.read(-1), 15)
    writer.close()
    return read_answer(received)


async def ask(environment: HostEnvironment, question: Mapping[str, object]) -> dict[str, Any]:
    answer = await send_question(environment, json.dumps(question).encode())
    assert answer.status == 200, answer
    explanation: dict[str, Any] = json.loads(answer.body)
    return explanation


def capture_state(host: SiteHost) -> list[object]:
    """Return a comparable copy of all that the decisions of a host read or change."""
    parts = (
        host._registry,
        host._wanted,
        host._domains,
        host._crashes,
        host._limits,
        host._quotas,
        host._dispatcher,
        host._admission,
        host._releases,
        host._budgets,
        host._metrics,
        host._memory,
        host._follower.site,
    )
    return [copy_state(part) for part in parts]


def copy_state(value: object, seen: dict[int, tuple[int, object]] | None = None) -> object:
    """Return a copy of an object's state, and of all that it refers to, made of plain values."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, str | bytes | int | float):
        return value
    if isinstance(value, Enum | type):
        return str(value)
    if isinstance(value, _OPAQUE):
        return type(value).__name__
    if id(value) in seen:
        return ("seen", seen[id(value)][0])
    # The object is kept, since another one could get its identity otherwise.
    seen[id(value)] = len(seen), value
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, Mapping):
        return [(copy_state(k, seen), copy_state(v, seen)) for k, v in value.items()]
    if isinstance(value, set | frozenset):
        return sorted(repr(item) for item in value)
    if isinstance(value, list | tuple | deque | ctypes.Array):
        return [type(value).__name__, *(copy_state(item, seen) for item in value)]
    return [type(value).__name__, *_list_fields(value, seen)]


def _list_fields(value: object, seen: dict[int, tuple[int, object]]) -> list[object]:
    names = set(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        slots = getattr(kind, "__slots__", ())
        names |= {slots} if isinstance(slots, str) else set(slots)
    return [(n, copy_state(getattr(value, n), seen)) for n in sorted(names) if hasattr(value, n)]


def list_changes(before: Sequence[object], after: Sequence[object]) -> list[str]:
    """Return the parts of a state that differ, each with the first difference."""
    return [_find_change(b, a, "") for b, a in zip(before, after, strict=True) if b != a]


def _find_change(before: object, after: object, path: str) -> str:
    if isinstance(before, list | tuple) and isinstance(after, list | tuple):
        for n, (b, a) in enumerate(zip(before, after, strict=False)):
            if b != a:
                name = before[0] if isinstance(before[0], str) else n
                return _find_change(b, a, f"{path}/{name}")
    return f"{path}: {before!r:.200} -> {after!r:.200}"
