"""Measure ways to keep a rate over all hosts: refusals, latency, excess and platform writes.

Run with ``python -m turmericproxy.bench.rates``. Arrivals are seeded and skewed: most requests of
the client account come in at one host. A refusal counts as inside the rate if one bucket with the
whole rate and burst would have admitted the request.
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
LOSS_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class Arrival:
    """Hold when a request is due, in seconds, its tokens, and a number that picks its host."""

    at: float
    tokens: int
    draw: float


@dataclass(frozen=True)
class Outcome:
    """Hold when a request was decided on and how; times are in seconds."""

    arrival: Arrival
    decided: float
    latency: float
    is_admitted: bool


@dataclass(frozen=True)
class RateRun:
    """Hold the figures of one run; latencies are in milliseconds."""

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


def create_arrivals(seed: int, load: float, seconds: float) -> tuple[Arrival, ...]:
    """Return requests whose tokens come to ``load`` times the rate."""
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


def choose_host(draw: float, hosts: Sequence[HostName]) -> HostName:
    """Return the first host for most draws and the others evenly for the rest."""
    if draw < HOT_SHARE or len(hosts) == 1:
        return hosts[0]
    position = int((draw - HOT_SHARE) / (1 - HOT_SHARE) * (len(hosts) - 1))
    return hosts[1 + min(position, len(hosts) - 2)]


def run_policy(policy: RatePolicy, arrivals: Sequence[Arrival], lost: bool) -> list[Outcome]:
    """Send the arrivals when they are due and return what became of them."""
    started = time.perf_counter()
    hosts = policy.list_hosts()
    is_lost = False

    def send(arrival: Arrival, host: HostName) -> Outcome:
        asked = time.perf_counter()
        is_admitted = policy.admit(host, arrival.tokens)
        decided = time.perf_counter()
        return Outcome(arrival, decided - started, decided - asked, is_admitted)

    with ThreadPoolExecutor(WORKERS) as pool:
        waiting = []
        for arrival in arrivals:
            time.sleep(max(0.0, started + arrival.at - time.perf_counter()))
            if lost and not is_lost and arrival.at > LOSS_AFTER_SECONDS:
                is_lost = True
                pool.submit(policy.lose_host, hosts[1])
                hosts = (hosts[0], *hosts[2:])
            waiting.append(pool.submit(send, arrival, choose_host(arrival.draw, hosts)))
        return [future.result() for future in waiting]


def find_refused_inside(outcomes: Sequence[Outcome]) -> list[tuple[float, bool]]:
    """Return for each request inside the rate when it came and whether it was refused."""
    level, last = float(BURST), 0.0
    inside = []
    for outcome in outcomes:
        level = min(BURST, level + RATE * (outcome.arrival.at - last))
        last = outcome.arrival.at
        if outcome.arrival.tokens <= level:
            level -= outcome.arrival.tokens
            inside.append((outcome.arrival.at, not outcome.is_admitted))
    return inside


def measure_excess(outcomes: Sequence[Outcome]) -> float:
    """Return the most tokens admitted in any interval beyond rate and burst, at least zero."""
    debt, last, most = 0.0, 0.0, 0.0
    for outcome in sorted(outcomes, key=lambda o: o.decided):
        if outcome.is_admitted:
            debt = max(0.0, debt - RATE * (outcome.decided - last)) + outcome.arrival.tokens
            last = outcome.decided
            most = max(most, debt - BURST)
    return most


def measure_policy(
    name: str, seed: int, load: float, seconds: float, lost: bool, settings: RateSettings
) -> RateRun:
    """Run one policy under one seeded load."""
    policy = create_policy(name, RATE, BURST, seed, settings)
    policy.start()
    try:
        arrivals = create_arrivals(seed, load, seconds)
        before = policy.fleet.read_counts()
        outcomes = run_policy(policy, arrivals, lost)
        after = policy.fleet.read_counts()
    finally:
        policy.close()
    inside = find_refused_inside(outcomes)
    late = [refused for at, refused in inside if at > seconds / 2]
    cuts = quantiles([o.latency * 1000 for o in outcomes], n=100)
    return RateRun(
        name,
        settings.debit_timeout,
        seed,
        load,
        lost,
        len(outcomes),
        sum(not o.is_admitted for o in outcomes),
        sum(refused for _, refused in inside) / len(inside),
        sum(late) / max(1, len(late)),
        cuts[49],
        cuts[98],
        measure_excess(outcomes),
        (after["writes"] - before["writes"]) / seconds,
        (after["reads"] - before["reads"]) / seconds,
    )


def run_bench(
    seeds: Annotated[list[int], typer.Option(help="Seeds.")],
    loads: Annotated[list[float], typer.Option(help="Loads as shares of the rate.")],
    seconds: Annotated[float, typer.Option(help="Length of a run.")] = 10.0,
    lost: Annotated[bool, typer.Option(help="Kill a host after two seconds.")] = False,
    policy: Annotated[list[str] | None, typer.Option(help="Policy; may be repeated.")] = None,
    debit_timeout: Annotated[float | None, typer.Option(help="Limit of a debit, s.")] = None,
    out: Annotated[Path, typer.Option(help="File for the figures.")] = Path("out/rates.jsonl"),
) -> None:
    """Measure every policy and add a JSON line for each run."""
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
