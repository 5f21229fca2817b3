"""Send bookings and repeat each through other hosts until its caller knows how it ended."""

import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from turmericproxy.bench.calls import Caller, PlainResult
from turmericproxy.bench.cluster import Cluster

THREADS = 16
ACCOUNT = "afinaciones"
PATIENCE_SECONDS = 25.0
PAUSE_SECONDS = 0.05
CALL_SECONDS = 6.0
EXTRA_REPEAT_SHARE = 0.3


@dataclass
class Booking:
    """Hold a booking with all answers that its caller got, in order."""

    key: str
    answers: list[PlainResult] = field(default_factory=list)

    @property
    def answered(self) -> list[PlainResult]:
        """Return the answers of a service."""
        return [answer for answer in self.answers if answer.status == 200]

    @property
    def told_unknown(self) -> list[PlainResult]:
        """Return the answers that say that the outcome is not known."""
        return [a for a in self.answers if a.error.get("name") == "outcome_unknown"]

    def describe(self) -> str:
        """Return the answers in one line."""
        told = [str(answer.error.get("name", answer.status)) for answer in self.answers]
        return f"{self.key}: {dict(Counter(told))}"


class BookingLoad:
    """Send bookings in threads until stopped, each until its caller knows how it ended."""

    def __init__(self, cluster: Cluster, source: random.Random, name: str) -> None:
        self.bookings: list[Booking] = []
        self._cluster = cluster
        self._source = source
        self._name = name
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(THREADS)

    def start(self) -> None:
        """Start the threads."""
        self._futures = [self._pool.submit(self._run) for _ in range(THREADS)]

    def finish(self, count: int) -> None:
        """Send at least ``count`` bookings altogether, and wait until all have ended."""
        deadline = time.monotonic() + PATIENCE_SECONDS
        while len(self.bookings) < count and time.monotonic() < deadline:
            time.sleep(PAUSE_SECONDS)
        self._stopped.set()
        for future in self._futures:
            future.result(2 * PATIENCE_SECONDS)
        self._pool.shutdown()

    def _run(self) -> None:
        hosts = self._cluster.host_names
        key = self._cluster.keys[ACCOUNT]
        callers = [Caller(self._cluster.get_address(host, "callers"), key) for host in hosts]
        while not self._stopped.is_set():
            booking, source = self._create_booking()
            self._book(booking, callers, source)
        for caller in callers:
            caller.close()

    def _create_booking(self) -> tuple[Booking, random.Random]:
        with self._lock:
            booking = Booking(f"{self._name}-{len(self.bookings)}")
            self.bookings.append(booking)
            return booking, random.Random(self._source.random())

    def _book(self, booking: Booking, callers: list[Caller], source: random.Random) -> None:
        deadline = time.monotonic() + PATIENCE_SECONDS
        body = f'{{"visit": "{booking.key}"}}'.encode()
        headers = {"Idempotency-Key": booking.key}
        wanted = 2 if source.random() < EXTRA_REPEAT_SHARE else 1
        while time.monotonic() < deadline:
            caller = source.choice(callers)
            answer = caller.call("POST", "/r/bookings/visits", body, headers, CALL_SECONDS)
            booking.answers.append(answer)
            # A repeat of a booking whose outcome is not known must not run it.
            if len(booking.told_unknown) >= 2 or len(booking.answered) >= wanted:
                return
            if answer.status != 200:
                time.sleep(PAUSE_SECONDS)


def count_runs(cluster: Cluster) -> Counter[str]:
    """Return how often the services ran each key."""
    return Counter(run["idempotency_key"] for run in read_runs(cluster))


def read_runs(cluster: Cluster) -> list[dict[str, object]]:
    """Return every call that a service ran."""
    return [
        run for service in cluster.plan.services for run in cluster.read_standin_state(service.name)
    ]
