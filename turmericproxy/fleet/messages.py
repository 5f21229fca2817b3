"""Pack the messages between hosts."""

from collections.abc import Mapping
from dataclasses import astuple, dataclass, field
from typing import Any

import msgpack

from turmericproxy.core import AccountName, HostName, Incarnation, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.book import Work
from turmericproxy.store import ChangedRow, Changes, ReaderNews
from turmericproxy.tables.messages import Row

LENGTH_BYTES = 4
# A longer message is not one of ours.
LARGEST_MESSAGE_BYTES = 4 * 1024 * 1024


class Unreadable(ValueError):
    """Say that bytes from a peer are no message."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce the sender; it opens every stream."""

    host: HostName
    address: str
    domain: str
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class PlacedPrompt:
    """Say that an engine was sent prompt parts, which it will have read after some seconds."""

    instance: InstanceId
    space: str
    parts: tuple[tuple[str, int], ...]
    seconds: float


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold what has changed at the sender since its last batch.

    ``spent`` holds tokens since the sender's start, by account. ``changing`` holds the seconds
    that engines still need for new weights. ``is_leaving`` tells that the sender takes no more
    requests; hosts beside the kept store tell whether it answers.
    """

    work: Mapping[InstanceId, Work] = field(default_factory=dict)
    placed: tuple[PlacedPrompt, ...] = ()
    kept: tuple[tuple[str, str], ...] = ()
    spent: Mapping[AccountName, int] = field(default_factory=dict)
    levels: Mapping[AccountName, int] = field(default_factory=dict)
    versions: tuple[tuple[InstanceId, ModelName, int], ...] = ()
    changing: tuple[tuple[InstanceId, float], ...] = ()
    is_leaving: bool = False
    is_kept_store_reachable: bool | None = None


def merge_batches(first: Batch, second: Batch) -> Batch:
    """Return one batch that tells what two in a row tell."""
    is_reachable = second.is_kept_store_reachable
    return Batch(
        work={**first.work, **second.work},
        placed=first.placed + second.placed,
        kept=first.kept + second.kept,
        spent={**first.spent, **second.spent},
        levels={**first.levels, **second.levels},
        versions=first.versions + second.versions,
        changing=first.changing + second.changing,
        is_leaving=second.is_leaving,
        is_kept_store_reachable=(
            first.is_kept_store_reachable if is_reachable is None else is_reachable
        ),
    )


def pack_hello(hello: Hello) -> bytes:
    """Return the framed bytes of an introduction."""
    return _frame(["hello", hello.host, hello.address, hello.domain, hello.incarnation])


def pack_batch(batch: Batch) -> bytes:
    """Return the framed bytes of a batch."""
    return _frame(
        [
            "batch",
            {instance: astuple(work) for instance, work in batch.work.items()},
            [[p.instance, p.space, p.parts, p.seconds] for p in batch.placed],
            batch.kept,
            dict(batch.spent),
            dict(batch.levels),
            batch.versions,
            batch.changing,
            batch.is_leaving,
            batch.is_kept_store_reachable,
        ]
    )


def pack_reader_news(news: ReaderNews) -> bytes:
    """Return the framed bytes of what the reader of a failure domain learned."""
    changes = None
    if news.changes is not None:
        rows = [[*astuple(changed.row), changed.is_deleted] for changed in news.changes.rows]
        changes = [rows, news.changes.version]
    return _frame(["reader_news", news.table, news.after, changes])


def unpack(data: bytes) -> Hello | Batch | ReaderNews:
    """Return the message in a frame, or raise ``Unreadable``."""
    try:
        kind, *fields = msgpack.unpackb(data)
        if kind == "hello":
            return Hello(*map(str, fields))  # type: ignore[arg-type]
        if kind == "batch":
            return _read_batch(*fields)
        if kind == "reader_news":
            return _read_reader_news(*fields)
    except (ValueError, TypeError, KeyError, AttributeError, msgpack.UnpackException) as error:
        raise Unreadable(str(error)) from error
    raise Unreadable(f"no message is called {kind!r}")


def _frame(fields: list[Any]) -> bytes:
    body: bytes = msgpack.packb(fields)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _read_reader_news(table: Any, after: Any, changes: Any) -> ReaderNews:
    if changes is None:
        return ReaderNews(str(table), int(after), None)
    rows, version = changes
    changed = tuple(
        ChangedRow(Row(str(key), bytes(value), int(at)), bool(is_deleted))
        for key, value, at, is_deleted in rows
    )
    return ReaderNews(str(table), int(after), Changes(changed, int(version)))


def _read_batch(
    work: Any,
    placed: Any,
    kept: Any,
    spent: Any,
    levels: Any,
    versions: Any,
    changing: Any,
    is_leaving: Any,
    is_reachable: Any,
) -> Batch:
    return Batch(
        work={InstanceId(i): Work(*map(int, w)) for i, w in work.items()},
        placed=tuple(
            PlacedPrompt(InstanceId(i), str(s), tuple((str(p), int(t)) for p, t in parts), float(d))
            for i, s, parts, d in placed
        ),
        kept=tuple((str(space), str(part)) for space, part in kept),
        spent={AccountName(name): int(total) for name, total in spent.items()},
        levels={AccountName(name): int(level) for name, level in levels.items()},
        versions=tuple((InstanceId(i), ModelName(m), int(v)) for i, m, v in versions),
        changing=tuple((InstanceId(i), float(s)) for i, s in changing),
        is_leaving=bool(is_leaving),
        is_kept_store_reachable=None if is_reachable is None else bool(is_reachable),
    )
