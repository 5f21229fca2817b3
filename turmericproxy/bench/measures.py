"""Compute the five measures of a run."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from turmericproxy.bench.results import CallResult, Ending
from turmericproxy.bench.workload import CallKind
from turmericproxy.cache.blocks import TOKENS_PER_BLOCK


@dataclass(frozen=True)
class Measures:
    """Hold the measures of one run; times are in seconds, the rest are shares from 0 to 1.

    ``hit_rate`` is the part of the tokens in full blocks that came from a cache. ``wasted`` is
    the part of them that was computed although some engine had computed the block before.
    ``worst_ratio`` divides the worst account's p95 by the median account's. ``refused`` is the
    part of the calls of accounts inside their rate that were refused, ``failed`` that broke.
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


def measure(
    results: Sequence[CallResult], counted: Sequence[CallResult], noisy_account: str
) -> Measures:
    """Return the measures of a run.

    Hits and waste are counted over all ``results``, times and refusals over those ``counted``
    after the caches have filled.
    """
    inside = [result for result in counted if result.account != noisy_account]
    noisy = [result for result in counted if result.account == noisy_account]
    chats = _list_answered_chats(results)
    times = [r.first_token for r in _list_answered_chats(inside) if r.first_token is not None]
    return Measures(
        calls=len(results),
        hit_rate=measure_hit_rate(chats),
        p50=find_quantile(times, 0.50),
        p95=find_quantile(times, 0.95),
        p99=find_quantile(times, 0.99),
        wasted=measure_waste(chats),
        worst_ratio=measure_worst_ratio(collect_first_tokens(counted, noisy_account)),
        refused=_measure_share(inside, Ending.REFUSED),
        failed=_measure_share(inside, Ending.FAILED),
        noisy_refused=_measure_share(noisy, Ending.REFUSED),
    )


def _list_answered_chats(results: Iterable[CallResult]) -> list[CallResult]:
    return [r for r in results if r.kind is CallKind.CHAT and r.ending is Ending.ANSWERED]


def measure_hit_rate(chats: Iterable[CallResult]) -> float:
    """Return the part of the tokens in full blocks that was cached."""
    cached = total = 0
    for result in chats:
        cached += result.cached_tokens
        total += len(result.blocks) * TOKENS_PER_BLOCK
    return cached / total if total else 0.0


def measure_waste(chats: Sequence[CallResult]) -> float:
    """Return the part of the tokens in full blocks that was computed again.

    A block has to be computed once; each further time counts as wasted.
    """
    total = sum(len(result.blocks) for result in chats)
    computed = sum(len(r.blocks) - r.cached_tokens // TOKENS_PER_BLOCK for r in chats)
    distinct = len({block for result in chats for block in result.blocks})
    return max(0, computed - distinct) / total if total else 0.0


def collect_first_tokens(
    results: Iterable[CallResult], noisy_account: str
) -> dict[str, tuple[float, ...]]:
    """Return the times to the first token of each account inside its rate."""
    times: dict[str, list[float]] = {}
    for result in _list_answered_chats(results):
        if result.account != noisy_account and result.first_token is not None:
            times.setdefault(result.account, []).append(result.first_token)
    return {account: tuple(values) for account, values in times.items()}


def measure_worst_ratio(times: Mapping[str, Sequence[float]]) -> float:
    """Return the worst account's p95 time to the first token over the median account's."""
    tails = [find_quantile(values, 0.95) for values in times.values()]
    return max(tails) / median(tails) if tails else 0.0


def pool_first_tokens(runs: Iterable[Mapping[str, Sequence[float]]]) -> dict[str, list[float]]:
    """Return the times of each account over several runs together."""
    pooled: dict[str, list[float]] = {}
    for times in runs:
        for account, values in times.items():
            pooled.setdefault(account, []).extend(values)
    return pooled


def find_quantile(values: Sequence[float], quantile: float) -> float:
    """Return the value below which that part of the values lies.

    >>> find_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _measure_share(results: Sequence[CallResult], ending: Ending) -> float:
    if not results:
        return 0.0
    return sum(result.ending is ending for result in results) / len(results)
