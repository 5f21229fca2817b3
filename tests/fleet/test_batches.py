"""Check that a merged batch is equivalent to the batches that it replaces."""

from turmericproxy.core import AccountName
from turmericproxy.core.ids import InstanceId
from turmericproxy.fleet.batches import Batch, decode_batch, encode_batch, merge_batches
from turmericproxy.placement.registry import SpeedReport, Work

ONE, TWO = InstanceId("one"), InstanceId("two")
A = AccountName("a")


def test_merge_keeps_newest_totals_and_concatenates_lists() -> None:
    first = Batch(work={ONE: Work(1), TWO: Work(2)}, spent={A: 5}, kept_parts=(("s", "p"),))
    second = Batch(work={ONE: Work(0)}, spent={A: 9}, kept_parts=(("s", "q"),), is_leaving=True)
    merged = merge_batches(first, second)
    assert merged.work == {ONE: Work(0), TWO: Work(2)}
    assert merged.spent == {A: 9}
    assert merged.kept_parts == (("s", "p"), ("s", "q"))
    assert merged.is_leaving


def test_merge_keeps_the_newest_state_of_the_kept_store() -> None:
    unreachable, unknown, reachable = (
        Batch(is_kept_store_reachable=False),
        Batch(),
        Batch(is_kept_store_reachable=True),
    )
    assert merge_batches(unreachable, unknown).is_kept_store_reachable is False
    assert merge_batches(unreachable, reachable).is_kept_store_reachable is True


def test_speeds_are_sent_in_order_and_only_if_there_are_any() -> None:
    """Guard against additional bytes between hosts where no engine reports its speed."""
    first = Batch(speeds=(SpeedReport(ONE, 5, 60),))
    merged = merge_batches(first, Batch(speeds=(SpeedReport(ONE, 5, 170),)))
    assert merged.speeds == (SpeedReport(ONE, 5, 60), SpeedReport(ONE, 5, 170))
    assert decode_batch(encode_batch(merged)) == merged
    assert encode_batch(Batch(work={ONE: Work(1)})) == {0: {ONE: Work(1)}}
