"""Monitor the revision in force on each host of a cluster, and make changes through the hosts."""

import http.client
import json
import threading
import time
from dataclasses import dataclass
from typing import Any

from turmericproxy.bench.cluster import Cluster
from turmericproxy.web import CallFailure, HttpClient

POLL_SECONDS = 0.005
RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 12.0


@dataclass(frozen=True)
class Change:
    """Record the answer to one change of an operator."""

    name: str
    status: int
    body: Any

    @property
    def is_accepted(self) -> bool:
        return self.status in (200, 201)

    @property
    def code(self) -> str:
        return "" if self.is_accepted else self.body["error"]["name"]


class RevisionMonitor:
    """Poll every host's revision continuously, and record each decrease."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._highest = dict.fromkeys(cluster.host_names, 0)
        self._hosts_read: set[str] = set()
        self.readings = 0
        self.decreases: list[str] = []
        self._threads = [
            threading.Thread(target=self._poll_host, args=(name,), daemon=True)
            for name in cluster.host_names
        ]
        for thread in self._threads:
            thread.start()

    def await_first_readings(self) -> None:
        """Wait until each host was read once, so that no later change is missed."""
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        while len(self._hosts_read) < len(self._threads):
            assert time.monotonic() < deadline, f"only {sorted(self._hosts_read)} were read"
            time.sleep(POLL_SECONDS)

    def reset_host(self, host: str) -> None:
        """Accept any revision next from a host whose process was replaced."""
        with self._lock:
            self._highest[host] = 0

    def close(self) -> None:
        self._closed.set()
        for thread in self._threads:
            thread.join()

    def _poll_host(self, host: str) -> None:
        while not self._closed.wait(RETRY_SECONDS):
            address, _, port = self._cluster.get_address(host, "operators").rpartition(":")
            connection = http.client.HTTPConnection(
                address, int(port), timeout=CALL_TIMEOUT_SECONDS
            )
            try:
                self._poll_connection(host, connection)
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def _poll_connection(self, host: str, connection: http.client.HTTPConnection) -> None:
        """Poll a host over one connection, which is faster than a new one for each reading."""
        headers = {"Authorization": f"Bearer {self._cluster.operator_key}"}
        while not self._closed.wait(POLL_SECONDS):
            with self._lock:
                highest = self._highest[host]
            connection.request("GET", "/v1/resources/model", headers=headers)
            revision = json.loads(connection.getresponse().read())["revision"]
            with self._lock:
                self.readings += 1
                self._hosts_read.add(host)
                if highest != self._highest[host]:
                    continue  # the host was reset while the answer was in transit
                if revision < highest:
                    self.decreases.append(f"{host}: {highest} to {revision}")
                self._highest[host] = max(revision, highest)


def change_resource(
    cluster: Cluster,
    host: str,
    path: str,
    fields: dict[str, Any] | None,
    if_match: int | None = None,
) -> Change:
    """Put a resource, or delete it if ``fields`` is ``None``, and return the answer."""
    headers = {"Authorization": f"Bearer {cluster.operator_key}"}
    if if_match is not None:
        headers["If-Match"] = f'"{if_match}"'
    client = HttpClient(cluster.get_address(host, "operators"), read_timeout=CALL_TIMEOUT_SECONDS)
    method = "DELETE" if fields is None else "PUT"
    answer = client.call_json(method, f"/v1/resources/{path}", fields, headers=headers, fresh=True)
    assert not isinstance(answer, CallFailure), (host, path, answer)
    return Change(path.partition("/")[2], *answer)


def list_accounts(cluster: Cluster, host: str) -> dict[str, Any]:
    """Return the accounts in force on a host by name."""
    listed = cluster.call_operator_api(host, "GET", "/v1/resources/account")["resources"]
    return {entry["name"]: entry for entry in listed}


@dataclass(frozen=True)
class RouteAnswer:
    """Record the status of a caller's call, 0 if there was no answer, and the body."""

    status: int
    body: Any


def call_route(cluster: Cluster, host: str, path: str, key: str | None) -> RouteAnswer:
    """Call a route over a new connection."""
    client = HttpClient(cluster.get_address(host, "callers"), read_timeout=CALL_TIMEOUT_SECONDS)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    answer = client.call_json("GET", path, headers=headers, fresh=True)
    return RouteAnswer(0, answer) if isinstance(answer, CallFailure) else RouteAnswer(*answer)


class PersistentConnection:
    """Call a host over one keep-alive connection; fail if it is reopened."""

    def __init__(self, cluster: Cluster, host: str, key: str) -> None:
        address, _, port = cluster.get_address(host, "callers").rpartition(":")
        self.host = host
        self._headers = {"Authorization": f"Bearer {key}"}
        self._connection = http.client.HTTPConnection(
            address, int(port), timeout=CALL_TIMEOUT_SECONDS
        )
        self._connection.connect()
        self._socket = self._connection.sock

    def call(self, path: str) -> int:
        self._connection.request("GET", path, headers=self._headers)
        response = self._connection.getresponse()
        response.read()
        assert self._connection.sock is self._socket, "the connection was not kept alive"
        return response.status

    def close(self) -> None:
        self._connection.close()


def measure_until(timeout: float, is_met: Any) -> float:
    """Wait for a condition and return the elapsed seconds; fail after ``timeout`` seconds."""
    started = time.monotonic()
    while not is_met():
        assert time.monotonic() - started < timeout, f"not met within {timeout} s"
        time.sleep(0.02)
    return time.monotonic() - started
