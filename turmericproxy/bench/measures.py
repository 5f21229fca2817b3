"""Compute the measures of a run: hit rate, latency, wasted work, fairness and refusals."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from turmericproxy.bench.results import CallOutcome, CallResult
from turmericproxy.bench.workload import CallKind
from turmericproxy.cache.blocks import TOKENS_PER_BLOCK


@dataclass(frozen=True)
class Measures:
    """Store the measures of one run.

    The quantiles are times to the first token in seconds; the others but ``calls`` and
    ``worst_ratio`` are shares from 0 to 1. ``hit_rate`` is the share of the tokens in full blocks
    that came from a cache. ``wasted`` is the share of blocks that were computed although some
    engine had computed them before. ``worst_ratio`` is the p95 of the worst account over that of
    the median account. ``refused`` and ``failed`` are shares of the calls of the accounts that
    stay within their rate; ``noisy_refused`` is the share of the noisy account's calls.
    """

    calls: int
    hit_rate: float
    p50: float
    p95: float
    p99: float
    wasted: float
    worst_ratio: float
    refused: float
    failed: float
    noisy_refused: float


def compute_measures(
    results: Sequence[CallResult], counted: Sequence[CallResult], noisy_account: str
) -> Measures:
    """Return the measures of a run.

    Hits and waste are counted over all ``results``; times, refusals and failures only over
    ``counted``, the calls after the caches have filled.
    """
    within_rate = [result for result in counted if result.account != noisy_account]
    noisy = [result for result in counted if result.account == noisy_account]
    chats = _list_answered_chats(results)
    times = [r.first_token for r in _list_answered_chats(within_rate) if r.first_token is not None]
    return Measures(
        calls=len(results),
        hit_rate=measure_hit_rate(chats),
        p50=find_quantile(times, 0.50),
        p95=find_quantile(times, 0.95),
        p99=find_quantile(times, 0.99),
        wasted=measure_waste(chats),
        worst_ratio=measure_worst_ratio(collect_first_tokens(counted, noisy_account)),
        refused=_measure_share(within_rate, CallOutcome.REFUSED),
        failed=_measure_share(within_rate, CallOutcome.FAILED),
        noisy_refused=_measure_share(noisy, CallOutcome.REFUSED),
    )


def _list_answered_chats(results: Iterable[CallResult]) -> list[CallResult]:
    return [r for r in results if r.kind is CallKind.CHAT and r.ending is CallOutcome.ANSWERED]


def measure_hit_rate(chats: Iterable[CallResult]) -> float:
    """Return the share of the tokens in full blocks that was cached."""
    cached = total = 0
    for result in chats:
        cached += result.cached_tokens
        total += len(result.blocks) * TOKENS_PER_BLOCK
    return cached / total if total else 0.0


def measure_waste(chats: Sequence[CallResult]) -> float:
    """Return the share of full blocks that were computed more than once.

    The first computation of a block is necessary; each further one counts as wasted.
    """
    total = sum(len(result.blocks) for result in chats)
    computed = sum(len(r.blocks) - r.cached_tokens // TOKENS_PER_BLOCK for r in chats)
    distinct = len({block for result in chats for block in result.blocks})
    return max(0, computed - distinct) / total if total else 0.0


def collect_first_tokens(
    results: Iterable[CallResult], noisy_account: str
) -> dict[str, tuple[float, ...]]:
    """Return the times to the first token of each account that stays within its rate."""
    times: dict[str, list[float]] = {}
    for result in _list_answered_chats(results):
        if result.account != noisy_account and result.first_token is not None:
            times.setdefault(result.account, []).append(result.first_token)
    return {account: tuple(values) for account, values in times.items()}


def measure_worst_ratio(times: Mapping[str, Sequence[float]]) -> float:
    """Return the p95 time to first token of the worst account over that of the median account."""
    tails = [find_quantile(values, 0.95) for values in times.values()]
    return max(tails) / median(tails) if tails else 0.0


def pool_first_tokens(runs: Iterable[Mapping[str, Sequence[float]]]) -> dict[str, list[float]]:
    """Return the times of each account, pooled over several runs."""
    pooled: dict[str, list[float]] = {}
    for times in runs:
        for account, values in times.items():
            pooled.setdefault(account, []).extend(values)
    return pooled


def find_quantile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile of the values, or NaN if there are none.

    >>> find_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _measure_share(results: Sequence[CallResult], ending: CallOutcome) -> float:
    if not results:
        return 0.0
    return sum(result.ending is ending for result in results) / len(results)
