"""Encode and decode the messages between hosts."""

import zlib
from dataclasses import astuple, dataclass
from enum import Enum
from functools import lru_cache
from typing import Any, NamedTuple

import msgpack

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.batches import Batch, decode_batch, encode_batch
from turmericproxy.store import ChangedRow, Changes, ReaderUpdate
from turmericproxy.tables.messages import Row

LENGTH_BYTES = 4
# A longer frame does not come from a host of the fleet.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Smaller bundles are sent uncompressed: compression would save less than a packet header.
MIN_COMPRESSED_BYTES = 256
COMPRESSION_LEVEL = 1
# Each update names its sender, so decoded introductions are kept: more than a large fleet's hosts.
CACHED_INTRODUCTIONS = 4096
# What decoding malformed bytes may raise.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    AttributeError,
    msgpack.UnpackException,
    zlib.error,
)


class MessageError(ValueError):
    """Report bytes from a peer that are not a valid message."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a host; ``link_mbps`` is the bandwidth of its link in Mbit/s."""

    host: HostName
    address: str
    domain: str
    incarnation: Incarnation
    link_mbps: int = 0


class HostUpdate(NamedTuple):
    """Hold an update from one host to all others, numbered within the sender's incarnation."""

    sender: Hello
    sequence: int
    content: Batch | ReaderUpdate


class ForwardScope(Enum):
    """Name the hosts to which the receiver of a bundle forwards its updates."""

    NOBODY = "nobody"
    DOMAIN = "domain"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class UpdateBundle:
    """Hold packed updates of any hosts, which are forwarded as the same bytes."""

    scope: ForwardScope
    packed: tuple[bytes, ...]


def pack_hello(hello: Hello) -> bytes:
    """Return the frame of an introduction."""
    return _frame(["hello", *astuple(hello)])


def pack_update(update: HostUpdate) -> bytes:
    """Return the bytes of an update, for a bundle."""
    content = update.content
    is_batch = isinstance(content, Batch)
    encoded = (
        encode_batch(content) if isinstance(content, Batch) else _encode_reader_update(content)
    )
    packed: bytes = msgpack.packb([*astuple(update.sender), update.sequence, is_batch, encoded])
    return packed


def pack_bundle(bundle: UpdateBundle) -> bytes:
    """Return the frame of a bundle."""
    data: bytes = msgpack.packb(bundle.packed)
    is_compressed = len(data) >= MIN_COMPRESSED_BYTES
    if is_compressed:
        data = zlib.compress(data, COMPRESSION_LEVEL)
    return _frame(["notes", bundle.scope.value, is_compressed, data])


def unpack_message(data: bytes) -> Hello | UpdateBundle:
    """Return the message in a frame, or raise ``MessageError``."""
    try:
        kind, *values = msgpack.unpackb(data)
        if kind == "hello":
            return _decode_hello(*values)
        if kind == "notes":
            return _decode_bundle(*values)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error
    raise MessageError(f"unknown kind of message {kind!r}")


def unpack_update(data: bytes) -> HostUpdate:
    """Return a packed update, or raise ``MessageError``."""
    try:
        *sender, sequence, is_batch, encoded = msgpack.unpackb(data, strict_map_key=False)
        content = decode_batch(encoded) if is_batch else _decode_reader_update(*encoded)
        return HostUpdate(_decode_hello(*sender), int(sequence), content)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error


def _frame(values: list[Any]) -> bytes:
    body: bytes = msgpack.packb(values)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


@lru_cache(CACHED_INTRODUCTIONS)
def _decode_hello(host: Any, address: Any, domain: Any, incarnation: Any, link_mbps: Any) -> Hello:
    return Hello(
        HostName(str(host)),
        str(address),
        str(domain),
        Incarnation(str(incarnation)),
        int(link_mbps),
    )


def _decode_bundle(scope: Any, is_compressed: Any, data: Any) -> UpdateBundle:
    if is_compressed:
        inflater = zlib.decompressobj()
        data = inflater.decompress(data, MAX_MESSAGE_BYTES)
        if inflater.unconsumed_tail:
            raise MessageError("decompressed bundle exceeds the largest message")
    return UpdateBundle(ForwardScope(scope), tuple(map(bytes, msgpack.unpackb(data))))


def _encode_reader_update(update: ReaderUpdate) -> list[Any]:
    changes = None
    if update.changes is not None:
        rows = [[*astuple(changed.row), changed.is_deleted] for changed in update.changes.rows]
        changes = [rows, update.changes.version, update.changes.era]
    return [update.table, update.base_version, changes]


def _decode_reader_update(table: Any, base_version: Any, changes: Any) -> ReaderUpdate:
    if changes is None:
        return ReaderUpdate(str(table), int(base_version), None)
    rows, version, era = changes
    changed = tuple(
        ChangedRow(Row(str(key), bytes(value), int(row_version)), bool(is_deleted))
        for key, value, row_version, is_deleted in rows
    )
    return ReaderUpdate(str(table), int(base_version), Changes(changed, int(version), int(era)))
