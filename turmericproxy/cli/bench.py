"""Run the measurements from the command line."""

from pathlib import Path
from typing import Annotated

import typer

QUICK_SECONDS = 5.0
QUICK_SEEDS = 1


def run_bench(
    out: Annotated[Path, typer.Option(help="Folder for raw figures and plots.")] = Path("out"),
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 3,
    first_seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of a workload, seconds.")] = 10.0,
    user: Annotated[list[str] | None, typer.Option(help="User; may be repeated.")] = None,
    policy: Annotated[
        list[str] | None, typer.Option(help="Policy; may be repeated; also expected_time_alone.")
    ] = None,
    calm: Annotated[bool, typer.Option(help="Leave out the faults.")] = False,
    quick: Annotated[bool, typer.Option(help="One seed, short workloads, one user.")] = False,
    speed: Annotated[bool, typer.Option(help="Measure only what one host adds and needs.")] = False,
) -> None:
    """Measure the policies under both users' workloads and print a table for each."""
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
        RunPlan(SHAPES[name], taken, seed, QUICK_SECONDS if quick else seconds, not calm)
        for name in users
        for seed in range(first_seed, first_seed + count)
        for taken in policy or POLICIES
    ]
    results = run_all(plans, out, typer.echo)
    tables = render_tables(results)
    typer.echo("\n" + tables)
    (out / "tables.txt").write_text(tables, encoding="utf-8")
    if plot_runs(results, out / "measures.png"):
        typer.echo(f"raw figures and plot are in {out}/")


def _run_speed(out: Path) -> None:
    from turmericproxy.bench.speed import measure_speed, render_speed

    typer.echo(render_speed(measure_speed(out)) + "\n")
