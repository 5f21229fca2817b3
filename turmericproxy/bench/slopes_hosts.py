"""Measure the cost of a whole host, idle and under load, with each host in its own process."""

import json
import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

from turmericproxy.bench.calls import Caller, build_chat
from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.plan import (
    AccountPlan,
    ClusterPlan,
    EnginePlan,
    HostPlan,
    create_small_plan,
)
from turmericproxy.bench.slopes import Slope, fit_slope, print_slopes

DOMAINS = ("north", "middle", "south")
HOST_COUNTS = (2, 4, 6, 8)
ENGINE_COUNTS = (2, 4, 8, 12)
CALL_COUNTS = (200, 400, 800, 1600)
CHAT_COUNTS = (40, 80, 160, 320)
OUTPUT_TOKENS = (4, 16, 32, 64)
PROMPT_CHARACTERS = (2_000, 20_000, 40_000, 80_000)
CHATS_PER_POINT = 60
CALLER_THREADS = 4
IDLE_SECONDS = 8.0
SETTLE_SECONDS = 3.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
BYTES_PER_MB = 1e6
ENGINE_OPTIONS = {"step_time": 0.001, "decode_time": 0.001}
ACCOUNT = AccountPlan("afinaciones", rate=1e7, burst=100_000_000)


def measure_idle() -> Iterator[Slope]:
    """Measure control traffic, CPU and memory of an idle host against hosts and engines."""
    by_hosts = [_measure_control(_create_plan(count, 3)) for count in HOST_COUNTS]
    by_engines = [_measure_control(_create_plan(2, count)) for count in ENGINE_COUNTS]
    for size_name, sizes, measured in (
        ("hosts", HOST_COUNTS, by_hosts),
        ("engines", ENGINE_COUNTS, by_engines),
    ):
        for name, unit in (
            ("control CPU", "share of a core"),
            ("host memory", "MB"),
            ("bytes to hosts", "B/s"),
            ("bytes to the platform", "B/s"),
            ("bytes to engines", "B/s"),
        ):
            yield fit_slope(name, unit, size_name, sizes, [row[name] for row in measured])


def measure_load() -> Iterator[Slope]:
    """Measure the CPU time and log size of one host against calls, chats and their lengths."""
    cluster = start_cluster(_create_plan(1, 3))
    try:
        caller = Caller(cluster.get_address("host-0", "callers"), cluster.keys["afinaciones"])
        body = json.dumps({"visit": 7}).encode()

        def call(_: int) -> None:
            caller.call("POST", "/r/bookings/visits", body)

        def chat(number: int, prompt: int = 2_000, tokens: int = 8) -> None:
            caller.stream({**build_chat("p" * prompt + str(number)), "max_tokens": tokens})

        yield from _fit_load(cluster, "plain call", "calls", CALL_COUNTS, lambda _: call)
        yield from _fit_load(cluster, "chat", "chats", CHAT_COUNTS, lambda _: chat)
        yield from _fit_load(
            cluster,
            f"{CHATS_PER_POINT} chats",
            "tokens each",
            OUTPUT_TOKENS,
            lambda size: lambda n: chat(n, tokens=size),
            CHATS_PER_POINT,
        )
        yield from _fit_load(
            cluster,
            f"{CHATS_PER_POINT} chats",
            "prompt characters each",
            PROMPT_CHARACTERS,
            lambda size: lambda n: chat(n, prompt=size),
            CHATS_PER_POINT,
        )
    finally:
        cluster.close()


def main() -> None:
    """Print one line for each slope."""
    print_slopes(measure_load())
    print_slopes(measure_idle())


def _create_plan(hosts: int, engines: int) -> ClusterPlan:
    plan = create_small_plan(
        hosts=tuple(HostPlan(f"host-{n}", DOMAINS[n % 3]) for n in range(hosts)),
        engines=tuple(
            EnginePlan(
                f"engine-{n}", DOMAINS[n % 3], options={"step_time": 0.001, "decode_time": 0.001}
            )
            for n in range(engines)
        ),
    )
    return replace(plan, relays=True, accounts=(ACCOUNT,))


def _fit_load(
    cluster: Cluster,
    name: str,
    size_name: str,
    sizes: tuple[int, ...],
    create_action: Callable[[int], Callable[[int], None]],
    repeats: int | None = None,
) -> Iterator[Slope]:
    costs, lengths = [], []
    for size in sizes:
        cpu, log = _read_cpu(cluster, "host-0"), _measure_log(cluster, "host-0")
        with ThreadPoolExecutor(CALLER_THREADS) as pool:
            list(pool.map(create_action(size), range(repeats or size)))
        costs.append(_read_cpu(cluster, "host-0") - cpu)
        lengths.append(float(_measure_log(cluster, "host-0") - log))
    yield fit_slope(f"{name}: CPU", "s", size_name, sizes, costs)
    yield fit_slope(f"{name}: log", "B", size_name, sizes, lengths)


def _measure_control(plan: ClusterPlan) -> dict[str, float]:
    cluster = start_cluster(plan)
    try:
        time.sleep(SETTLE_SECONDS)
        legs = {
            "bytes to hosts": "host-0->host-*",
            "bytes to the platform": "host-0->platform",
            "bytes to engines": "host-0->engine-*",
        }
        cpu = _read_cpu(cluster, "host-0")
        before = {name: cluster.relay.count_bytes(leg) for name, leg in legs.items()}
        time.sleep(IDLE_SECONDS)
        cpu_share = (_read_cpu(cluster, "host-0") - cpu) / IDLE_SECONDS
        rates = {
            name: (cluster.relay.count_bytes(leg) - before[name]) / IDLE_SECONDS
            for name, leg in legs.items()
        }
        return {"control CPU": cpu_share, "host memory": _read_memory(cluster, "host-0"), **rates}
    finally:
        cluster.close()


def _read_cpu(cluster: Cluster, host: str) -> float:
    """Return the CPU seconds that a host's process has used."""
    fields = Path(f"/proc/{cluster.get_process(host).pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def _read_memory(cluster: Cluster, host: str) -> float:
    """Return the resident memory of a host's process in MB."""
    pages = int(Path(f"/proc/{cluster.get_process(host).pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def _measure_log(cluster: Cluster, host: str) -> int:
    return cluster.get_process(host).log.stat().st_size


if __name__ == "__main__":
    main()
