"""Poll engines and plain services for load reports, and engines for cache events."""

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from turmericproxy.cache.index import BlockKey, PrefixIndex, create_key
from turmericproxy.configuration import Kind, Snapshot
from turmericproxy.core import EngineName, Incarnation, UpstreamName, read_boottime
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.engines import LoadReport
from turmericproxy.routing.requests import AttemptOutcome
from turmericproxy.routing.services import ServiceSelector
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings
from turmericproxy.web import CallFailure, HttpClient

EVENTS_PER_CALL = 512
EVENTS_WAIT_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
IDLE_INTERVAL_FACTOR = 5


class PollSink(Protocol):
    """Receive the results of polls of engines."""

    index: PrefixIndex

    def record_report(self, engine: EngineName, report: LoadReport, seconds: float) -> None:
        """Record an engine's load report and the seconds that the poll took."""

    def record_poll_failure(self, engine: EngineName, outcome: AttemptOutcome) -> None:
        """Record that an engine could not be polled for its load."""

    def record_stored(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Record that an engine stored blocks."""

    def count_own_prompt_tokens(self, engine: EngineName) -> float:
        """Return all prompt tokens of this host's requests that wait at an engine."""


@dataclass(frozen=True)
class _Poll:
    """Pair a polling loop with the address that it polls."""

    address: str
    loop: Loop


class EventReader:
    """Read the cache events of one engine and apply them to the index."""

    def __init__(self, engine: EngineName, client: HttpClient, sink: PollSink) -> None:
        self._engine = engine
        self._client = client
        self._sink = sink
        self.incarnation: Incarnation | None = None
        self._last_seq = 0

    def poll(self) -> float:
        """Read and apply one batch of events; return the seconds to wait before the next call."""
        path = (
            f"/v1/events?after={self._last_seq}&limit={EVENTS_PER_CALL}&wait={EVENTS_WAIT_SECONDS}"
        )
        answer = self._client.call_json(
            "GET", path, read_timeout=EVENTS_WAIT_SECONDS + REPORT_TIMEOUT_SECONDS
        )
        if isinstance(answer, CallFailure) or answer[0] != 200:
            return EVENTS_WAIT_SECONDS
        self.apply(answer[1])
        return 0.0

    def apply(self, body: dict[str, Any]) -> None:
        """Apply a batch of events; a gap in their numbers makes earlier index entries uncertain."""
        incarnation = Incarnation(body["incarnation"])
        if incarnation != self.incarnation:
            is_first = self.incarnation is None
            self.incarnation = incarnation
            self._sink.index.observe_incarnation(self._engine, incarnation)
            self._last_seq = 0
            if not is_first:
                return
        now = read_boottime()
        for event in body["events"]:
            if event["seq"] > self._last_seq + 1 and self._last_seq:
                self._sink.index.mark_uncertain(self._engine, now)
            self._last_seq = max(self._last_seq, event["seq"])
            self._apply_event(event, incarnation, now)
        self._last_seq = max(self._last_seq, int(body["next"]))
        stored = [create_key(e["block"]) for e in body["events"] if e["kind"] == "stored"]
        if stored:
            self._sink.record_stored(self._engine, stored)

    def _apply_event(self, event: dict[str, Any], incarnation: Incarnation, now: float) -> None:
        index, engine = self._sink.index, self._engine
        match event["kind"]:
            case "stored":
                index.confirm(engine, incarnation, create_key(event["block"]), now)
            case "removed":
                index.remove(engine, incarnation, create_key(event["block"]), now)
            case "cleared":
                index.clear(engine)


class Pollers:
    """Run two polling loops per configured engine and one per configured plain service."""

    def __init__(
        self,
        sink: PollSink,
        services: ServiceSelector,
        settings: RoutingSettings,
        upstreams: UpstreamSettings,
    ) -> None:
        self._sink = sink
        self._services = services
        self._interval = settings.load_poll
        self._connect_timeout = upstreams.connect_timeout
        self._lock = threading.Lock()
        self._polls: dict[str, _Poll] = {}

    def update(self, snapshot: Snapshot) -> None:
        """Start and stop loops to poll exactly the configured engines and services."""
        engines = {engine.name: engine.address for engine in snapshot.list_engines()}
        upstreams = {
            name: entry.resource.address  # type: ignore[attr-defined]
            for name, entry in snapshot.get_table(Kind.UPSTREAM).items()
        }
        wanted: dict[str, tuple[str, Callable[[], Callable[[], float]]]] = {}
        for name, address in engines.items():
            wanted[f"load {name}"] = (address, self._bind(self._create_load_poll, name, address))
            wanted[f"events {name}"] = (address, self._bind(self._create_event_poll, name, address))
        for name, address in upstreams.items():
            create = self._bind(self._create_service_poll, name, address)
            wanted[f"service {name}"] = (address, create)
        with self._lock:
            self._replace_polls(wanted)

    def close(self) -> None:
        """Stop all loops."""
        with self._lock:
            for poll in self._polls.values():
                poll.loop.stop()
            self._polls = {}

    def _bind(
        self, create: Callable[[str, str], Callable[[], float]], name: str, address: str
    ) -> Callable[[], Callable[[], float]]:
        return lambda: create(name, address)

    def _replace_polls(
        self, wanted: dict[str, tuple[str, Callable[[], Callable[[], float]]]]
    ) -> None:
        for name, poll in list(self._polls.items()):
            if name not in wanted or wanted[name][0] != poll.address:
                poll.loop.stop()
                del self._polls[name]
        for name, (address, create) in wanted.items():
            if name not in self._polls:
                poll = _Poll(address, Loop(Part.ROUTING, name, create()))
                self._polls[name] = poll
                poll.loop.start()

    def _create_client(self, address: str) -> HttpClient:
        return HttpClient(
            address,
            connect_timeout=self._connect_timeout,
            read_timeout=REPORT_TIMEOUT_SECONDS,
            connections=1,
        )

    def _create_event_poll(self, name: str, address: str) -> Callable[[], float]:
        return EventReader(EngineName(name), self._create_client(address), self._sink).poll

    def _create_load_poll(self, name: str, address: str) -> Callable[[], float]:
        client = self._create_client(address)
        engine = EngineName(name)

        def poll() -> float:
            started = time.monotonic()
            answer = client.call_json("GET", "/v1/load")
            elapsed = time.monotonic() - started
            if isinstance(answer, CallFailure) or answer[0] != 200:
                outcome = _classify_failure(answer)
                log_event(Part.ROUTING, "engine load poll failed", engine=name, kind=outcome.value)
                self._sink.record_poll_failure(engine, outcome)
                return self._interval
            own_tokens = self._sink.count_own_prompt_tokens(engine)
            report = _parse_report(answer[1], own_tokens)
            self._sink.record_report(engine, report, elapsed)
            return self._interval * (IDLE_INTERVAL_FACTOR if is_idle(report) else 1)

        return poll

    def _create_service_poll(self, name: str, address: str) -> Callable[[], float]:
        client = self._create_client(address)
        upstream = UpstreamName(name)

        def poll() -> float:
            answer = client.call_json("GET", "/load")
            if isinstance(answer, CallFailure) or answer[0] != 200:
                self._services.record_poll_failure(upstream, _classify_failure(answer))
            else:
                running = int(answer[1]["running"])
                self._services.record_report(upstream, running)
                return self._interval * (1 if running else IDLE_INTERVAL_FACTOR)
            return self._interval

        return poll


def is_idle(report: LoadReport) -> bool:
    """Return whether an engine has no requests by its report and none of this host's.

    An idle engine may be polled less often, since hosts learn of new requests from dispatches.
    """
    return not (report.running or report.queued or report.own_prompt_tokens)


def _classify_failure(answer: tuple[int, Any] | CallFailure) -> AttemptOutcome:
    if isinstance(answer, CallFailure) and answer.is_unsent:
        return AttemptOutcome.UNREACHABLE
    if isinstance(answer, CallFailure):
        return AttemptOutcome.TIMEOUT
    return AttemptOutcome.FAILED


def _list_served_versions(body: dict[str, Any]) -> dict[str, str]:
    """Return the served version by model; it is empty while the model's weights are loaded."""
    loading = frozenset(body.get("loading", ()))
    return {m: "" if m in loading else version for m, version in body["versions"].items()}


def _parse_report(body: dict[str, Any], own_tokens: float) -> LoadReport:
    return LoadReport(
        incarnation=Incarnation(body["incarnation"]),
        running=int(body["running"]),
        queued=int(body["queued"]),
        queued_tokens=int(body["queued_tokens"]),
        versions=_list_served_versions(body),
        received_at=read_boottime(),
        own_prompt_tokens=own_tokens,
        capacity_blocks=int(body["capacity_blocks"]),
    )
