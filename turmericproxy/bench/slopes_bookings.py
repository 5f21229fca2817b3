"""Measure the cost of bookings to a host and the platform, and print JSON lines."""

import gc
import itertools
import json
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from turmericproxy.bench.processes import ManagedProcess, pick_addresses
from turmericproxy.bench.slopes import Slope, fit_slope, print_slopes
from turmericproxy.bookings import Claim, ClaimController, ClaimState, Outcome
from turmericproxy.bookings.batch import create_transaction
from turmericproxy.bookings.claims import ClaimRecord, ClaimWrite, create_row_key
from turmericproxy.core import AccountName, AttemptId, HostName, Incarnation, create_id
from turmericproxy.settings.schema import PlatformSettings
from turmericproxy.tables.client import PlatformClient
from turmericproxy.web import CallFailure, HttpClient

BOOKING_COUNTS = (250, 500, 1_000, 2_000)
THREAD_COUNTS = (1, 4, 8, 16, 32)
ROW_COUNTS = (1, 5, 20, 100)
RATES = (5, 20, 50, 100, 200)
CLAIMS_PER_POINT = 400
SECONDS_PER_POINT = 3.0
CALLER_THREADS = 16
START_SECONDS = 10.0
POLL_SECONDS = 0.02
ACCOUNT = AccountName("afinaciones")
OUTCOME = Outcome(200, (("Content-Type", "application/json"),), b'{"visit": 7, "tuner": "booked"}')


@dataclass(frozen=True)
class Cost:
    """Store the cost of a number of bookings; times are in seconds."""

    bookings: int
    elapsed: float
    cpu: float
    transactions: int


class BookingBench:
    """Run a platform stand-in in its own process and one claim controller in this process."""

    def __init__(self, folder: Path) -> None:
        self._address = pick_addresses(1)[0]
        arguments = ["stand-in", "platform", "--address", self._address]
        self._process = ManagedProcess("platform", arguments, folder)
        self._http = HttpClient(self._address)
        settings = PlatformSettings(address=self._address)
        client = PlatformClient(settings, HostName("bench"))
        self._controller = ClaimController(client, HostName("bench"), Incarnation(create_id()))
        self._numbers = itertools.count()

    def start(self) -> None:
        """Start the platform and the controller."""
        self._process.start()
        deadline = time.monotonic() + START_SECONDS
        while isinstance(self._http.call_json("GET", "/healthz"), CallFailure):
            if time.monotonic() > deadline:
                raise RuntimeError("the platform stand-in did not start")
            time.sleep(POLL_SECONDS)
        self._controller.start()

    def close(self) -> None:
        """Stop the controller and the platform."""
        self._controller.close()
        self._process.close()

    def claim(self) -> Claim:
        """Claim a new key."""
        claim = self._controller.claim(ACCOUNT, f"booking-{next(self._numbers)}", "digest")
        if not isinstance(claim, Claim):
            raise RuntimeError(f"claim failed: {claim}")
        return claim

    def book(self) -> None:
        """Claim a new key and store its outcome."""
        self._controller.finish(self.claim(), OUTCOME)

    def measure(self, run: Callable[[], int]) -> Cost:
        """Return the cost of the bookings that ``run`` makes; ``run`` returns their number."""
        writes, cpu, started = self._count_writes(), time.process_time(), time.monotonic()
        bookings = run()
        elapsed = time.monotonic() - started
        return Cost(bookings, elapsed, time.process_time() - cpu, self._count_writes() - writes)

    def _count_writes(self) -> int:
        answer = self._http.call_json("GET", "/control")
        if isinstance(answer, CallFailure):
            raise RuntimeError(f"the platform stand-in is unreachable: {answer.reason}")
        return int(answer[1]["writes"])


def run_closed_loop(action: Callable[[], object], count: int, threads: int) -> int:
    """Run an action ``count`` times on a thread pool, without pauses; return ``count``."""
    with ThreadPoolExecutor(threads) as pool:
        for future in [pool.submit(action) for _ in range(count)]:
            future.result()
    return count


