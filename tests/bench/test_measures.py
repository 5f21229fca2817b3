from dataclasses import replace

from turmericproxy.bench.measures import (
    collect_first_tokens,
    compute_measures,
    measure_worst_ratio,
    pool_first_tokens,
)
from turmericproxy.bench.results import CallOutcome, CallResult
from turmericproxy.bench.workload import CallKind

CHAT = CallResult(
    number=0,
    account="lima",
    kind=CallKind.CHAT,
    is_noise=False,
    at=1.0,
    ending=CallOutcome.ANSWERED,
    first_token=0.1,
    prompt_tokens=4_100,
    cached_tokens=0,
    blocks=("rules", "notes"),
)


def test_second_computation_of_a_block_is_wasted():
    results = [CHAT, replace(CHAT, cached_tokens=2_000), replace(CHAT, cached_tokens=4_000)]
    measures = compute_measures(results, results, "noisy")
    assert measures.wasted == 1 / 6
    assert measures.hit_rate == 0.5


def test_refusals_count_only_inside_the_rate_and_after_the_warm_up():
    refused = replace(CHAT, ending=CallOutcome.REFUSED, first_token=None)
    noisy = replace(refused, account="noisy")
    results = [refused, refused, CHAT, noisy]
    measures = compute_measures(results, results[1:], "noisy")
    assert measures.refused == 0.5
    assert measures.noisy_refused == 1.0
    assert measures.failed == 0.0


def test_worst_account_is_compared_with_the_median_one():
    chats = [
        replace(CHAT, account=account, first_token=seconds)
        for account, seconds in (("a", 0.1), ("b", 0.2), ("c", 0.6), ("noisy", 9.0))
    ]
    times = collect_first_tokens(chats, "noisy")
    assert measure_worst_ratio(times) == 0.6 / 0.2
    pooled = pool_first_tokens([times, times])
    assert pooled["a"] == [0.1, 0.1]
