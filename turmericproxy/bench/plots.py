"""Plot the measures of benchmark runs."""

from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

from turmericproxy.bench.runs import POLICIES, RunResult
from turmericproxy.bench.tables import COLUMNS, Column

PLOTTED_TITLES = ("hit rate", "p95 s", "p99 s", "wasted", "worst/median", "refused")


def plot_runs(results: Sequence[RunResult], path: Path) -> bool:
    """Write a bar chart for each user and measure; return ``False`` without matplotlib."""
    try:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError:
        return False
    users = list(dict.fromkeys(result.plan.shape.name for result in results))
    columns = [column for column in COLUMNS if column.title in PLOTTED_TITLES]
    size = (3.2 * len(columns), 3.4 * len(users))
    figure, axes = pyplot.subplots(len(users), len(columns), figsize=size, squeeze=False)
    for row, user in enumerate(users):
        runs = [result for result in results if result.plan.shape.name == user]
        for position, column in enumerate(columns):
            _draw(axes[row][position], runs, column)
        axes[row][0].set_ylabel(user)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return True


def _draw(axis: object, runs: Sequence[RunResult], column: Column) -> None:
    for position, policy in enumerate(POLICIES):
        values = [column.read(run) for run in runs if run.plan.policy == policy]
        if not values:
            continue
        mean = fmean(values)
        spread = [[mean - min(values)], [max(values) - mean]]
        axis.bar(position, mean, yerr=spread, capsize=4)  # type: ignore[attr-defined]
    axis.set_title(column.title)  # type: ignore[attr-defined]
    names = [policy.replace("_", "\n") for policy in POLICIES]
    axis.set_xticks(range(len(POLICIES)), names, fontsize=7)  # type: ignore[attr-defined]
