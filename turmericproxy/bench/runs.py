"""Run workloads on clusters of real processes and write the results."""

import json
import os
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.fault_injection import FaultInjector
from turmericproxy.bench.fleet_plan import NO_KEPT_STORE_POLICY, ROUTE, create_plan
from turmericproxy.bench.load_generator import Target, send_calls
from turmericproxy.bench.measures import Measures, collect_first_tokens, compute_measures
from turmericproxy.bench.oracle import create_replay, find_best_hit_rate
from turmericproxy.bench.results import CallResult
from turmericproxy.bench.shapes import Shape
from turmericproxy.bench.workload import create_workload

POLICIES = ("expected_time", "round_robin", "least_loaded", "hash_first")
ALL_POLICIES = (*POLICIES, NO_KEPT_STORE_POLICY)
WARM_UP_SHARE = 0.15
DECISION_MARKER = '"decision": true'

ReportProgress = Callable[[str], None]


@dataclass(frozen=True)
class RunPlan:
    """Describe one run; ``seconds`` is the length of its workload."""

    shape: Shape
    policy: str
    seed: int
    seconds: float
    is_disturbed: bool = True


@dataclass(frozen=True)
class RunResult:
    """Store the measures of a run and the oracle's hit rate on the same calls."""

    plan: RunPlan
    measures: Measures
    first_tokens: Mapping[str, tuple[float, ...]]
    oracle_hit_rate: float
    faults: tuple[str, ...]
    wall_seconds: float
    machine_load: float

    def describe(self) -> dict[str, object]:
        """Return the result as a JSON value."""
        return {
            "user": self.plan.shape.name,
            "policy": self.plan.policy,
            "seed": self.plan.seed,
            "seconds": self.plan.seconds,
            "disturbed": self.plan.is_disturbed,
            **asdict(self.measures),
            "oracle_hit_rate": self.oracle_hit_rate,
            "faults": list(self.faults),
            "wall_seconds": self.wall_seconds,
            "machine_load": self.machine_load,
        }


def run_all(
    plans: Sequence[RunPlan], folder: Path, report_progress: ReportProgress
) -> list[RunResult]:
    """Run the plans one after the other, and write raw results as JSON lines to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    results = []
    with (folder / "runs.jsonl").open("w", encoding="utf-8") as lines:
        for number, plan in enumerate(plans, start=1):
            result = run_plan(plan, folder)
            results.append(result)
            lines.write(json.dumps(result.describe()) + "\n")
            lines.flush()
            report_progress(f"[{number}/{len(plans)}] {_summarize(result)}")
    return results


def run_plan(plan: RunPlan, folder: Path) -> RunResult:
    """Run one workload on a new cluster."""
    started = time.monotonic()
    calls = create_workload(plan.shape, plan.seed, plan.seconds)
    cluster = start_cluster(create_plan(plan.shape, plan.policy))
    try:
        fault_injector = FaultInjector(cluster, plan.seconds)
        if plan.is_disturbed:
            fault_injector.start()
        results = send_calls(calls, _create_target(cluster, plan.shape))
        if plan.is_disturbed:
            fault_injector.close()
        _write_decisions(folder, plan, cluster)
    finally:
        cluster.close()
    _write_calls(folder, plan, results)
    counted = [r for r in results if r.at >= WARM_UP_SHARE * plan.seconds]
    return RunResult(
        plan=plan,
        measures=compute_measures(results, counted, plan.shape.noisy_account),
        first_tokens=collect_first_tokens(counted, plan.shape.noisy_account),
        oracle_hit_rate=find_best_hit_rate(plan.shape, create_replay(plan.shape, calls)),
        faults=tuple(fault_injector.faults),
        wall_seconds=round(time.monotonic() - started, 2),
        machine_load=round(os.getloadavg()[0], 1),
    )


def _create_target(cluster: Cluster, shape: Shape) -> Target:
    hosts = tuple(cluster.get_address(name, "callers") for name in cluster.host_names)
    return Target(hosts, dict(cluster.keys), shape.model, ROUTE)


def _write_decisions(folder: Path, plan: RunPlan, cluster: Cluster) -> None:
    """Write the decisions from the logs of the hosts to a file."""
    with _get_output_path(folder, "decisions", plan).open("w", encoding="utf-8") as lines:
        for name in cluster.host_names:
            log = cluster.get_process(name).log.read_text(encoding="utf-8", errors="replace")
            lines.writelines(line + "\n" for line in log.splitlines() if DECISION_MARKER in line)


def _get_output_path(folder: Path, kind: str, plan: RunPlan) -> Path:
    return folder / f"{kind}-{plan.shape.name}-{plan.policy}-{plan.seed}.jsonl"


def _write_calls(folder: Path, plan: RunPlan, results: Sequence[CallResult]) -> None:
    with _get_output_path(folder, "calls", plan).open("w", encoding="utf-8") as lines:
        for result in results:
            lines.write(json.dumps(result.describe()) + "\n")


def _summarize(result: RunResult) -> str:
    measures = result.measures
    return (
        f"{result.plan.shape.name} {result.plan.policy} seed {result.plan.seed}: "
        f"hit {measures.hit_rate:.3f} (oracle {result.oracle_hit_rate:.3f}), "
        f"p50 {measures.p50:.3f} p95 {measures.p95:.3f} p99 {measures.p99:.3f} s, "
        f"wasted {measures.wasted:.3f}, worst/median {measures.worst_ratio:.2f}, "
        f"refused {measures.refused:.4f}, failed {measures.failed:.4f} "
        f"({result.wall_seconds:.0f} s, machine load {result.machine_load})"
    )
