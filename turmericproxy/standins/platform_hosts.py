"""Probe the hosts of the platform stand-in and report their state after a lag."""

import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

from turmericproxy.web import CallFailure, HttpClient

PROBE_TIMEOUT_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 0.25
PROBE_THREADS = 16
MAX_REPORTS = 400


@dataclass(frozen=True)
class HostRecord:
    """State of one host; ``gone_since`` is in seconds on the monotonic clock."""

    host: str
    domain: str
    callers: str
    peers: str
    leaving: bool = False
    gone_since: float | None = None


@dataclass(frozen=True)
class HostReport:
    """Records of all hosts at one time; ``taken_at`` is in seconds on the monotonic clock."""

    taken_at: float
    records: tuple[HostRecord, ...]

    def to_json(self, now: float) -> dict[str, object]:
        """Return the report in the form of the protocol."""
        hosts = [
            {
                "host": record.host,
                "domain": record.domain,
                "callers": record.callers,
                "peers": record.peers,
                "state": _name_state(record),
                "gone_for": 0.0 if record.gone_since is None else self.taken_at - record.gone_since,
            }
            for record in self.records
        ]
        return {"hosts": hosts, "as_of": time.time() - (now - self.taken_at)}


def _name_state(record: HostRecord) -> str:
    if record.gone_since is not None:
        return "gone"
    return "leaving" if record.leaving else "live"


class HostProber:
    """Probe ``/healthz`` of every host and keep a short history of reports."""

    def __init__(self) -> None:
        self._records: dict[str, HostRecord] = {}
        self._reports: deque[HostReport] = deque(maxlen=MAX_REPORTS)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="host-probes", daemon=True)
        self._pool = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="host-probe")

    def start(self) -> None:
        """Start probing."""
        self._thread.start()

    def close(self) -> None:
        """Stop probing."""
        self._stopped.set()
        self._thread.join(timeout=5)
        self._pool.shutdown(wait=False, cancel_futures=True)

    def set_hosts(self, records: list[HostRecord]) -> None:
        """Replace the list of hosts; a host that was listed before keeps its probe state."""
        with self._lock:
            known = self._records
            self._records = {
                record.host: (
                    replace(record, gone_since=known[record.host].gone_since)
                    if record.host in known
                    else record
                )
                for record in records
            }
            self._append_report()

    def read_report(self, lag: float) -> dict[str, object]:
        """Return the newest report that is at least ``lag`` seconds old."""
        now = time.monotonic()
        with self._lock:
            old = [report for report in self._reports if report.taken_at <= now - lag]
        report = old[-1] if old else HostReport(now - lag, ())
        return report.to_json(now)

    def _append_report(self) -> None:
        self._reports.append(HostReport(time.monotonic(), tuple(self._records.values())))

    def _run(self) -> None:
        while not self._stopped.wait(PROBE_INTERVAL_SECONDS):
            with self._lock:
                records = tuple(self._records.values())
            results = dict(self._pool.map(_probe_host, records)) if records else {}
            with self._lock:
                for host, is_up in results.items():
                    self._record_probe(host, is_up)
                self._append_report()

    def _record_probe(self, host: str, is_up: bool) -> None:
        record = self._records.get(host)
        if record is None:
            return
        if is_up:
            self._records[host] = replace(record, gone_since=None)
        elif record.gone_since is None:
            self._records[host] = replace(record, gone_since=time.monotonic())


def _probe_host(record: HostRecord) -> tuple[str, bool]:
    client = HttpClient(
        record.callers, connect_timeout=PROBE_TIMEOUT_SECONDS, read_timeout=PROBE_TIMEOUT_SECONDS
    )
    answer = client.open("GET", "/healthz", fresh=True)
    if isinstance(answer, CallFailure):
        return record.host, False
    answer.close()
    return record.host, answer.status == 200
