"""Pack the messages between hosts."""

import zlib
from dataclasses import astuple, dataclass
from enum import Enum
from typing import Any

import msgpack

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.batches import Batch, read_batch, write_batch
from turmericproxy.store import ChangedRow, Changes, ReaderUpdate
from turmericproxy.tables.messages import Row

LENGTH_BYTES = 4
# A longer message is not one of ours.
LARGEST_MESSAGE_BYTES = 4 * 1024 * 1024
# Notes of fewer bytes are sent as they are; compressing them saves less than a packet's head.
LEAST_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1


class Unreadable(ValueError):
    """Say that bytes from a peer are no message."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a host; ``link_mbps`` orders hosts by their links, in Mbit/s."""

    host: HostName
    address: str
    domain: str
    incarnation: Incarnation
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class Note:
    """Hold what a host tells all others; the notes of one run of a host are numbered."""

    sender: Hello
    number: int
    content: Batch | ReaderUpdate


class Spread(Enum):
    """Tell to whom the receiver of notes passes them on."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class Notes:
    """Hold packed notes of any hosts, to be passed on as they are."""

    spread: Spread
    packed: tuple[bytes, ...]


def pack_hello(hello: Hello) -> bytes:
    """Return the framed bytes of an introduction."""
    return _frame(["hello", *astuple(hello)])


def pack_note(note: Note) -> bytes:
    """Return the bytes of a note, for a message of notes."""
    content = note.content
    is_batch = isinstance(content, Batch)
    told = write_batch(content) if isinstance(content, Batch) else _write_reader_news(content)
    packed: bytes = msgpack.packb([*astuple(note.sender), note.number, is_batch, told])
    return packed


def pack_notes(notes: Notes) -> bytes:
    """Return the framed bytes of notes."""
    data: bytes = msgpack.packb(notes.packed)
    is_compressed = len(data) >= LEAST_COMPRESSED_BYTES
    if is_compressed:
        data = zlib.compress(data, COMPRESSION_LEVEL)
    return _frame(["notes", notes.spread.value, is_compressed, data])


def unpack(data: bytes) -> Hello | Notes:
    """Return the message in a frame, or raise ``Unreadable``."""
    with _Reading():
        kind, *values = msgpack.unpackb(data)
        if kind == "hello":
            return _read_hello(*values)
        if kind == "notes":
            return _read_notes(*values)
    raise Unreadable(f"no message is called {kind!r}")


def unpack_note(data: bytes) -> Note:
    """Return a packed note, or raise ``Unreadable``."""
    with _Reading():
        *sender, number, is_batch, told = msgpack.unpackb(data, strict_map_key=False)
        content = read_batch(told) if is_batch else _read_reader_news(*told)
        return Note(_read_hello(*sender), int(number), content)


class _Reading:
    """Turn the errors of reading into ``Unreadable``."""

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: object, error: BaseException | None, trace: object) -> None:
        if isinstance(
            error,
            ValueError
            | TypeError
            | KeyError
            | AttributeError
            | msgpack.UnpackException
            | zlib.error,
        ):
            raise Unreadable(str(error)) from error


def _frame(values: list[Any]) -> bytes:
    body: bytes = msgpack.packb(values)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def _read_hello(host: Any, address: Any, domain: Any, incarnation: Any, link_mbps: Any) -> Hello:
    return Hello(
        HostName(str(host)),
        str(address),
        str(domain),
        Incarnation(str(incarnation)),
        int(link_mbps),
    )


def _read_notes(spread: Any, is_compressed: Any, data: Any) -> Notes:
    if is_compressed:
        inflater = zlib.decompressobj()
        data = inflater.decompress(data, LARGEST_MESSAGE_BYTES)
        if inflater.unconsumed_tail:
            raise Unreadable("notes are too large")
    return Notes(Spread(spread), tuple(map(bytes, msgpack.unpackb(data))))


def _write_reader_news(news: ReaderUpdate) -> list[Any]:
    changes = None
    if news.changes is not None:
        rows = [[*astuple(changed.row), changed.is_deleted] for changed in news.changes.rows]
        changes = [rows, news.changes.version]
    return [news.table, news.after, changes]


def _read_reader_news(table: Any, after: Any, changes: Any) -> ReaderUpdate:
    if changes is None:
        return ReaderUpdate(str(table), int(after), None)
    rows, version = changes
    changed = tuple(
        ChangedRow(Row(str(key), bytes(value), int(at)), bool(is_deleted))
        for key, value, at, is_deleted in rows
    )
    return ReaderUpdate(str(table), int(after), Changes(changed, int(version)))
