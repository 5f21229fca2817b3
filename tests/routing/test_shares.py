from turmericproxy.core import AccountName
from turmericproxy.routing.shares import AccountShares

QUIET, NOISY = AccountName("quiet"), AccountName("noisy")
RATE, HOSTS = 8_000.0, 8


def rank_after(account: AccountName, tokens_per_second: float, compute: float = 0.0) -> int:
    shares, now = AccountShares(), 100.0
    for _ in range(200):
        now += 0.1
        shares.add(account, round(tokens_per_second * 0.1), now)
    return shares.rank(account, RATE, HOSTS, compute, now)


def test_account_inside_its_rate_keeps_its_priority():
    assert rank_after(QUIET, RATE / HOSTS) == 1


def test_account_at_several_times_its_rate_is_run_later():
    assert rank_after(NOISY, 5 * RATE / HOSTS) >= 5
    assert rank_after(NOISY, 50 * RATE / HOSTS) == 9


def test_long_computation_goes_first_only_inside_the_rate():
    assert rank_after(QUIET, RATE / HOSTS, compute=0.3) == 0
    assert rank_after(NOISY, 5 * RATE / HOSTS, compute=0.3) >= 5
