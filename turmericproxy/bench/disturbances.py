"""Bring about the same faults in every run of a workload."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.bench.cluster import Cluster, ClusterError

EVENT_LOSS = 0.2
ENGINE_DOWN = 0.8
CRASHED_ENGINE = "engine-2"
KILLED_HOST = "host-2"
RESTARTED_HOSTS = ("host-4", "host-6", "host-8")


@dataclass(frozen=True)
class Disturbance:
    """Name a fault and the part of the run after which it comes."""

    name: str
    after: float
    cause: Callable[[Cluster], None]


def lose_events(cluster: Cluster) -> None:
    """Let every engine lose a share of its cache events."""
    for engine in cluster.plan.engines:
        cluster.set_faults(engine.name, event_loss=EVENT_LOSS)


def crash_engine(cluster: Cluster) -> None:
    """Crash an engine, which comes back empty."""
    cluster.set_faults(CRASHED_ENGINE, crash=ENGINE_DOWN)


def restart_together(cluster: Cluster) -> None:
    """Kill one host and stop three at once, and start them again as soon as they have ended."""
    for host in RESTARTED_HOSTS:
        cluster.stop_host(host)
    cluster.kill_host(KILLED_HOST)
    cluster.start_host(KILLED_HOST, wait=False)
    for host in RESTARTED_HOSTS:
        cluster.get_process(host).wait(10.0)
        cluster.start_host(host, wait=False)


DISTURBANCES = (
    Disturbance("events lost", 0.25, lose_events),
    Disturbance("engine crash", 0.45, crash_engine),
    Disturbance("hosts restarted together", 0.65, restart_together),
)


class DisturbanceThread:
    """Cause the disturbances of a run at their moments."""

    def __init__(self, cluster: Cluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="disturbances", daemon=True)
        self.faults: list[str] = []

    def start(self) -> None:
        """Start the clock of the run."""
        self._thread.start()

    def close(self) -> None:
        """Wait for the last disturbance to end."""
        self._closed.set()
        self._thread.join(timeout=15.0)

    def _run(self) -> None:
        started = time.monotonic()
        for disturbance in DISTURBANCES:
            due = started + disturbance.after * self._seconds
            if self._closed.wait(max(0.0, due - time.monotonic())):
                return
            try:
                disturbance.cause(self._cluster)
            except ClusterError as error:
                self.faults.append(f"{disturbance.name}: {error}")
