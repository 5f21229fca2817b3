"""Check that a retry budget adapts when its reserve changes."""

from turmericproxy.core.budget import RetryBudget


def test_smaller_reserve_reduces_the_balance() -> None:
    budget = RetryBudget(share=0.0, reserve=5.0)
    budget.set_reserve(2.0)
    assert [budget.take() for _ in range(3)] == [True, True, False]


def test_larger_reserve_is_filled_only_by_requests() -> None:
    budget = RetryBudget(share=1.0, reserve=1.0)
    assert budget.take()
    budget.set_reserve(3.0)
    assert not budget.take()
    for _ in range(5):
        budget.record_request()
    assert [budget.take() for _ in range(4)] == [True, True, True, False]


def test_spare_retries_are_limited_to_the_reserve() -> None:
    # The reserve of a host in a large fleet is little more than one retry.
    assert RetryBudget(reserve=1.3).holds(2)
    assert not RetryBudget(reserve=0.9).holds(2)
    budget = RetryBudget(reserve=4.0)
    assert [budget.take(), budget.take(), budget.holds(2)] == [True, True, True]
    assert [budget.take(), budget.holds(2), budget.holds(1)] == [True, False, True]
