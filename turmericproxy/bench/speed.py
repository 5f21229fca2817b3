"""Measure the latency that a host adds to direct engine calls, its throughput and its memory."""

import json
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.measures import find_quantile
from turmericproxy.bench.plan import (
    AccountPlan,
    ClusterPlan,
    EnginePlan,
    HostPlan,
    RoutePlan,
    ServicePlan,
)
from turmericproxy.bench.workload import Level, create_text
from turmericproxy.web import CallFailure, HttpClient

CHATS_PER_SECOND = 50.0
CHAT_SECONDS = 6.0
PLAIN_SECONDS = 3.0
PLAIN_CALLERS = 8
PROMPT_TOKENS = 4_500
ANSWER_TOKENS = 4
ADDED_MEDIAN_TARGET = 0.005
ADDED_P99_TARGET = 0.020
PLAIN_TARGET = 200.0
MEMORY_TARGET = 64 * 1024 * 1024
ACCOUNT = "speed"
MODEL = "verdict"
STREAM_CHUNK = 65_536


@dataclass(frozen=True)
class SpeedResult:
    """Store the results of the speed test; times are in seconds, memory in bytes."""

    direct_median: float
    direct_p99: float
    host_median: float
    host_p99: float
    added_median: float
    added_p99: float
    failed_chats: int
    plain_calls_per_second: float
    failed_plain_calls: int
    idle_memory: int


def measure_speed(folder: Path) -> SpeedResult:
    """Measure one host with one engine and one plain service behind it."""
    cluster = start_cluster(_create_plan())
    try:
        idle_memory = _read_memory(cluster.get_process("host-1").pid)
        direct, through_host = _measure_chats(cluster)
        plain, failed_plain = _measure_plain_calls(cluster)
    finally:
        cluster.close()
    times, host_times = _drop_failed(direct), _drop_failed(through_host)
    result = SpeedResult(
        direct_median=find_quantile(times, 0.5),
        direct_p99=find_quantile(times, 0.99),
        host_median=find_quantile(host_times, 0.5),
        host_p99=find_quantile(host_times, 0.99),
        added_median=find_quantile(host_times, 0.5) - find_quantile(times, 0.5),
        added_p99=find_quantile(host_times, 0.99) - find_quantile(times, 0.99),
        failed_chats=len(direct) + len(through_host) - len(times) - len(host_times),
        plain_calls_per_second=plain,
        failed_plain_calls=failed_plain,
        idle_memory=idle_memory,
    )
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "speed.jsonl").write_text(json.dumps(asdict(result)) + "\n", encoding="utf-8")
    return result


def render_speed(result: SpeedResult) -> str:
    """Return a text of the figures with their targets."""
    return "\n".join(
        [
            f"one host, {CHATS_PER_SECOND:.0f} chats/s through it and as many direct",
            _format_target(
                "added to the median first token, s", result.added_median, ADDED_MEDIAN_TARGET
            ),
            _format_target("added to the p99 first token, s", result.added_p99, ADDED_P99_TARGET),
            _format_target(
                "plain calls/s", result.plain_calls_per_second, PLAIN_TARGET, is_minimum=True
            ),
            _format_target(
                "memory of the idle host, MB", result.idle_memory / 2**20, MEMORY_TARGET / 2**20
            ),
            f"  failed chats {result.failed_chats}, failed plain calls {result.failed_plain_calls}",
        ]
    )


def _create_plan() -> ClusterPlan:
    options = {"prefill_rate": 1e6, "step_time": 0.001, "decode_time": 0.001}
    return ClusterPlan(
        hosts=(HostPlan("host-1", "north"),),
        engines=(EnginePlan("engine-1", "north", models={MODEL: "1"}, options=options),),
        services=(ServicePlan("service-1", "north", options={"work_time": 0.0}),),
        accounts=(AccountPlan(ACCOUNT, rate=1e8, burst=500_000_000),),
        routes=(RoutePlan("checks", ("service-1",), {"repeatable": True}),),
    )


def _measure_chats(cluster: Cluster) -> tuple[list[float | None], list[float | None]]:
    """Send chats alternately to host and engine, so that machine load affects both alike."""
    messages = [{"role": "user", "content": create_text(Level("speed", PROMPT_TOKENS))}]
    host = HttpClient(cluster.get_address("host-1", "callers"), connections=64)
    engine = HttpClient(cluster.get_address("engine-1"), connections=64)
    headers = {"Authorization": f"Bearer {cluster.keys[ACCOUNT]}"}
    base = {"model": MODEL, "messages": messages, "max_tokens": ANSWER_TOKENS, "stream": True}
    results: tuple[list[float | None], list[float | None]] = ([], [])
    count = int(CHATS_PER_SECOND * CHAT_SECONDS)
    started = time.monotonic()
    with ThreadPoolExecutor(64) as pool:
        futures = []
        for number in range(2 * count):
            due = started + number / (2 * CHATS_PER_SECOND)
            time.sleep(max(0.0, due - time.monotonic()))
            is_direct = number % 2 == 0
            engine_fields = {
                "request_id": f"direct-{number}",
                "cache_salt": "direct",
                "version": "1",
            }
            body = json.dumps({**base, **engine_fields} if is_direct else base).encode()
            client = engine if is_direct else host
            futures.append((is_direct, pool.submit(_time_chat, client, body, headers, due)))
        for is_direct, future in futures:
            results[0 if is_direct else 1].append(future.result())
    return results


def _time_chat(
    client: HttpClient, body: bytes, headers: dict[str, str], due: float
) -> float | None:
    """Return the seconds from ``due`` to the first content, or ``None`` if the chat failed."""
    sent = {**headers, "Content-Type": "application/json"}
    answer = client.open("POST", "/v1/chat/completions", body=body, headers=sent)
    if isinstance(answer, CallFailure) or answer.status != 200:
        return None
    first: float | None = None
    content = b""
    for chunk in answer.stream(STREAM_CHUNK):
        content += chunk
        if first is None and (b'"text"' in content or b'"content"' in content):
            first = time.monotonic() - due
    answer.release_conn()
    return first if b"[DONE]" in content else None


def _measure_plain_calls(cluster: Cluster) -> tuple[float, int]:
    address = cluster.get_address("host-1", "callers")
    headers = {"Authorization": f"Bearer {cluster.keys[ACCOUNT]}"}
    deadline = time.monotonic() + PLAIN_SECONDS
    counts, failures = [0] * PLAIN_CALLERS, [0] * PLAIN_CALLERS

    def call(index: int) -> None:
        client = HttpClient(address, connections=1)
        while time.monotonic() < deadline:
            answer = client.call_json("GET", "/r/checks/balance", headers=headers)
            if isinstance(answer, CallFailure) or answer[0] != 200:
                failures[index] += 1
            else:
                counts[index] += 1

    _run_threads(call, PLAIN_CALLERS)
    return sum(counts) / PLAIN_SECONDS, sum(failures)


def _run_threads(run: Callable[[int], None], count: int) -> None:
    threads = [threading.Thread(target=run, args=(index,)) for index in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _read_memory(pid: int | None) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def _drop_failed(times: list[float | None]) -> list[float]:
    return [value for value in times if value is not None]


def _format_target(title: str, value: float, target: float, is_minimum: bool = False) -> str:
    is_met = value >= target if is_minimum else value <= target
    return f"  {title:<36} {value:9.4f}  target {target:g}  {'met' if is_met else 'MISSED'}"