def run_open_loop(action: Callable[[], object], rate: float, seconds: float) -> int:
    """Start an action ``rate`` times a second, even if earlier ones still run; return the count."""
    count = round(rate * seconds)
    started = time.monotonic()
    with ThreadPoolExecutor(CALLER_THREADS) as pool:
        futures = []
        for number in range(count):
            time.sleep(max(0.0, started + number / rate - time.monotonic()))
            futures.append(pool.submit(action))
        for future in futures:
            future.result()
    return count


def measure_cpu(bench: BookingBench) -> Iterator[Slope]:
    """Measure the CPU time of claims alone and of bookings with stored outcomes."""
    for name, action in (("claim CPU", bench.claim), ("booking CPU", bench.book)):
        costs = [
            bench.measure(partial(run_closed_loop, action, n, CALLER_THREADS))
            for n in BOOKING_COUNTS
        ]
        sizes = BOOKING_COUNTS
        yield fit_slope(name, "s", "bookings", sizes, [cost.cpu for cost in costs])


def measure_threads(bench: BookingBench) -> Iterator[Slope]:
    """Measure claim throughput and rows per transaction against concurrent callers."""
    costs = [
        bench.measure(partial(run_closed_loop, bench.claim, CLAIMS_PER_POINT, n))
        for n in THREAD_COUNTS
    ]
    speeds = [cost.bookings / cost.elapsed for cost in costs]
    rows = [cost.bookings / cost.transactions for cost in costs]
    yield fit_slope("claim speed", "claims/s", "callers", THREAD_COUNTS, speeds)
    yield fit_slope("rows of a transaction", "rows", "callers", THREAD_COUNTS, rows)


def measure_rates(bench: BookingBench) -> Iterator[Slope]:
    """Measure transactions and CPU time per second against bookings per second, at one host."""
    costs = [
        bench.measure(partial(run_open_loop, bench.book, rate, SECONDS_PER_POINT)) for rate in RATES
    ]
    transactions = [cost.transactions / cost.elapsed for cost in costs]
    cpu = [cost.cpu / cost.elapsed for cost in costs]
    yield fit_slope("transactions", "transactions/s", "bookings/s", RATES, transactions)
    yield fit_slope("booking CPU at a rate", "share of a core", "bookings/s", RATES, cpu)


def measure_memory(bench: BookingBench) -> Iterator[Slope]:
    """Measure the memory that stored bookings take in the host."""
    run_closed_loop(bench.book, BOOKING_COUNTS[0], CALLER_THREADS)
    tracemalloc.start()
    used: list[float] = []
    stored: list[float] = []
    for count in BOOKING_COUNTS:
        run_closed_loop(bench.book, count, CALLER_THREADS)
        gc.collect()
        stored.append(sum(stored[-1:]) + count)
        used.append(float(tracemalloc.get_traced_memory()[0]))
    tracemalloc.stop()
    yield fit_slope("host memory of stored bookings", "B", "bookings", stored, used)


def measure_bytes() -> Iterator[Slope]:
    """Measure transaction size in bytes against rows, for claims and for outcomes."""
    for name, outcome in (("claim bytes", None), ("outcome bytes", OUTCOME)):
        lengths = [float(len(json.dumps(_create_batch(n, outcome)))) for n in ROW_COUNTS]
        yield fit_slope(name, "B", "rows", ROW_COUNTS, lengths)


def _create_batch(rows: int, outcome: Outcome | None) -> object:
    record = ClaimRecord(
        AttemptId(create_id()),
        HostName("host-1"),
        Incarnation(create_id()),
        ClaimState.DONE if outcome else ClaimState.CLAIMED,
        create_id(),
        time.time(),
        outcome,
    )
    keys = [create_row_key(ACCOUNT, str(number)) for number in range(rows)]
    return create_transaction([ClaimWrite(key, None, record) for key in keys]).to_json()


def main() -> None:
    """Print one line for each slope."""
    with tempfile.TemporaryDirectory() as folder:
        bench = BookingBench(Path(folder))
        bench.start()
        try:
            for measure in (measure_memory, measure_cpu, measure_threads, measure_rates):
                print_slopes(measure(bench))
        finally:
            bench.close()
    print_slopes(measure_bytes())


if __name__ == "__main__":
    main()
