"""Run a small cluster of two hosts in two failure domains with stand-ins, and call it."""

import argparse
import signal
import sys
import threading
import time

from turmericproxy.bench.calls import Caller, ChatResult, PlainResult, build_chat
from turmericproxy.bench.cluster import Cluster, start_cluster
from turmericproxy.bench.plan import create_small_plan

ACCOUNT = "afinaciones"
CASE_NOTES = "Case notes of an upright of 1911: pins loose, bridge cracked, treble flat. " * 300
CACHE_WAIT_SECONDS = 10.0


def describe_chat(result: ChatResult) -> str:
    """Return a one-line summary of a chat answer."""
    if not result.is_complete:
        return f"status {result.status}: {result.fault or dict(result.error)}"
    cached, prompt = result.usage.get("cached_tokens"), result.usage.get("prompt_tokens")
    first = 1000 * (result.first_content_seconds or 0.0)
    return f"{len(result.text)} characters, first after {first:.0f} ms, {cached} of {prompt} cached"


def describe_plain(result: PlainResult) -> str:
    """Return a one-line summary of a plain answer."""
    if result.error:
        return f"status {result.status}: {result.error['name']}, {result.error['run']}"
    return f"status {result.status}: {result.value}"


class Demonstration:
    """Send a few requests through both hosts and check the answers."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._all_passed = True

    def run(self) -> bool:
        """Run all checks and return whether they passed."""
        first, second = self._cluster.host_names
        self._show_stream(first)
        self._show_cached_repeat(second)
        self._show_booking(first, second)
        self._show_refused_key(second)
        return self._all_passed

    def _print_check(self, description: str, host: str, line: str, is_passed: bool) -> None:
        self._all_passed = self._all_passed and is_passed
        print(f"{'ok    ' if is_passed else 'FAILED'} {description:<28} {host}  {line}", flush=True)

    def _create_caller(self, host: str, key: str | None = None) -> Caller:
        address = self._cluster.get_address(host, "callers")
        return Caller(address, key or self._cluster.keys[ACCOUNT])

    def _show_stream(self, host: str) -> None:
        result = self._create_caller(host).stream(build_chat(CASE_NOTES + "Verdict?"))
        self._print_check("stream", host, describe_chat(result), result.is_complete)

    def _show_cached_repeat(self, host: str) -> None:
        deadline = time.monotonic() + CACHE_WAIT_SECONDS
        while True:
            result = self._create_caller(host).stream(build_chat(CASE_NOTES + "Which pins?"))
            is_hit = result.is_complete and result.usage.get("cached_tokens", 0) > 0
            if is_hit or time.monotonic() > deadline:
                break
        self._print_check("repeat of the shared prompt", host, describe_chat(result), is_hit)

    def _show_booking(self, first: str, second: str) -> None:
        runs = []
        for description, host in (("booking", first), ("the same booking again", second)):
            result = self._create_caller(host).call(
                "POST", "/r/bookings/visits", b'{"visit": 7}', {"Idempotency-Key": "visit-7"}
            )
            runs.append(result.value)
            self._print_check(description, host, describe_plain(result), result.status == 200)
        count = len(self._cluster.read_standin_state("booking-1"))
        is_once = count == 1 and runs[0] == runs[1]
        self._print_check("visits that the service ran", "booking-1", str(count), is_once)

    def _show_refused_key(self, host: str) -> None:
        result = self._create_caller(host, "not-a-key").chat(build_chat("Verdict?"))
        line = f"status {result.status}: {dict(result.error)}"
        self._print_check("unknown key", host, line, result.status == 401)


def print_addresses(cluster: Cluster) -> None:
    """Print the addresses of the hosts, a caller key and the operator key."""
    for host in cluster.host_names:
        callers, operators = (cluster.get_address(host, part) for part in ("callers", "operators"))
        print(f"{host}: callers http://{callers}  operators http://{operators}")
    print(f"caller key ({ACCOUNT}): {cluster.keys[ACCOUNT]}")
    print(f"operator key: {cluster.operator_key}")
    print(f"logs: {cluster.folder}", flush=True)


def wait_for_interrupt() -> None:
    """Wait for SIGINT or SIGTERM."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    print("running until interrupted", flush=True)
    stopped.wait()


def main() -> int:
    """Run the demonstration and return 0 if all checks passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="leave the cluster up until interrupted"
    )
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print("starting 1 platform, 3 engines, 1 service and 2 hosts ...", flush=True)
    cluster = start_cluster(create_small_plan())
    try:
        is_passed = Demonstration(cluster).run()
        if arguments.keep:
            print_addresses(cluster)
            wait_for_interrupt()
    finally:
        cluster.close()
    print("stopped", flush=True)
    return 0 if is_passed else 1


if __name__ == "__main__":
    sys.exit(main())
