"""Render the tables of benchmark runs and compare the measures with the targets."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import fmean

from turmericproxy.bench.fleet_plan import NO_KEPT_STORE_POLICY
from turmericproxy.bench.measures import measure_worst_ratio, pool_first_tokens
from turmericproxy.bench.runs import ALL_POLICIES, RunResult

FIRST_TOKEN_TARGET = 0.34
HIT_RATE_TARGET = 0.9
WASTE_TARGET = 0.5
WORST_RATIO_TARGET = 1.5
REFUSED_TARGET = 0.01

POOLED = "pooled"
CELL_WIDTH = 26
OWN_POLICY = "expected_time"


@dataclass(frozen=True)
class Column:
    """Describe a table column: its title, the measure to read, and the decimal places."""

    title: str
    read: Callable[[RunResult], float]
    digits: int


COLUMNS = (
    Column("hit rate", lambda run: run.measures.hit_rate, 3),
    Column("of oracle", lambda run: run.measures.hit_rate / run.oracle_hit_rate, 3),
    Column("p50 s", lambda run: run.measures.p50, 3),
    Column("p95 s", lambda run: run.measures.p95, 3),
    Column("p99 s", lambda run: run.measures.p99, 3),
    Column("wasted", lambda run: run.measures.wasted, 3),
    Column("worst/median", lambda run: run.measures.worst_ratio, 2),
    Column("refused", lambda run: run.measures.refused, 4),
    Column("failed", lambda run: run.measures.failed, 4),
)


def render_tables(results: Sequence[RunResult]) -> str:
    """Return the tables of all users: mean, lowest and highest value over the seeds."""
    users = dict.fromkeys(result.plan.shape.name for result in results)
    return "\n".join(_render_user(user, results) for user in users)


def _render_user(user: str, results: Sequence[RunResult]) -> str:
    runs = [result for result in results if result.plan.shape.name == user]
    seeds = sorted({result.plan.seed for result in runs})
    titles = "".join(f"{column.title:>{CELL_WIDTH}}" for column in COLUMNS) + f"{POOLED:>8}"
    lines = [f"{user}, seeds {', '.join(map(str, seeds))}: mean [lowest, highest]"]
    lines.append(f"{'policy':<20}{titles}")
    for policy in ALL_POLICIES:
        group = [result for result in runs if result.plan.policy == policy]
        if group:
            cells = "".join(f"{_render_cell(column, group):>{CELL_WIDTH}}" for column in COLUMNS)
            lines.append(f"{policy:<20}{cells}{_pool_worst_ratio(group):>8.2f}")
    return "\n".join([*lines, *_render_targets(runs), ""])


def _pool_worst_ratio(group: Sequence[RunResult]) -> float:
    """Return the worst/median ratio over all seeds; one seed has few calls of small accounts."""
    return measure_worst_ratio(pool_first_tokens(run.first_tokens for run in group))


def _render_cell(column: Column, group: Sequence[RunResult]) -> str:
    values = [column.read(run) for run in group]
    mean, low, high = (f"{v:.{column.digits}f}" for v in (fmean(values), min(values), max(values)))
    return f"{mean} [{low}, {high}]"


def _render_targets(runs: Sequence[RunResult]) -> list[str]:
    own = [run for run in runs if run.plan.policy == OWN_POLICY]
    others = [run for run in runs if run.plan.policy not in (OWN_POLICY, NO_KEPT_STORE_POLICY)]
    if not own or not others:
        return []
    waste = _mean_by_policy(others, lambda run: run.measures.wasted)
    return [
        _format_target(
            "p95 to first token, s", fmean(r.measures.p95 for r in own), FIRST_TOKEN_TARGET
        ),
        _format_target(
            "distance to the oracle's hit rate",
            1 - fmean(r.measures.hit_rate / r.oracle_hit_rate for r in own),
            1 - HIT_RATE_TARGET,
        ),
        _format_target(
            "wasted, of the best baseline's",
            fmean(r.measures.wasted for r in own) / max(min(waste), 1e-9),
            WASTE_TARGET,
        ),
        _format_target("worst/median, seeds pooled", _pool_worst_ratio(own), WORST_RATIO_TARGET),
        _format_target(
            "refused inside the rate", fmean(r.measures.refused for r in own), REFUSED_TARGET
        ),
    ]


def _mean_by_policy(runs: Sequence[RunResult], read: Callable[[RunResult], float]) -> list[float]:
    policies = {run.plan.policy for run in runs}
    return [fmean(read(r) for r in runs if r.plan.policy == policy) for policy in policies]


def _format_target(title: str, value: float, target: float) -> str:
    status = "met" if value <= target else "MISSED"
    return f"  {title:<36} {value:8.4f}  target {target:g}  {status}"
