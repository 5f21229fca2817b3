"""Command that runs the benchmarks."""

from pathlib import Path
from typing import Annotated

import typer

QUICK_SECONDS = 5.0
QUICK_SEEDS = 1


def run_bench(
    out: Annotated[Path, typer.Option(help="Directory for raw results and plots.")] = Path("out"),
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 3,
    first_seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Duration of a workload, seconds.")] = 10.0,
    user: Annotated[list[str] | None, typer.Option(help="User; may be repeated.")] = None,
    policy: Annotated[
        list[str] | None, typer.Option(help="Policy; may be repeated; also expected_time_alone.")
    ] = None,
    calm: Annotated[bool, typer.Option(help="Run without injected faults.")] = False,
    quick: Annotated[bool, typer.Option(help="One seed, short workloads, one user.")] = False,
    speed: Annotated[
        bool, typer.Option(help="Measure only the latency and resources that one host adds.")
    ] = False,
) -> None:
    """Measure the routing policies under the workloads of both users and print their tables."""
    _run_speed(out)
    if speed:
        return
    from turmericproxy.bench.plots import plot_runs
    from turmericproxy.bench.runs import POLICIES, RunPlan, run_all
    from turmericproxy.bench.shapes import SHAPES
    from turmericproxy.bench.tables import render_tables

    users = user or (list(SHAPES)[:1] if quick else list(SHAPES))
    count = QUICK_SEEDS if quick else seeds
    plans = [
        RunPlan(SHAPES[user_name], policy_name, seed, QUICK_SECONDS if quick else seconds, not calm)
        for user_name in users
        for seed in range(first_seed, first_seed + count)
        for policy_name in policy or POLICIES
    ]
    results = run_all(plans, out, typer.echo)
    tables = render_tables(results)
    typer.echo("\n" + tables)
    (out / "tables.txt").write_text(tables, encoding="utf-8")
    if plot_runs(results, out / "measures.png"):
        typer.echo(f"raw results and plot are in {out}/")


def _run_speed(out: Path) -> None:
    from turmericproxy.bench.speed import measure_speed, render_speed

    typer.echo(render_speed(measure_speed(out)) + "\n")
