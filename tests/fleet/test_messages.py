"""Check that messages between hosts come back as they were sent."""

import pytest

from turmericproxy.core import AccountName, HostName, Incarnation, ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.messages import (
    LENGTH_BYTES,
    Batch,
    Hello,
    PlacedPrompt,
    Unreadable,
    pack_batch,
    pack_hello,
    pack_reader_news,
    unpack,
)
from turmericproxy.placement.book import Work
from turmericproxy.store import ChangedRow, Changes, ReaderNews
from turmericproxy.tables.messages import Row

ONE = InstanceId("one")
BATCH = Batch(
    work={ONE: Work(1, 2, 3)},
    placed=(PlacedPrompt(ONE, "s", (("p", 10),), 0.5),),
    kept=(("s", "p"),),
    spent={AccountName("a"): 5},
    levels={AccountName("a"): 7},
    versions=((ONE, ModelName("m"), 2),),
    changing=((ONE, 0.5),),
    is_leaving=True,
)


def test_messages_come_back_as_they_were() -> None:
    hello = Hello(HostName("h"), "10.0.0.1:1", "a", Incarnation("i"))
    assert unpack(pack_hello(hello)[LENGTH_BYTES:]) == hello
    assert unpack(pack_batch(BATCH)[LENGTH_BYTES:]) == BATCH


@pytest.mark.parametrize(
    "changes", [None, Changes((ChangedRow(Row("k", b"\xff", 4), is_deleted=True),), 5)]
)
def test_news_of_a_reader_come_back_as_they_were(changes: Changes | None) -> None:
    news = ReaderNews("t", 3, changes)
    assert unpack(pack_reader_news(news)[LENGTH_BYTES:]) == news


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91\xa5hello", b"\x92\xa5batch\x01", b"\x01"])
def test_other_bytes_are_unreadable(data: bytes) -> None:
    with pytest.raises(Unreadable):
        unpack(data)
