"""Check that no two hosts hold the lease on orders within the guard time of each other."""

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.rollout.lease import Claim, OrderLease, Wait, decide_claim

GUARD = 3.0


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 4.0)), max_size=40))
def test_holders_never_take_turns_within_the_guard(steps: list[tuple[str, float]]) -> None:
    clock, current = 0.0, None
    for holder, passed in steps:
        clock += passed
        decision = decide_claim(current, holder, clock, GUARD)
        if isinstance(decision, Wait):
            assert current is not None
            assert decision.seconds > 0
            continue
        lease = decision.lease
        if current is not None and current.holder != holder:
            assert clock >= current.until + GUARD
            assert lease.fence > current.fence
        elif current is not None:
            assert lease.fence == current.fence
        current = lease


def test_restarted_host_goes_on_at_once() -> None:
    decision = decide_claim(OrderLease("a", 3, 12.0), "a", 10.5, GUARD)
    assert decision == Claim(OrderLease("a", 3, 12.5))
