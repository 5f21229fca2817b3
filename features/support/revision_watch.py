"""Watch the revision in force on each host of a cluster, and make changes through them."""

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
CALL_SECONDS = 12.0


@dataclass(frozen=True)
class Change:
    """Hold what an operator was told of one change."""

    name: str
    status: int
    body: Any

    @property
    def is_accepted(self) -> bool:
        return self.status in (200, 201)

    @property
    def code(self) -> str:
        return "" if self.is_accepted else self.body["error"]["name"]


class RevisionWatch:
    """Read every host's revision again and again, and remember each fall."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._highest = dict.fromkeys(cluster.host_names, 0)
        self._read_once: set[str] = set()
        self.readings = 0
        self.falls: list[str] = []
        self._threads = [
            threading.Thread(target=self._follow, args=(name,), daemon=True)
            for name in cluster.host_names
        ]
        for thread in self._threads:
            thread.start()

    def await_first(self) -> None:
        """Wait until each host has been read, so that no change comes before the watch."""
        deadline = time.monotonic() + CALL_SECONDS
        while len(self._read_once) < len(self._threads):
            assert time.monotonic() < deadline, f"only {sorted(self._read_once)} were read"
            time.sleep(POLL_SECONDS)

    def forget(self, host: str) -> None:
        """Start anew with a host whose process was replaced."""
        with self._lock:
            self._highest[host] = 0

    def close(self) -> None:
        self._closed.set()
        for thread in self._threads:
            thread.join()

    def _follow(self, host: str) -> None:
        while not self._closed.wait(RETRY_SECONDS):
            address, _, port = self._cluster.get_address(host, "operators").rpartition(":")
            connection = http.client.HTTPConnection(address, int(port), timeout=CALL_SECONDS)
            try:
                self._read_all(host, connection)
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def _read_all(self, host: str, connection: http.client.HTTPConnection) -> None:
        """Read over one connection, which is faster than one for each reading."""
        headers = {"Authorization": f"Bearer {self._cluster.operator_key}"}
        while not self._closed.wait(POLL_SECONDS):
            with self._lock:
                before = self._highest[host]
            connection.request("GET", "/v1/resources/model", headers=headers)
            revision = json.loads(connection.getresponse().read())["revision"]
            with self._lock:
                self.readings += 1
                self._read_once.add(host)
                if before != self._highest[host]:
                    continue  # the host was forgotten while the answer was on its way
                if revision < before:
                    self.falls.append(f"{host}: {before} to {revision}")
                self._highest[host] = max(revision, before)


def change_resource(
    cluster: Cluster,
    host: str,
    path: str,
    fields: dict[str, Any] | None,
    if_match: int | None = None,
) -> Change:
    """Put a resource, or delete it, and return what the operator was told."""
    headers = {"Authorization": f"Bearer {cluster.operator_key}"}
    if if_match is not None:
        headers["If-Match"] = f'"{if_match}"'
    client = HttpClient(cluster.get_address(host, "operators"), read_timeout=CALL_SECONDS)
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
    """Hold the status of a caller's call, 0 without an answer, and the body."""

    status: int
    body: Any


def call_route(cluster: Cluster, host: str, path: str, key: str | None) -> RouteAnswer:
    """Call a route over a connection of its own."""
    client = HttpClient(cluster.get_address(host, "callers"), read_timeout=CALL_SECONDS)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    answer = client.call_json("GET", path, headers=headers, fresh=True)
    return RouteAnswer(0, answer) if isinstance(answer, CallFailure) else RouteAnswer(*answer)


class KeptConnection:
    """Call a host over one connection that is kept alive."""

    def __init__(self, cluster: Cluster, host: str, key: str) -> None:
        address, _, port = cluster.get_address(host, "callers").rpartition(":")
        self.host = host
        self._headers = {"Authorization": f"Bearer {key}"}
        self._connection = http.client.HTTPConnection(address, int(port), timeout=CALL_SECONDS)
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


def measure_until(deadline: float, is_met: Any) -> float:
    """Wait for a condition and return the seconds it took; fail after ``deadline`` seconds."""
    started = time.monotonic()
    while not is_met():
        assert time.monotonic() - started < deadline, f"not met within {deadline} s"
        time.sleep(0.02)
    return time.monotonic() - started
