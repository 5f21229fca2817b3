"""Compare rate-limiting policies: refusals, latency, excess tokens and platform reads and writes.

Run with ``python -m turmericproxy.bench.rates``. Arrivals are seeded and skewed: most requests of
the client account arrive at one host. A refusal counts as within the limit if a single bucket with
the whole rate and burst would have admitted the request.
"""

import json
import random
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import quantiles
from typing import Annotated

import typer

from turmericproxy.bench.rate_policies import POLICIES, RatePolicy, create_policy
from turmericproxy.core import HostName
from turmericproxy.settings.schema import RateSettings

RATE = 20_000.0
BURST = 40_000
SMALLEST_TOKENS, LARGEST_TOKENS = 100, 4_000
HOT_SHARE = 0.8
WORKERS = 32
KILL_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class Arrival:
    """Store a request: its due time in seconds, its tokens, and a number that selects the host."""

    at: float
    tokens: int
    draw: float


@dataclass(frozen=True)
class Decision:
    """Store the decision on a request; times are in seconds."""

    arrival: Arrival
    decided_at: float
    latency: float
    is_admitted: bool


@dataclass(frozen=True)
class RateRun:
    """Store the figures of one run; latencies are in milliseconds."""

    policy: str
    debit_timeout: float
    seed: int
    load: float
    loses_host: bool
    requests: int
    refused: int
    refused_inside: float
    refused_inside_late: float
    latency_p50: float
    latency_p99: float
    most_excess_tokens: float
    writes_a_second: float
    reads_a_second: float


def generate_arrivals(seed: int, load: float, seconds: float) -> tuple[Arrival, ...]:
    """Return seeded requests whose tokens add up to ``load`` times the rate."""
    draw = random.Random(seed)
    mean = (SMALLEST_TOKENS * LARGEST_TOKENS) ** 0.5 * 1.45
    arrivals, at = [], 0.0
    while at < seconds:
        at += draw.expovariate(RATE * load / mean)
        tokens = int(SMALLEST_TOKENS * (LARGEST_TOKENS / SMALLEST_TOKENS) ** draw.random())
        arrivals.append(Arrival(at, tokens, draw.random()))
    total = sum(arrival.tokens for arrival in arrivals)
    stretch = total / (RATE * load * arrivals[-1].at)
    return tuple(Arrival(a.at * stretch, a.tokens, a.draw) for a in arrivals)


def select_host(draw: float, hosts: Sequence[HostName]) -> HostName:
    """Return the first host for ``HOT_SHARE`` of the draws, and the others uniformly."""
    if draw < HOT_SHARE or len(hosts) == 1:
        return hosts[0]
    position = int((draw - HOT_SHARE) / (1 - HOT_SHARE) * (len(hosts) - 1))
    return hosts[1 + min(position, len(hosts) - 2)]


def run_policy(policy: RatePolicy, arrivals: Sequence[Arrival], lost: bool) -> list[Decision]:
    """Send each request when it is due and return the decisions."""
    started = time.perf_counter()
    hosts = policy.list_hosts()
    is_killed = False

    def send(arrival: Arrival, host: HostName) -> Decision:
        submitted = time.perf_counter()
        is_admitted = policy.admit(host, arrival.tokens)
        decided_at = time.perf_counter()
        return Decision(arrival, decided_at - started, decided_at - submitted, is_admitted)

    with ThreadPoolExecutor(WORKERS) as pool:
        futures = []
        for arrival in arrivals:
            time.sleep(max(0.0, started + arrival.at - time.perf_counter()))
            if lost and not is_killed and arrival.at > KILL_AFTER_SECONDS:
                is_killed = True
                pool.submit(policy.kill_host, hosts[1])
                hosts = (hosts[0], *hosts[2:])
            futures.append(pool.submit(send, arrival, select_host(arrival.draw, hosts)))
        return [future.result() for future in futures]


def list_requests_within_limit(decisions: Sequence[Decision]) -> list[tuple[float, bool]]:
    """Return the due time of each request within the limit, and whether it was refused."""
    level, last_at = float(BURST), 0.0
    within_limit = []
    for decision in decisions:
        level = min(BURST, level + RATE * (decision.arrival.at - last_at))
        last_at = decision.arrival.at
        if decision.arrival.tokens <= level:
            level -= decision.arrival.tokens
            within_limit.append((decision.arrival.at, not decision.is_admitted))
    return within_limit


def measure_excess(decisions: Sequence[Decision]) -> float:
    """Return the largest excess of admitted tokens over the limit in any interval, or zero."""
    debt, last_at, largest = 0.0, 0.0, 0.0
    for decision in sorted(decisions, key=lambda d: d.decided_at):
        if decision.is_admitted:
            debt = max(0.0, debt - RATE * (decision.decided_at - last_at)) + decision.arrival.tokens
            last_at = decision.decided_at
            largest = max(largest, debt - BURST)
    return largest


def measure_policy(
    name: str, seed: int, load: float, seconds: float, lost: bool, settings: RateSettings
) -> RateRun:
    """Run one policy under one seeded load and return the figures."""
    policy = create_policy(name, RATE, BURST, seed, settings)
    policy.start()
    try:
        arrivals = generate_arrivals(seed, load, seconds)
        before = policy.fleet.read_platform_counts()
        decisions = run_policy(policy, arrivals, lost)
        after = policy.fleet.read_platform_counts()
    finally:
        policy.close()
    within_limit = list_requests_within_limit(decisions)
    refused_late = [refused for at, refused in within_limit if at > seconds / 2]
    percentiles = quantiles([o.latency * 1000 for o in decisions], n=100)
    return RateRun(
        name,
        settings.debit_timeout,
        seed,
        load,
        lost,
        len(decisions),
        sum(not o.is_admitted for o in decisions),
        sum(refused for _, refused in within_limit) / len(within_limit),
        sum(refused_late) / max(1, len(refused_late)),
        percentiles[49],
        percentiles[98],
        measure_excess(decisions),
        (after["writes"] - before["writes"]) / seconds,
        (after["reads"] - before["reads"]) / seconds,
    )


def run_bench(
    seeds: Annotated[list[int], typer.Option(help="Seeds.")],
    loads: Annotated[list[float], typer.Option(help="Loads as shares of the rate.")],
    seconds: Annotated[float, typer.Option(help="Length of a run, seconds.")] = 10.0,
    lost: Annotated[bool, typer.Option(help="Kill a host after two seconds.")] = False,
    policy: Annotated[list[str] | None, typer.Option(help="Policy; may be repeated.")] = None,
    debit_timeout: Annotated[
        float | None, typer.Option(help="Timeout of a debit, seconds.")
    ] = None,
    out: Annotated[Path, typer.Option(help="File for the figures.")] = Path("out/rates.jsonl"),
) -> None:
    """Measure every policy and append a JSON line for each run."""
    out.parent.mkdir(parents=True, exist_ok=True)
    settings = RateSettings(debit_timeout=debit_timeout) if debit_timeout else RateSettings()
    for name in policy or list(POLICIES):
        for load in loads:
            for seed in seeds:
                line = json.dumps(asdict(measure_policy(name, seed, load, seconds, lost, settings)))
                typer.echo(line)
                with out.open("a", encoding="utf-8") as file:
                    file.write(line + "\n")


if __name__ == "__main__":
    typer.run(run_bench)
