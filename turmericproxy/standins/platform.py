"""Stand in for the platform: tables, objects, weights and the list of hosts."""

import json
import random
import socket
import threading
import time
from dataclasses import dataclass, fields, replace
from typing import Any

from turmericproxy.standins.platform_hosts import HostProber, HostRecord
from turmericproxy.standins.platform_tables import StoredRow, TableState
from turmericproxy.web import HttpRequest, HttpResponse, HttpServer, create_json_response

BODY_LIMIT_BYTES = 64 * 1024 * 1024
LIST_LIMIT_ROWS = 1000
RETRY_AFTER_SECONDS = 0.05


@dataclass(frozen=True)
class PlatformFaults:
    """Faults in force.

    The next ``late_next`` commits get no answer and take effect ``late`` seconds later.
    """

    down: bool = False
    slow: float = 0.0
    lose_answers: float = 0.0
    lose_next: int = 0
    late_next: int = 0
    late: float = 0.0
    lag: float = 0.0
    refuse_hosts: tuple[str, ...] = ()


class RateLimit:
    """Token bucket of ``rate`` calls a second, with a burst of a tenth of that."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate / 10)
        self._tokens = self._burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def take_token(self) -> bool:
        """Take one token, or return ``False`` if the bucket is empty."""
        with self._lock:
            now = time.monotonic()
            self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
            self._refilled_at = now
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class PlatformStandIn:
    """Implement the platform's protocol and inject faults.

    A transaction counts as one write, whatever its number of rows.
    """

    def __init__(
        self, address: str, writes: float, reads: float, weight_reads: float, seed: int
    ) -> None:
        self._tables = TableState()
        self._prober = HostProber()
        self._limits = {"write": RateLimit(writes), "read": RateLimit(reads)}
        self._weights_limit = RateLimit(weight_reads)
        self._faults = PlatformFaults()
        self._random = random.Random(seed)
        self._counts = {"reads": 0, "writes": 0, "refused": 0, "lost": 0, "late": 0, "down": 0}
        self._lock = threading.Lock()
        self._server = HttpServer(address, self._handle, threads=48)

    @property
    def port(self) -> int:
        """Return the port that the stand-in listens on."""
        return self._server.port

    def start(self) -> None:
        """Start listening and probing."""
        self._server.start()
        self._prober.start()

    def close(self) -> None:
        """Stop listening and probing."""
        self._prober.close()
        self._server.close()

    def _handle(self, request: HttpRequest) -> HttpResponse:
        body = request.read_body(BODY_LIMIT_BYTES)
        if body is None:
            return create_json_response(413, {"error": "body too large"})
        if request.path.startswith("/control"):
            return self._handle_control(request, body)
        if request.path == "/healthz":
            return create_json_response(200, {"ok": True})
        faults = self._faults
        if request.headers.get("x-host", "") in faults.refuse_hosts:
            return _abort_request(request)
        if faults.down:
            self._count("down")
            return create_json_response(503, {"error": "down"}, {"Retry-After": "1"})
        if faults.slow:
            time.sleep(faults.slow)
        is_write = request.method not in ("GET", "HEAD")
        if not self._limits["write" if is_write else "read"].take_token():
            return self._reject_over_limit()
        self._count("writes" if is_write else "reads")
        try:
            response = self._route(request, body)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return create_json_response(400, {"error": repr(error)})
        if is_write and self._consume_lost_answer():
            self._count("lost")
            return _abort_request(request)
        return response

    def _route(self, request: HttpRequest, body: bytes) -> HttpResponse:
        parts = _decode_path(request.path).strip("/").split("/", 2)
        if parts[:2] == ["v1", "transactions"] and request.method == "POST":
            return self._commit(request, json.loads(body))
        if parts[:2] == ["v1", "tables"] and request.method == "GET":
            return self._read_table(request, parts[2])
        if parts[:2] == ["v1", "objects"]:
            return self._serve_object(request.method, parts[2], body)
        if parts[:2] == ["v1", "weights"]:
            return self._read_weights(parts[2])
        if parts[:2] == ["v1", "hosts"]:
            return create_json_response(200, self._prober.read_report(self._faults.lag))
        return create_json_response(404, {"error": "no such path"})

    def _commit(self, request: HttpRequest, transaction: dict[str, Any]) -> HttpResponse:
        conditions = transaction.get("conditions", [])
        writes = transaction["writes"]
        if self._consume_fault("late_next"):
            timer = threading.Timer(self._faults.late, self._commit_late, (conditions, writes))
            timer.daemon = True
            timer.start()
            return _abort_request(request)
        result = self._tables.apply_transaction(conditions, writes)
        if result.failed:
            return create_json_response(409, {"committed": False, "failed": list(result.failed)})
        return create_json_response(200, {"committed": True, "versions": result.versions})

    def _commit_late(self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> None:
        self._tables.apply_transaction(conditions, writes)
        self._count("late")

    def _read_table(self, request: HttpRequest, path: str) -> HttpResponse:
        table, _, rest = path.partition("/")
        key = rest.removeprefix("rows").removeprefix("/")
        if key:
            row = self._tables.read_row(table, key)
            if row is None:
                return create_json_response(404, {"error": "no such row"})
            return create_json_response(200, {"value": row.value, "version": row.version})
        query = request.query
        limit = min(int(query.get("limit", LIST_LIMIT_ROWS)), LIST_LIMIT_ROWS)
        rows = self._tables.list_rows(table, query.get("prefix", ""), query.get("after", ""), limit)
        return create_json_response(200, {"rows": [_describe_row(row) for row in rows]})

    def _serve_object(self, method: str, name: str, body: bytes) -> HttpResponse:
        if method == "PUT":
            self._tables.put_object(name, body)
            return create_json_response(200, {"stored": len(body)})
        if method == "DELETE":
            self._tables.delete_object(name)
            return create_json_response(200, {"deleted": True})
        content = self._tables.get_object(name)
        if content is None:
            return create_json_response(404, {"error": "no such object"})
        return HttpResponse(200, content, {"Content-Type": "application/octet-stream"})

    def _read_weights(self, name: str) -> HttpResponse:
        if not self._weights_limit.take_token():
            return self._reject_over_limit()
        return HttpResponse(200, f"weights of {name}".encode())

    def _handle_control(self, request: HttpRequest, body: bytes) -> HttpResponse:
        if request.method == "GET":
            return create_json_response(200, dict(self._counts))
        value = json.loads(body or b"{}")
        if request.path == "/control/hosts":
            self._prober.set_hosts([_create_record(entry) for entry in value["hosts"]])
            return create_json_response(200, {"hosts": len(value["hosts"])})
        unknown = set(value) - {field.name for field in fields(PlatformFaults)}
        if unknown:
            return create_json_response(400, {"error": f"unknown: {sorted(unknown)}"})
        if "refuse_hosts" in value:
            value["refuse_hosts"] = tuple(value["refuse_hosts"])
        with self._lock:
            self._faults = replace(self._faults, **value)
        return create_json_response(200, {"ok": True})

    def _reject_over_limit(self) -> HttpResponse:
        self._count("refused")
        headers = {"Retry-After": str(RETRY_AFTER_SECONDS)}
        return create_json_response(429, {"error": "too many calls"}, headers)

    def _consume_lost_answer(self) -> bool:
        if self._consume_fault("lose_next"):
            return True
        with self._lock:
            return self._random.random() < self._faults.lose_answers

    def _consume_fault(self, name: str) -> bool:
        with self._lock:
            remaining = getattr(self._faults, name)
            if remaining <= 0:
                return False
            self._faults = replace(self._faults, **{name: remaining - 1})
            return True

    def _count(self, name: str) -> None:
        with self._lock:
            self._counts[name] += 1


def create_platform(
    address: str,
    *,
    writes: float = 600.0,
    reads: float = 2000.0,
    weight_reads: float = 20.0,
    seed: int = 0,
) -> PlatformStandIn:
    """Return a platform stand-in, not yet started; the limits are in calls a second."""
    return PlatformStandIn(address, writes, reads, weight_reads, seed)


def _decode_path(path: str) -> str:
    # The server decodes a path as Latin-1 and leaves encoded slashes unchanged.
    return path.encode("latin-1").decode().replace("%2F", "/")


def _abort_request(request: HttpRequest) -> HttpResponse:
    request.connection.shutdown(socket.SHUT_RDWR)
    return HttpResponse(503)


def _describe_row(row: StoredRow) -> dict[str, Any]:
    return {"key": row.key, "value": row.value, "version": row.version}


def _create_record(entry: dict[str, Any]) -> HostRecord:
    return HostRecord(
        host=entry["host"],
        domain=entry["domain"],
        callers=entry["callers"],
        peers=entry["peers"],
        leaving=entry.get("state", "live") == "leaving" or bool(entry.get("leaving", False)),
    )
