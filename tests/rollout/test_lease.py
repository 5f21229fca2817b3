"""Check that leases of different hosts are separated by at least the guard time."""

from hypothesis import given
from hypothesis import strategies as st

from turmericproxy.rollout.lease import Claim, OrderLease, Wait, decide_claim

GUARD_SECONDS = 3.0


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0.0, 4.0)), max_size=40))
def test_leases_of_different_holders_are_separated_by_the_guard_time(
    attempts: list[tuple[str, float]],
) -> None:
    clock, current = 0.0, None
    for holder, elapsed in attempts:
        clock += elapsed
        decision = decide_claim(current, holder, clock, GUARD_SECONDS)
        if isinstance(decision, Wait):
            assert current is not None
            assert decision.seconds > 0
            continue
        lease = decision.lease
        if current is not None and current.holder != holder:
            assert clock >= current.until + GUARD_SECONDS
            assert lease.fence > current.fence
        elif current is not None:
            assert lease.fence == current.fence
        current = lease


def test_restarted_host_extends_its_lease_without_waiting() -> None:
    decision = decide_claim(OrderLease("a", 3, 12.0), "a", 10.5, GUARD_SECONDS)
    assert decision == Claim(OrderLease("a", 3, 12.5))
