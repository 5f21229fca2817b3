"""Inject the same faults into every run of a workload, at the same times."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.bench.cluster import Cluster, ClusterError

EVENT_LOSS_SHARE = 0.2
ENGINE_DOWNTIME_SECONDS = 0.8
CRASHED_ENGINE = "engine-2"
KILLED_HOST = "host-2"
RESTARTED_HOSTS = ("host-4", "host-6", "host-8")


@dataclass(frozen=True)
class ScheduledFault:
    """Describe a fault and the share of the run, from 0 to 1, after which it is injected."""

    name: str
    after: float
    inject: Callable[[Cluster], None]


def drop_events(cluster: Cluster) -> None:
    """Make every engine drop a share of its cache events."""
    for engine in cluster.plan.engines:
        cluster.set_faults(engine.name, event_loss=EVENT_LOSS_SHARE)


def crash_engine(cluster: Cluster) -> None:
    """Crash an engine, which restarts with an empty cache."""
    cluster.set_faults(CRASHED_ENGINE, crash=ENGINE_DOWNTIME_SECONDS)


def restart_hosts_together(cluster: Cluster) -> None:
    """Kill one host and stop three at the same time, and restart each as soon as it has exited."""
    for host in RESTARTED_HOSTS:
        cluster.stop_host(host)
    cluster.kill_host(KILLED_HOST)
    cluster.start_host(KILLED_HOST, wait=False)
    for host in RESTARTED_HOSTS:
        cluster.get_process(host).wait(10.0)
        cluster.start_host(host, wait=False)


SCHEDULED_FAULTS = (
    ScheduledFault("events lost", 0.25, drop_events),
    ScheduledFault("engine crash", 0.45, crash_engine),
    ScheduledFault("hosts restarted together", 0.65, restart_hosts_together),
)


class FaultInjector:
    """Inject the faults of a run at their scheduled times, in a thread."""

    def __init__(self, cluster: Cluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="disturbances", daemon=True)
        self.faults: list[str] = []

    def start(self) -> None:
        """Start the thread; the fault times count from this call."""
        self._thread.start()

    def close(self) -> None:
        """Cancel the remaining faults and wait for the thread to end."""
        self._closed.set()
        self._thread.join(timeout=15.0)

    def _run(self) -> None:
        started = time.monotonic()
        for fault in SCHEDULED_FAULTS:
            due = started + fault.after * self._seconds
            if self._closed.wait(max(0.0, due - time.monotonic())):
                return
            try:
                fault.inject(self._cluster)
            except ClusterError as error:
                self.faults.append(f"{fault.name}: {error}")
