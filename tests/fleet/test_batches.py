"""Check that a merged batch is equivalent to the batches that it replaces."""

import msgpack
import pytest

from turmericproxy.core import AccountName, RouteName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.fleet.batches import Batch, decode_batch, encode_batch, merge_batches
from turmericproxy.placement.registry import SpeedReport, Work
from turmericproxy.releases.messages import ReleaseNotice, ReleaseReport

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


def test_messages_on_rollouts_survive_encoding_and_merging() -> None:
    """Guard against counts or decisions that change or get lost on the way between hosts."""
    state = ["s", "v2", 3, 60.0, "stepping", 1, 0.05, 1.0, 2.0, "", [], ["v1"]]
    samples = ((True, RouteName("r"), 5, 1, ((0, 12, 4),)),)
    report = ReleaseReport(ServiceName("s"), "v2", 3, 9, 4, False, samples, None)
    first = Batch(release_notices=(ReleaseNotice(7, state),), release_reports=(report,))
    merged = merge_batches(first, Batch(release_reports=(report._replace(requests=10),)))
    decoded = decode_batch(
        msgpack.unpackb(msgpack.packb(encode_batch(merged)), strict_map_key=False)
    )
    assert decoded == merged
    assert [r.requests for r in decoded.release_reports] == [9, 10]
    assert encode_batch(Batch()) == {}


def test_malformed_state_of_a_rollout_is_no_message() -> None:
    """Guard against an error in the middle of a batch of which a part was applied."""
    with pytest.raises((ValueError, TypeError)):
        decode_batch({21: [[7, ["s", "v2"]]]})


def test_speeds_are_sent_in_order_and_only_if_there_are_any() -> None:
    """Guard against additional bytes between hosts where no engine reports its speed."""
    first = Batch(speeds=(SpeedReport(ONE, 5, 60),))
    merged = merge_batches(first, Batch(speeds=(SpeedReport(ONE, 5, 170),)))
    assert merged.speeds == (SpeedReport(ONE, 5, 60), SpeedReport(ONE, 5, 170))
    assert decode_batch(encode_batch(merged)) == merged
    assert encode_batch(Batch(work={ONE: Work(1)})) == {0: {ONE: Work(1)}}
