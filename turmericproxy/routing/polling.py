"""Poll engines and plain services for their load, and engines for cache events."""

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
from turmericproxy.routing.plain import PlainSelector
from turmericproxy.routing.requests import AttemptOutcome
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings
from turmericproxy.web import CallFailure, HttpClient

EVENTS_PER_CALL = 512
EVENTS_WAIT = 1.0
REPORT_TIMEOUT = 1.0
IDLE_STRETCH = 5


class PolledState(Protocol):
    """Take in what the polls bring."""

    index: PrefixIndex

    def record_report(self, engine: EngineName, report: LoadReport, distance: float) -> None:
        """Take in an engine's report and the seconds that its answer took."""

    def record_silence(self, engine: EngineName, kind: AttemptOutcome) -> None:
        """Take in that an engine did not report its load."""

    def record_stored(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Pass on that an engine stored blocks."""

    def count_own_prompt_tokens(self, engine: EngineName) -> float:
        """Return the whole prompts that own requests at an engine wait for."""


@dataclass(frozen=True)
class _Poll:
    """Pair a loop with the address that it asks."""

    address: str
    loop: Loop


class EventReader:
    """Follow the cache events of one engine."""

    def __init__(self, engine: EngineName, client: HttpClient, state: PolledState) -> None:
        self._engine = engine
        self._client = client
        self._state = state
        self.incarnation: Incarnation | None = None
        self._next = 0

    def step(self) -> float:
        """Read one batch of events, and return the seconds to wait for the next call."""
        path = f"/v1/events?after={self._next}&limit={EVENTS_PER_CALL}&wait={EVENTS_WAIT}"
        answer = self._client.call_json("GET", path, read_timeout=EVENTS_WAIT + REPORT_TIMEOUT)
        if isinstance(answer, CallFailure) or answer[0] != 200:
            return EVENTS_WAIT
        self.apply(answer[1])
        return 0.0

    def apply(self, body: dict[str, Any]) -> None:
        """Take in a batch of events; a gap in their numbers makes the index doubt the engine."""
        incarnation = Incarnation(body["incarnation"])
        if incarnation != self.incarnation:
            is_first = self.incarnation is None
            self.incarnation = incarnation
            self._state.index.observe_incarnation(self._engine, incarnation)
            self._next = 0
            if not is_first:
                return
        now = read_boottime()
        for event in body["events"]:
            if event["seq"] > self._next + 1 and self._next:
                self._state.index.mark_uncertain(self._engine, now)
            self._next = max(self._next, event["seq"])
            self._apply_event(event, incarnation, now)
        self._next = max(self._next, int(body["next"]))
        stored = [create_key(e["block"]) for e in body["events"] if e["kind"] == "stored"]
        if stored:
            self._state.record_stored(self._engine, stored)

    def _apply_event(self, event: dict[str, Any], incarnation: Incarnation, now: float) -> None:
        index, engine = self._state.index, self._engine
        match event["kind"]:
            case "stored":
                index.confirm(engine, incarnation, create_key(event["block"]), now)
            case "removed":
                index.remove(engine, incarnation, create_key(event["block"]), now)
            case "cleared":
                index.clear(engine)


class Pollers:
    """Keep two loops for each engine and one for each plain service of the configuration."""

    def __init__(
        self,
        state: PolledState,
        plain: PlainSelector,
        settings: RoutingSettings,
        upstreams: UpstreamSettings,
    ) -> None:
        self._state = state
        self._plain = plain
        self._pause = settings.load_poll
        self._connect_timeout = upstreams.connect_timeout
        self._lock = threading.Lock()
        self._polls: dict[str, _Poll] = {}

    def follow(self, snapshot: Snapshot) -> None:
        """Poll exactly the engines and services of the configuration."""
        engines = {engine.name: engine.address for engine in snapshot.list_engines()}
        services = {
            name: entry.resource.address  # type: ignore[attr-defined]
            for name, entry in snapshot.get_table(Kind.UPSTREAM).items()
        }
        wanted: dict[str, tuple[str, Callable[[], Callable[[], float]]]] = {}
        for name, address in engines.items():
            wanted[f"load {name}"] = (address, self._bind(self._create_load_step, name, address))
            wanted[f"events {name}"] = (address, self._bind(self._create_reader, name, address))
        for name, address in services.items():
            step = self._bind(self._create_service_step, name, address)
            wanted[f"service {name}"] = (address, step)
        with self._lock:
            self._replace_polls(wanted)

    def close(self) -> None:
        """End all loops."""
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
            read_timeout=REPORT_TIMEOUT,
            connections=1,
        )

    def _create_reader(self, name: str, address: str) -> Callable[[], float]:
        return EventReader(EngineName(name), self._create_client(address), self._state).step

    def _create_load_step(self, name: str, address: str) -> Callable[[], float]:
        client = self._create_client(address)
        engine = EngineName(name)

        def step() -> float:
            started = time.monotonic()
            answer = client.call_json("GET", "/v1/load")
            elapsed = time.monotonic() - started
            if isinstance(answer, CallFailure) or answer[0] != 200:
                kind = _classify(answer)
                log_event(Part.ROUTING, "engine gave no load report", engine=name, kind=kind.value)
                self._state.record_silence(engine, kind)
                return self._pause
            own_tokens = self._state.count_own_prompt_tokens(engine)
            report = _parse_report(answer[1], own_tokens)
            self._state.record_report(engine, report, elapsed)
            return self._pause * (IDLE_STRETCH if is_idle(report) else 1)

        return step

    def _create_service_step(self, name: str, address: str) -> Callable[[], float]:
        client = self._create_client(address)
        upstream = UpstreamName(name)

        def step() -> float:
            answer = client.call_json("GET", "/load")
            if isinstance(answer, CallFailure) or answer[0] != 200:
                self._plain.record_silence(upstream, _classify(answer))
            else:
                running = int(answer[1]["running"])
                self._plain.record_report(upstream, running)
                return self._pause * (1 if running else IDLE_STRETCH)
            return self._pause

        return step


def is_idle(report: LoadReport) -> bool:
    """Return whether an engine has nothing to do, as far as its report and this host know.

    What hosts send to it next is known without a report, from their dispatches.
    """
    return not (report.running or report.queued or report.own_prompt_tokens)


def _classify(answer: tuple[int, Any] | CallFailure) -> AttemptOutcome:
    if isinstance(answer, CallFailure) and answer.is_unsent:
        return AttemptOutcome.UNREACHABLE
    if isinstance(answer, CallFailure):
        return AttemptOutcome.TIMEOUT
    return AttemptOutcome.FAILED


def _list_served(body: dict[str, Any]) -> dict[str, str]:
    """Return the version of each model; a model whose weights are being loaded has none."""
    loading = frozenset(body.get("loading", ()))
    return {m: "" if m in loading else version for m, version in body["versions"].items()}


def _parse_report(body: dict[str, Any], own_tokens: float) -> LoadReport:
    return LoadReport(
        incarnation=Incarnation(body["incarnation"]),
        running=int(body["running"]),
        queued=int(body["queued"]),
        queued_tokens=int(body["queued_tokens"]),
        versions=_list_served(body),
        received_at=read_boottime(),
        own_prompt_tokens=own_tokens,
        capacity_blocks=int(body["capacity_blocks"]),
    )
