"""Serve the HTTP API of an engine stand-in, and crash it when a control call asks for it."""

import json
import threading
import time
import weakref
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from turmericproxy.cache.blocks import count_tokens, hash_blocks, render_prompt
from turmericproxy.standins.engine.answers import Answer, ResponseAborted
from turmericproxy.standins.engine.batch import Job
from turmericproxy.standins.engine.block_transfer import export_blocks, import_blocks
from turmericproxy.standins.engine.core import EngineCore
from turmericproxy.standins.engine.generation import digest_prompt
from turmericproxy.standins.engine.options import EngineOptions, create_faults
from turmericproxy.standins.engine.orders import OrderHandler
from turmericproxy.standins.engine.records import ServedLog, ServedRecord
from turmericproxy.standins.exchange import BODY_LIMIT_BYTES, abort_connection, read_json
from turmericproxy.web import HttpClient, HttpRequest, HttpResponse, HttpServer
from turmericproxy.web.server import Connection, create_json_response

BIND_ATTEMPTS = 200
BIND_RETRY_SECONDS = 0.05
EVENT_STREAM = {"Content-Type": "text/event-stream"}


class EngineStandIn:
    """Implement the engine's protocol; a crash aborts all connections and loses all state."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = create_faults(options)
        self.served = ServedLog()
        self._answers: weakref.WeakSet[Answer] = weakref.WeakSet()
        self._connections: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._lock = threading.Lock()
        self._store = HttpClient(options.platform) if options.platform else None
        self._routes: dict[tuple[str, str], Callable[[HttpRequest], HttpResponse]] = {
            ("POST", "/v1/chat/completions"): self._chat,
            ("POST", "/v1/resume"): self._resume,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/load"): self._read_load,
            ("GET", "/v1/events"): self._read_events,
            ("POST", "/v1/orders"): self._handle_order,
            ("POST", "/v1/kv/export"): self._export,
            ("POST", "/v1/kv/import"): self._import,
            ("POST", "/control"): self._control,
            ("GET", "/control"): self._describe_state,
        }
        self._server = self._create_server(options.address)
        self._core, self._orders = self._create_incarnation()

    @property
    def port(self) -> int:
        """Return the port that the engine listens on."""
        return self._server.port

    @property
    def address(self) -> str:
        """Return the address that the engine listens on."""
        host = self.options.address.rpartition(":")[0]
        return f"{host}:{self._server.port}"

    def start(self) -> None:
        """Start the scheduler and the listener."""
        self._core.start()
        self._server.start()

    def close(self) -> None:
        """Abort all connections and stop."""
        self._core.close()
        self._abort_connections()
        self._server.close()

    def crash(self, seconds_down: float) -> None:
        """Stop, lose all state, and restart as a new incarnation after ``seconds_down``."""
        address = self.address
        self.close()
        time.sleep(seconds_down)
        self._core, self._orders = self._create_incarnation()
        self._core.start()
        for _ in range(BIND_ATTEMPTS):
            self._server = self._create_server(address)
            try:
                self._server.start()
                return
            except OSError:
                time.sleep(BIND_RETRY_SECONDS)

    def pause(self, seconds: float) -> None:
        """Send nothing on any stream for ``seconds``, then go on."""
        self.faults.apply({"paused_until": time.monotonic() + seconds})

    def _create_server(self, address: str) -> HttpServer:
        return HttpServer(address, self._handle, threads=self.options.threads)

    def _create_incarnation(self) -> tuple[EngineCore, OrderHandler]:
        core = EngineCore(self.options, self.faults)
        return core, OrderHandler(core, self._store, fence=0)

    def _abort_connections(self) -> None:
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            abort_connection(connection)

    def _handle(self, request: HttpRequest) -> HttpResponse:
        route = self._routes.get((request.method, request.path))
        if route is None:
            return create_json_response(404, {"error": "unknown path"})
        if request.path != "/control":
            with self._lock:
                self._connections.add(request.connection)
        try:
            return route(request)
        except ResponseAborted:
            abort_connection(request.connection)
            return HttpResponse(503)
        except (KeyError, TypeError, ValueError) as error:
            return create_json_response(400, {"error": f"{type(error).__name__}: {error}"})

    def _chat(self, request: HttpRequest) -> HttpResponse:
        raw = request.read_body(BODY_LIMIT_BYTES) or b""
        core, body = self._core, json.loads(raw)
        version = core.weights.versions.get(str(body["model"]))
        if version is None or body.get("version", version) != version:
            return create_json_response(409, {"error": "version", "version": version})
        if core.is_loading(str(body["model"])):
            return create_json_response(503, {"error": "loading"}, {"Retry-After": "1"})
        job = _create_job(body, version)
        recorded_body = raw.decode() if self.options.record_bodies else None
        self.served.add(ServedRecord(job, core.incarnation, dict(request.headers), recorded_body))
        core.submit(job)
        answer = self._create_answer(core, job, request)
        if body.get("stream"):
            return HttpResponse(200, answer.stream(job.start), EVENT_STREAM)
        return create_json_response(200, answer.build())

    def _resume(self, request: HttpRequest) -> HttpResponse:
        core, body = self._core, read_json(request)
        job = core.reattach(body["request_id"])
        if job is None:
            return create_json_response(404, {"error": "unknown request"})
        answer = self._create_answer(core, job, request)
        return HttpResponse(200, answer.stream(int(body["after"]) + 1), EVENT_STREAM)

    def _create_answer(self, core: EngineCore, job: Job, request: HttpRequest) -> Answer:
        answer = Answer(core, self.faults, job, request)
        with self._lock:
            self._answers.add(answer)
        return answer

    def _cancel(self, request: HttpRequest) -> HttpResponse:
        is_cancelled = self._core.cancel(read_json(request)["request_id"])
        return create_json_response(200, {"cancelled": is_cancelled})

    def _read_load(self, request: HttpRequest) -> HttpResponse:
        return create_json_response(200, self._core.read_load())

    def _read_events(self, request: HttpRequest) -> HttpResponse:
        core, query = self._core, request.query
        page = core.events.read(
            int(query.get("after", 0)), int(query.get("limit", 1000)), float(query.get("wait", 0))
        )
        events = [
            {"seq": event.seq, "kind": event.kind.value, "block": event.block}
            for event in page.events
        ]
        value = {"incarnation": core.incarnation, "events": events, "next": page.next}
        return create_json_response(200, value)

    def _handle_order(self, request: HttpRequest) -> HttpResponse:
        reply = self._orders.handle(read_json(request))
        if reply.accepted:
            return create_json_response(200, {"accepted": True})
        return create_json_response(409, {"accepted": False, "fence": reply.fence})

    def _export(self, request: HttpRequest) -> HttpResponse:
        blocks = read_json(request)["blocks"]
        count = export_blocks(self._core, self._store, blocks) if self._store else 0
        return create_json_response(200, {"blocks": count})

    def _import(self, request: HttpRequest) -> HttpResponse:
        blocks = read_json(request)["blocks"]
        count = import_blocks(self._core, self._store, blocks) if self._store else 0
        return create_json_response(200, {"blocks": count})

    def _control(self, request: HttpRequest) -> HttpResponse:
        changes = read_json(request)
        self.faults.apply(changes)
        if changes.get("silent"):
            with self._lock:
                answers = list(self._answers)
            for open_answer in answers:
                open_answer.is_stalled = True
        if changes.get("pause") is not None:
            self.pause(float(changes["pause"]))
        if changes.get("evict"):
            self._core.clear_cache()
        answer = create_json_response(200, {"applied": sorted(changes)})
        if changes.get("crash") is None:
            return answer
        crash = threading.Thread(target=self.crash, args=(float(changes["crash"]),), name="crash")
        # The crash aborts every connection, so the answer to this call is sent before it.
        return replace(answer, when_sent=crash.start)

    def _describe_state(self, request: HttpRequest) -> HttpResponse:
        core = self._core
        state = {
            "incarnation": core.incarnation,
            "cached": core.list_blocks(),
            "versions": dict(core.weights.versions),
            "loading": sorted(core.weights.loading),
            "orders": list(self._orders.accepted),
            "imported": core.imported,
            "faults_left": self.faults.count_pending(),
            "served": self.served.describe(),
        }
        return create_json_response(200, state)


def _create_job(body: dict[str, Any], version: str) -> Job:
    prompt, model = render_prompt(body["messages"]), str(body["model"])
    salt = str(body.get("cache_salt", ""))
    return Job(
        request_id=str(body["request_id"]),
        model=model,
        version=version,
        salt=salt,
        prompt_digest=digest_prompt(prompt),
        prompt_tokens=count_tokens(prompt),
        blocks=hash_blocks(prompt, salt, model, version),
        max_tokens=int(body["max_tokens"]),
        start=int(body.get("start", 0)),
        priority=int(body.get("priority", 0)),
    )


def create_engine(options: EngineOptions) -> EngineStandIn:
    """Return an engine stand-in, not yet started."""
    return EngineStandIn(options)
