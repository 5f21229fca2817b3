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


def test_retry_is_available_until_the_last_one_is_taken() -> None:
    budget = RetryBudget(share=0.0, reserve=1.3)
    assert [budget.has_retry(), budget.take(), budget.has_retry()] == [True, True, False]
