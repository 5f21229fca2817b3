from turmericproxy.core import AccountName
from turmericproxy.routing.shares import AccountPriorities

QUIET, NOISY = AccountName("quiet"), AccountName("noisy")
RATE, HOSTS = 8_000.0, 8


def compute_priority_after(
    account: AccountName, tokens_per_second: float, compute: float = 0.0
) -> int:
    priorities, now = AccountPriorities(), 100.0
    for _ in range(200):
        now += 0.1
        priorities.record_tokens(account, round(tokens_per_second * 0.1), now)
    return priorities.compute(account, RATE, HOSTS, compute, now)


def test_account_within_its_rate_has_the_default_priority():
    assert compute_priority_after(QUIET, RATE / HOSTS) == 1


def test_account_at_several_times_its_rate_has_a_lower_priority():
    assert compute_priority_after(NOISY, 5 * RATE / HOSTS) >= 5
    assert compute_priority_after(NOISY, 50 * RATE / HOSTS) == 9


def test_long_computation_goes_first_only_within_the_rate():
    assert compute_priority_after(QUIET, RATE / HOSTS, compute=0.3) == 0
    assert compute_priority_after(NOISY, 5 * RATE / HOSTS, compute=0.3) >= 5
