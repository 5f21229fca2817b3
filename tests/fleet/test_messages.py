"""Check that messages between hosts come back as they were sent."""

import zlib

import msgpack
import pytest

from turmericproxy.core import AccountName, HostName, Incarnation, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.batches import Batch, PlacedPrompt
from turmericproxy.fleet.messages import (
    LARGEST_MESSAGE_BYTES,
    LENGTH_BYTES,
    Hello,
    Note,
    Notes,
    Spread,
    Unreadable,
    pack_hello,
    pack_note,
    pack_notes,
    unpack,
    unpack_note,
)
from turmericproxy.placement.registry import Work
from turmericproxy.store import ChangedRow, Changes, ReaderUpdate
from turmericproxy.tables.messages import Row

ONE = InstanceId("one")
BATCH = Batch(
    work={ONE: Work(1, 2, 3)},
    placed_prompts=(PlacedPrompt(ONE, "s", (("p", 10),), 0.5),),
    kept_parts=(("s", "p"),),
    spent={AccountName("a"): 5},
    levels={AccountName("a"): 7},
    versions=((ONE, ModelName("m"), 2),),
    loading=((ONE, 0.5),),
    superseded=((ONE, "10.0.0.1:1"),),
    is_leaving=True,
    is_kept_store_reachable=False,
    is_full_state=True,
)
SENDER = Hello(HostName("h"), "10.0.0.1:1", "a", Incarnation("i"), 100)


def test_introductions_come_back_as_they_were() -> None:
    assert unpack(pack_hello(SENDER)[LENGTH_BYTES:]) == SENDER


@pytest.mark.parametrize(
    "content",
    [
        BATCH,
        Batch(),
        ReaderUpdate("t", 3, None),
        ReaderUpdate("t", 3, Changes((ChangedRow(Row("k", b"\xff", 4), is_deleted=True),), 5)),
    ],
)
def test_notes_come_back_as_they_were(content: Batch | ReaderUpdate) -> None:
    note = Note(SENDER, 7, content)
    assert unpack_note(pack_note(note)) == note


@pytest.mark.parametrize("count", [1, 100])
def test_packed_notes_come_back_as_they_were(count: int) -> None:
    notes = Notes(Spread.DOMAIN, (pack_note(Note(SENDER, 7, BATCH)),) * count)
    assert unpack(pack_notes(notes)[LENGTH_BYTES:]) == notes


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x91\xa5hello",
        b"\x94\xa5notes\xa6nobody\xc3\xc4\x01x",
        b"\x94\xa5notes\xa3all\xc2\xc4\x01\x90",
        b"\x01",
    ],
)
def test_other_bytes_are_unreadable(data: bytes) -> None:
    with pytest.raises(Unreadable):
        unpack(data)


def test_notes_that_grow_too_large_are_unreadable() -> None:
    bomb = zlib.compress(b"\x00" * (LARGEST_MESSAGE_BYTES + 1))
    with pytest.raises(Unreadable):
        unpack(msgpack.packb(["notes", "nobody", True, bomb]))
