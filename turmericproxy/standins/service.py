"""Stand in for a plain service that counts the calls that it runs."""

import threading
import time
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from turmericproxy.core import create_id
from turmericproxy.standins.exchange import BODY_LIMIT_BYTES, abort_connection, read_json
from turmericproxy.web import HttpRequest, HttpResponse, HttpServer, create_json_response

POLL_SECONDS = 0.1
MISMATCHED_ID = "another-request"
MISMATCHED_BODY = "the body of another request"


@dataclass(frozen=True)
class ServiceOptions:
    """Options that are fixed while a service stand-in runs; times are in seconds."""

    address: str = "127.0.0.1:0"
    name: str = "service"
    work_time: float = 0.002
    threads: int = 64


@dataclass
class ServiceFaults:
    """Faults that a control call sets; a count is of the calls still to be affected."""

    late: float = 0.0
    silent: bool = False
    fail_before: int = 0
    fail_after: int = 0
    crossed: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def apply(self, changes: Mapping[str, Any]) -> None:
        """Set the faults that are named in ``changes``."""
        names = {item.name for item in fields(self) if not item.name.startswith("_")}
        with self._lock:
            for name in names & changes.keys():
                setattr(self, name, changes[name])

    def consume(self, name: str) -> bool:
        """Return whether the fault applies to this call, and count it down."""
        with self._lock:
            remaining = int(getattr(self, name))
            setattr(self, name, max(0, remaining - 1))
            return remaining > 0


@dataclass(frozen=True)
class Run:
    """Call that the service ran."""

    method: str
    path: str
    idempotency_key: str | None
    body: str
    headers: dict[str, str]


class ServiceStandIn:
    """Run and count every call, with the faults that control calls set."""

    def __init__(self, options: ServiceOptions) -> None:
        self.options = options
        self.faults = ServiceFaults()
        self._runs: list[Run] = []
        self._running = 0
        self._down_until = 0.0
        self._lock = threading.Lock()
        self._open_requests: dict[str, HttpRequest] = {}
        self._server = HttpServer(options.address, self._handle, threads=options.threads)

    @property
    def port(self) -> int:
        """Return the port that the service listens on."""
        return self._server.port

    @property
    def address(self) -> str:
        """Return the address that the service listens on."""
        return f"{self.options.address.rpartition(':')[0]}:{self._server.port}"

    def start(self) -> None:
        """Start the listener."""
        self._server.start()

    def close(self) -> None:
        """Stop the listener."""
        self._server.close()

    def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/control/runs":
            return create_json_response(200, [asdict(run) for run in list(self._runs)])
        if request.path == "/control":
            return self._control(request)
        if time.monotonic() < self._down_until:
            return _abort_request(request)
        if request.path == "/load":
            value = {"running": self._running, "as_of": time.time()}
            return create_json_response(200, value)
        return self._track(request)

    def _track(self, request: HttpRequest) -> HttpResponse:
        call_id = create_id()
        with self._lock:
            self._open_requests[call_id] = request
            self._running += 1
        try:
            return self._serve(request)
        finally:
            with self._lock:
                del self._open_requests[call_id]
                self._running -= 1

    def _serve(self, request: HttpRequest) -> HttpResponse:
        body = (request.read_body(BODY_LIMIT_BYTES) or b"").decode(errors="replace")
        if self.faults.silent:
            return _hold_until_disconnect(request)
        if self.faults.consume("fail_before"):
            return _abort_request(request)
        run = self._run(request, body)
        if self.faults.consume("fail_after"):
            return _abort_request(request)
        time.sleep(self.faults.late)
        request_id = request.headers.get("x-request-id", "")
        if self.faults.consume("crossed"):
            request_id, body = MISMATCHED_ID, MISMATCHED_BODY
        value = {
            "service": self.options.name,
            "path": request.path,
            "run": run,
            "echo": body,
        }
        return create_json_response(200, value, {"X-Request-Id": request_id})

    def _run(self, request: HttpRequest, body: str) -> int:
        time.sleep(self.options.work_time)
        key = request.headers.get("idempotency-key")
        run = Run(request.method, request.path, key, body, dict(request.headers))
        with self._lock:
            self._runs.append(run)
            return len(self._runs)

    def _control(self, request: HttpRequest) -> HttpResponse:
        changes = read_json(request)
        self.faults.apply(changes)
        if changes.get("crash") is not None:
            self._crash(float(changes["crash"]))
        return create_json_response(200, {"applied": sorted(changes)})

    def _crash(self, seconds_down: float) -> None:
        self._down_until = time.monotonic() + seconds_down
        with self._lock:
            requests = list(self._open_requests.values())
        for request in requests:
            abort_connection(request.connection)


def _abort_request(request: HttpRequest) -> HttpResponse:
    abort_connection(request.connection)
    return HttpResponse(503)


def _hold_until_disconnect(request: HttpRequest) -> HttpResponse:
    while not request.is_client_gone():
        time.sleep(POLL_SECONDS)
    return _abort_request(request)


def create_service(options: ServiceOptions) -> ServiceStandIn:
    """Return a service stand-in, not yet started."""
    return ServiceStandIn(options)
