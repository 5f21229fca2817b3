"""Send calls for one client account at several times its rate, and measure what was admitted."""

import random
import threading
import time
from dataclasses import dataclass

from turmericproxy.bench.cluster import Cluster
from turmericproxy.web import CallFailure, HttpClient

THREADS = 12
PAUSE_SECONDS = 0.03
CALL_TIMEOUT_SECONDS = 1.0
OK, TOO_MANY = 200, 429


@dataclass(frozen=True)
class AdmittedCall:
    """Record when an admitted call was sent and answered, in seconds of the monotonic clock."""

    sent: float
    answered: float
    host: str


class RateLoad:
    """Call random hosts from several threads until closed."""

    def __init__(self, cluster: Cluster, account: str, path: str, seed: int) -> None:
        self._path = path
        self._headers = {"Authorization": f"Bearer {cluster.keys[account]}"}
        self._clients = {
            name: HttpClient(
                cluster.get_address(name, "callers"), read_timeout=CALL_TIMEOUT_SECONDS
            )
            for name in cluster.host_names
        }
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self.admitted: list[AdmittedCall] = []
        self.statuses: dict[int, int] = {}
        self._threads = [
            threading.Thread(target=self._send_calls, args=(random.Random(f"{seed}/{n}"),))
            for n in range(THREADS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the threads and wait for the calls in progress."""
        self._closed.set()
        for thread in self._threads:
            thread.join()

    def count_since(self, moment: float, host: str = "") -> int:
        """Return the number of admitted calls sent since ``moment``, to one host or all."""
        with self._lock:
            return sum(c.sent >= moment and host in ("", c.host) for c in self.admitted)

    def _send_calls(self, source: random.Random) -> None:
        names = list(self._clients)
        while not self._closed.wait(PAUSE_SECONDS):
            host = source.choice(names)
            sent = time.monotonic()
            answer = self._clients[host].call_json("GET", self._path, headers=self._headers)
            status = 0 if isinstance(answer, CallFailure) else answer[0]
            with self._lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1
                if status == OK:
                    self.admitted.append(AdmittedCall(sent, time.monotonic(), host))


def find_excess(
    admitted: list[AdmittedCall], cost: int, rate: float, burst: int, since: float = 0.0
) -> float:
    """Return the maximum excess over rate and burst in any interval, in tokens; at most 0 if none.

    A call counts for an interval if it was both sent and answered within it, since only then is it
    certain that the call was admitted within the interval.
    """
    calls = sorted((c for c in admitted if c.sent >= since), key=lambda c: c.answered)
    max_excess = float("-inf")
    for start in {call.sent for call in calls}:
        tokens = 0
        for call in calls:
            if call.sent >= start:
                tokens += cost
                max_excess = max(max_excess, tokens - burst - rate * (call.answered - start))
    return max_excess
