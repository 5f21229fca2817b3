"""Check the arithmetic of the token bucket."""

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericproxy.core.bucket import (
    MICRO,
    Bucket,
    SpendRecord,
    give_back,
    measure_wait,
    refill,
    resize,
    spend,
)


@dataclass(frozen=True)
class Operation:
    """Wait, then spend ``amount``, or return up to ``amount`` of the spend ``returned_use``."""

    wait: int
    amount: int
    returned_use: int | None


OPERATIONS = st.lists(
    st.builds(
        Operation,
        wait=st.integers(0, 2 * MICRO),
        amount=st.integers(1, 12 * MICRO),
        returned_use=st.one_of(st.none(), st.integers(0, 7)),
    ),
    min_size=1,
    max_size=14,
)
BUCKETS = st.builds(
    Bucket,
    rate=st.integers(1, 5 * MICRO),
    depth=st.just(10 * MICRO),
    level=st.integers(0, 10 * MICRO),
    updated=st.just(0),
)


@dataclass
class Use:
    """A spend and the part of it that was not returned."""

    at: int
    spent: SpendRecord
    used: int
    is_returned: bool = False


def apply_operations(bucket: Bucket, operations: list[Operation]) -> list[Use]:
    now = 0
    uses: list[Use] = []
    for operation in operations:
        now += operation.wait
        if operation.returned_use is not None and operation.returned_use < len(uses):
            use = uses[operation.returned_use]
            if not use.is_returned:
                unused = min(operation.amount, use.spent.amount)
                bucket = give_back(bucket, use.spent, unused, now)
                use.used -= unused
                use.is_returned = True
            continue
        result = spend(bucket, operation.amount, now)
        if result:
            bucket, spent = result
            uses.append(Use(now, spent, spent.amount))
    return uses


@settings(max_examples=300, derandomize=True)
@given(BUCKETS, OPERATIONS)
def test_use_in_any_interval_is_within_burst_and_rate(bucket, operations):
    uses = apply_operations(bucket, operations)
    for first, start in enumerate(uses):
        total = 0
        for use in uses[first:]:
            total += use.used
            assert total <= bucket.depth + bucket.rate * (use.at - start.at) // MICRO


@settings(max_examples=200, derandomize=True)
@given(BUCKETS, st.integers(1, 10 * MICRO), st.integers(1, 10 * MICRO), OPERATIONS)
def test_returning_a_part_equals_a_smaller_spend(bucket, amount, unused, operations):
    result = spend(bucket, amount, 0)
    if result is None:
        return
    unused = min(unused, amount)
    large, spent = result
    small, _ = spend(bucket, amount - unused, 0)
    now = 0
    for operation in operations:
        now += operation.wait
        after = spend(large, operation.amount, now)
        if after:
            large, small = after[0], spend(small, operation.amount, now)[0]
    assert give_back(large, spent, unused, now).level == refill(small, now).level


@given(BUCKETS, st.integers(1, 10 * MICRO))
def test_wait_is_the_shortest_that_suffices(bucket, amount):
    wait = measure_wait(bucket, amount, 0)
    now = int(wait * MICRO) + 1
    assert spend(bucket, amount, now) is not None
    if now > 4:
        assert spend(bucket, amount, now - 4) is None or wait == 0


def test_earlier_time_does_not_refill():
    assert refill(Bucket(MICRO, MICRO, 0, 100), 50).level == 0


def test_more_than_the_depth_is_never_available():
    assert measure_wait(Bucket(1, 5, 0, 0), 6, 0) is None


def test_smaller_depth_reduces_the_level():
    assert resize(Bucket(1, 10, 8, 0), 1, 5, 0).level == 5
