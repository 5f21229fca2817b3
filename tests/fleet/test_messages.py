"""Check that messages between hosts decode to the encoded values, and that others are rejected."""

import zlib

import msgpack
import pytest

from turmericproxy.core import AccountName, HostName, Incarnation, ModelName, RequestId
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.evidence import (
    BlockNotice,
    BrokenPrompt,
    EndReport,
    EngineStart,
    ModelPart,
)
from turmericproxy.fleet.batches import Batch, PlacedPrompt
from turmericproxy.fleet.messages import (
    LENGTH_BYTES,
    MAX_MESSAGE_BYTES,
    ForwardScope,
    Hello,
    HostUpdate,
    MessageError,
    UpdateBundle,
    pack_bundle,
    pack_hello,
    pack_update,
    unpack_message,
    unpack_update,
)
from turmericproxy.placement.registry import SpeedReport, Work
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
    leaving=((ONE, 17),),
    alive=(HostName("x"),),
    evicted=((ONE, "s", "p"),),
    kept_epoch=0,
    ended=(
        EndReport(
            EngineStart(ONE, 3),
            0.5,
            (BrokenPrompt(RequestId("r"), ModelName("m"), ("p", "q"), True, 0.25),),
            4,
        ),
    ),
    answered_parts=(ModelPart(ModelName("m"), "p"),),
    blocks=(BlockNotice(ModelName("m"), ("p",), 600.0, 1, True),),
    speeds=(SpeedReport(ONE, 17, 60),),
)
SENDER = Hello(HostName("h"), "10.0.0.1:1", "a", Incarnation("i"), 100)


def test_introduction_round_trips() -> None:
    assert unpack_message(pack_hello(SENDER)[LENGTH_BYTES:]) == SENDER


@pytest.mark.parametrize(
    "content",
    [
        BATCH,
        Batch(),
        ReaderUpdate("t", 3, None),
        ReaderUpdate("t", 3, Changes((ChangedRow(Row("k", b"\xff", 4), is_deleted=True),), 5, 2)),
    ],
)
def test_update_round_trips(content: Batch | ReaderUpdate) -> None:
    update = HostUpdate(SENDER, 7, content)
    assert unpack_update(pack_update(update)) == update


@pytest.mark.parametrize("count", [1, 100])
def test_bundle_round_trips(count: int) -> None:
    bundle = UpdateBundle(ForwardScope.DOMAIN, (pack_update(HostUpdate(SENDER, 7, BATCH)),) * count)
    assert unpack_message(pack_bundle(bundle)[LENGTH_BYTES:]) == bundle


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
def test_malformed_message_is_rejected(data: bytes) -> None:
    with pytest.raises(MessageError):
        unpack_message(data)


def test_bundle_that_decompresses_beyond_the_limit_is_rejected() -> None:
    bomb = zlib.compress(b"\x00" * (MAX_MESSAGE_BYTES + 1))
    with pytest.raises(MessageError):
        unpack_message(msgpack.packb(["notes", "nobody", True, bomb]))
