"""Send calls of one client account at several times its rate, and check what was admitted."""

import random
import threading
import time
from dataclasses import dataclass

from turmericproxy.bench.cluster import Cluster
from turmericproxy.web import CallFailure, HttpClient

THREADS = 12
PAUSE_SECONDS = 0.03
CALL_SECONDS = 1.0
OK, TOO_MANY = 200, 429


@dataclass(frozen=True)
class AdmittedCall:
    """Hold when a call that ran was sent and answered, in seconds of the monotonic clock."""

    sent: float
    answered: float
    host: str


class RateLoad:
    """Call random hosts from some threads until closed."""

    def __init__(self, cluster: Cluster, account: str, path: str, seed: int) -> None:
        self._path = path
        self._headers = {"Authorization": f"Bearer {cluster.keys[account]}"}
        self._clients = {
            name: HttpClient(cluster.get_address(name, "callers"), read_timeout=CALL_SECONDS)
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
        """Start to call."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop calling and wait for the calls under way."""
        self._closed.set()
        for thread in self._threads:
            thread.join()

    def count_since(self, moment: float, host: str = "") -> int:
        """Return the number of calls sent since then that ran, at one host or all."""
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
    """Return by how many tokens any interval exceeds the bound; at most zero if none does.

    A call surely falls into an interval in which it was both sent and answered.
    """
    calls = sorted((c for c in admitted if c.sent >= since), key=lambda c: c.answered)
    worst = float("-inf")
    for begin in {call.sent for call in calls}:
        tokens = 0
        for call in calls:
            if call.sent >= begin:
                tokens += cost
                worst = max(worst, tokens - burst - rate * (call.answered - begin))
    return worst
