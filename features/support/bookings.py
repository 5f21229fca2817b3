"""Send bookings, and repeat each through random hosts until its caller knows the outcome."""

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
BOOKING_TIMEOUT_SECONDS = 25.0
PAUSE_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 6.0
EXTRA_REPEAT_SHARE = 0.3


@dataclass
class Booking:
    """Record the idempotency key of a booking and all answers to its calls, in order."""

    key: str
    answers: list[PlainResult] = field(default_factory=list)

    @property
    def answered(self) -> list[PlainResult]:
        """Return the answers that came from a service."""
        return [answer for answer in self.answers if answer.status == 200]

    @property
    def unknown_outcomes(self) -> list[PlainResult]:
        """Return the answers that report an unknown outcome."""
        return [a for a in self.answers if a.error.get("name") == "outcome_unknown"]

    def describe(self) -> str:
        """Return the key and the number of answers of each kind, in one line."""
        names = [str(answer.error.get("name", answer.status)) for answer in self.answers]
        return f"{self.key}: {dict(Counter(names))}"


class BookingLoad:
    """Send bookings from several threads, and repeat each until its outcome is known."""

    def __init__(self, cluster: Cluster, source: random.Random, name: str) -> None:
        self.bookings: list[Booking] = []
        self._cluster = cluster
        self._source = source
        self._name = name
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._executor = ThreadPoolExecutor(THREADS)

    def start(self) -> None:
        """Start the threads."""
        self._futures = [self._executor.submit(self._run) for _ in range(THREADS)]

    def finish(self, count: int) -> None:
        """Wait until ``count`` bookings were started or time is up, then stop and finish all."""
        deadline = time.monotonic() + BOOKING_TIMEOUT_SECONDS
        while len(self.bookings) < count and time.monotonic() < deadline:
            time.sleep(PAUSE_SECONDS)
        self._stopped.set()
        for future in self._futures:
            future.result(2 * BOOKING_TIMEOUT_SECONDS)
        self._executor.shutdown()

    def _run(self) -> None:
        hosts = self._cluster.host_names
        key = self._cluster.keys[ACCOUNT]
        callers = [Caller(self._cluster.get_address(host, "callers"), key) for host in hosts]
        while not self._stopped.is_set():
            booking, source = self._create_booking()
            self._send_booking(booking, callers, source)
        for caller in callers:
            caller.close()

    def _create_booking(self) -> tuple[Booking, random.Random]:
        with self._lock:
            booking = Booking(f"{self._name}-{len(self.bookings)}")
            self.bookings.append(booking)
            return booking, random.Random(self._source.random())

    def _send_booking(self, booking: Booking, callers: list[Caller], source: random.Random) -> None:
        deadline = time.monotonic() + BOOKING_TIMEOUT_SECONDS
        body = f'{{"visit": "{booking.key}"}}'.encode()
        headers = {"Idempotency-Key": booking.key}
        required_answers = 2 if source.random() < EXTRA_REPEAT_SHARE else 1
        while time.monotonic() < deadline:
            caller = source.choice(callers)
            answer = caller.call("POST", "/r/bookings/visits", body, headers, CALL_TIMEOUT_SECONDS)
            booking.answers.append(answer)
            # Repeats once after an unknown outcome: the repeat must not run the booking.
            if len(booking.unknown_outcomes) >= 2 or len(booking.answered) >= required_answers:
                return
            if answer.status != 200:
                time.sleep(PAUSE_SECONDS)


def count_runs(cluster: Cluster) -> Counter[str]:
    """Return how often the services ran each idempotency key."""
    return Counter(run["idempotency_key"] for run in read_runs(cluster))


def read_runs(cluster: Cluster) -> list[dict[str, object]]:
    """Return the records of all calls that the services ran."""
    return [
        run for service in cluster.plan.services for run in cluster.read_standin_state(service.name)
    ]
