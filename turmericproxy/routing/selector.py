"""Choose an engine for each request and keep the state that the choices rest on."""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.cache.index import PrefixIndex, create_key
from turmericproxy.configuration import Engine, Route, Snapshot, UpstreamState
from turmericproxy.core import (
    DomainName,
    EngineName,
    HostName,
    ModelName,
    Refusal,
    RequestId,
    ResultCode,
    UpstreamName,
    read_boottime,
    refuse,
)
from turmericproxy.logs import Part, log_decision
from turmericproxy.routing.candidates import Candidate
from turmericproxy.routing.engines import EngineState, LoadReport, PendingWork
from turmericproxy.routing.health import record_ending
from turmericproxy.routing.plain import PlainSelector
from turmericproxy.routing.policies import create_policy, select, weigh_rendezvous
from turmericproxy.routing.polling import Pollers
from turmericproxy.routing.requests import (
    Choice,
    FinishKind,
    RoutingRequest,
    UpstreamChoice,
    Usage,
)
from turmericproxy.routing.scoring import has_room, score_engine
from turmericproxy.routing.shares import AccountShares
from turmericproxy.routing.sharing import DispatchNote, WorkSharing
from turmericproxy.routing.speed import learn_first_piece
from turmericproxy.settings.schema import RoutingSettings, UpstreamSettings

RETRY_AFTER = 0.5
DISTANCE_GUESS = 0.002


class ConfigurationSource(Protocol):
    """Offer the configuration in force."""

    def snapshot(self) -> Snapshot:
        """Return the configuration in force."""

    def subscribe(self, callback: Callable[[Snapshot], None]) -> Any:
        """Call back with each new configuration."""


@dataclass(frozen=True)
class _Field:
    """Hold the engines that serve a request, and those with room for it."""

    serving: tuple[Engine, ...]
    free: tuple[Engine, ...]


class Selector:
    """Choose engines by the policy of the host, and learn from what becomes of the choices."""

    def __init__(
        self,
        configuration: ConfigurationSource,
        links: Any,
        settings: RoutingSettings,
        upstream_settings: UpstreamSettings,
        host: HostName,
        domain: DomainName,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._configuration = configuration
        self._domain = domain
        self._policy = create_policy(settings.policy)
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._states: dict[EngineName, EngineState] = {}
        self._shares = AccountShares()
        self._turn = 0
        self.index = PrefixIndex(settings.index_blocks)
        self.plain = PlainSelector(domain, host, read_clock)
        self._sharing = WorkSharing(links, self)
        self._pollers = Pollers(self, settings, upstream_settings)

    def start(self) -> None:
        """Start to poll the engines and to tell peers of dispatches."""
        self._sharing.start()
        self._configuration.subscribe(self._pollers.follow)
        self._pollers.follow(self._configuration.snapshot())

    def close(self) -> None:
        """End the threads."""
        self._pollers.close()
        self._sharing.close()

    def choose(self, request: RoutingRequest) -> Choice | Refusal:
        """Return the engine that takes the request, or say why none can."""
        now = self._read_clock()
        snapshot = self._configuration.snapshot()
        account = snapshot.find_account(request.account)
        with self._lock:
            field = self._list_field(snapshot, request, now)
            if not field.free:
                return _refuse_field(bool(field.serving))
            candidates = [self._score(engine, request, now) for engine in field.free]
            self._turn += 1
            taken = select(self._policy, candidates, request, self._turn)
            hosts = self._sharing.count_hosts()
            rate = account.rate if account else 1.0
            priority = self._shares.rank(request.account, rate, hosts, now)
        if now + taken.expected_seconds > request.deadline:
            return _refuse_deadline(taken, request.deadline - now)
        choice = _create_choice(request, taken, priority)
        _log_choice(choice, candidates)
        return choice

    def choose_version(self, model: ModelName, request_id: RequestId) -> str | None:
        """Return the weights version for a request, by the share of engines that serve it.

        While engines change over, requests divide among the versions as the engines do.
        """
        snapshot = self._configuration.snapshot()
        wanted = snapshot.find_model(model)
        if wanted is None:
            return None
        now = self._read_clock()
        with self._lock:
            versions = [
                version
                for engine in snapshot.list_engines()
                if model in engine.models and engine.state is UpstreamState.ACTIVE
                for version in self._list_served(engine, model, now)
            ]
        if not versions:
            return wanted.version
        place = weigh_rendezvous(request_id, "version") % len(versions)
        return sorted(versions)[place]

    def record_dispatch(self, choice: Choice) -> None:
        """Count a request that is about to be sent to its engine."""
        now = self._read_clock()
        keys = [create_key(block) for block in choice.request.blocks]
        ages = self.index.measure_ages(choice.engine, keys, now)
        with self._lock:
            state = self._get_state(choice.engine)
            ahead = state.count_own_tokens() + state.count_other_tokens(now)
            work = PendingWork(choice.missing_tokens, ahead, now, ages)
            state.in_flight[choice.request.request_id] = work
            tokens = choice.request.prompt_tokens + choice.request.max_tokens
            self._shares.add(choice.request.account, tokens, now)
        self.index.predict(choice.engine, keys, now)
        self._sharing.add(DispatchNote(choice.engine, tuple(keys), choice.cached_blocks))

    def record_first_piece(self, choice: Choice, seconds: float) -> None:
        """Record that the first piece came, ``seconds`` after the dispatch."""
        with self._lock:
            work = self._get_state(choice.engine).in_flight.get(choice.request.request_id)
            if work and work.first_piece_seconds is None:
                work.first_piece_seconds = seconds
        self._sharing.mark_changed(choice.engine)

    def record_finish(self, choice: Choice, kind: FinishKind, usage: Usage | None = None) -> None:
        """Record how the attempt ended, with the engine's usage if it was complete."""
        now = self._read_clock()
        keys = [create_key(block) for block in choice.request.blocks]
        with self._lock:
            state = self._get_state(choice.engine)
            work = state.in_flight.pop(choice.request.request_id, None)
            state.health = record_ending(state.health, kind, now)
            if work and usage:
                _learn_speed(state, work, usage)
        if kind is FinishKind.UNREACHABLE:
            self.index.retract(choice.engine, keys)
        if work and usage:
            cached = usage.cached_tokens // TOKENS_PER_BLOCK
            self.index.learn_usage(choice.engine, keys, cached, work.ages)
        self._sharing.mark_changed(choice.engine)

    def choose_upstream(
        self, route: Route, excluded: frozenset[UpstreamName] = frozenset()
    ) -> UpstreamChoice | Refusal:
        """Return the plain service that takes the next call of a route."""
        return self.plain.choose(self._configuration.snapshot(), route, excluded)

    def record_upstream_start(self, choice: UpstreamChoice) -> None:
        """Count a call that is about to be sent to its plain service."""
        self.plain.record_start(choice.upstream)

    def record_upstream_end(self, choice: UpstreamChoice, kind: FinishKind) -> None:
        """Record how a call to a plain service ended."""
        self.plain.record_end(choice.upstream, kind)

    def record_report(self, engine: EngineName, report: LoadReport, distance: float) -> None:
        """Take in an engine's report and the seconds that its answer took."""
        is_new = self.index.observe_incarnation(engine, report.incarnation)
        with self._lock:
            state = self._get_state(engine)
            before = state.report
            state.report = report
            state.distance = min(state.distance or distance, distance)
        if is_new or (before and before.versions != report.versions):
            self.index.clear(engine)

    def record_silence(self, engine: EngineName, kind: FinishKind) -> None:
        """Take in that an engine did not report its load."""
        now = self._read_clock()
        with self._lock:
            state = self._get_state(engine)
            state.health = record_ending(state.health, kind, now)

    def record_peer_work(self, engine: EngineName, host: HostName, work: Any) -> None:
        """Take in the tokens that a peer's requests wait for at an engine."""
        with self._lock:
            self._get_state(engine).peer_work[host] = work

    def count_own_tokens(self, engine: EngineName) -> float:
        """Return the tokens that own requests wait for at an engine."""
        with self._lock:
            return self._get_state(engine).count_own_tokens()

    def describe_engines(self) -> dict[str, dict[str, float]]:
        """Return what the host knows of each engine, for the status page."""
        now = self._read_clock()
        with self._lock:
            return {
                name: {
                    "in_flight": len(state.in_flight),
                    "own_tokens": state.count_own_tokens(),
                    "other_tokens": state.count_other_tokens(now),
                    "tokens_per_second": state.speed.tokens_per_second,
                    "share": state.health.measure_share(now),
                }
                for name, state in sorted(self._states.items())
            }

    def _get_state(self, engine: EngineName) -> EngineState:
        return self._states.setdefault(engine, EngineState())

    def _list_served(self, engine: Engine, model: str, now: float) -> list[str]:
        state = self._get_state(EngineName(engine.name))
        if state.health.is_ejected(now) or state.report is None:
            return []
        version = state.report.versions.get(model)
        return [version] if version else []

    def _list_field(self, snapshot: Snapshot, request: RoutingRequest, now: float) -> _Field:
        serving = tuple(
            engine
            for engine in snapshot.list_engines()
            if engine.name not in request.excluded
            and engine.state is UpstreamState.ACTIVE
            and request.model in engine.models
            and self._is_serving(engine, request, now)
        )
        free = tuple(
            engine
            for engine in serving
            if has_room(engine, self._get_state(EngineName(engine.name)), now)
        )
        return _Field(serving, free)

    def _is_serving(self, engine: Engine, request: RoutingRequest, now: float) -> bool:
        state = self._get_state(EngineName(engine.name))
        if state.health.is_ejected(now):
            return False
        return state.report is None or state.report.versions.get(request.model) == request.version

    def _score(self, engine: Engine, request: RoutingRequest, now: float) -> Candidate:
        name = EngineName(engine.name)
        keys = [create_key(block) for block in request.blocks]
        chances: Sequence[float] = self.index.estimate_presence(name, keys, now)
        return score_engine(engine, self._get_state(name), chances, request.prompt_tokens, now)


def _learn_speed(state: EngineState, work: PendingWork, usage: Usage) -> None:
    if work.first_piece_seconds is None:
        return
    missing = usage.prompt_tokens - usage.cached_tokens
    seconds = work.first_piece_seconds
    state.speed = learn_first_piece(state.speed, missing, work.ahead_tokens, seconds)


def _create_choice(request: RoutingRequest, taken: Candidate, priority: int) -> Choice:
    terms = {
        "queue": round(taken.queue_seconds, 4),
        "compute": round(taken.compute_seconds, 4),
        "distance": round(taken.distance_seconds, 4),
        "overhead": round(taken.overhead_seconds, 4),
    }
    return Choice(
        request=request,
        engine=taken.engine,
        address=taken.address,
        version=request.version,
        expected_seconds=taken.expected_seconds,
        cached_blocks=taken.cached_blocks,
        missing_tokens=taken.missing_tokens,
        priority=priority,
        terms=terms,
    )


def _log_choice(choice: Choice, candidates: Sequence[Candidate]) -> None:
    log_decision(
        Part.ROUTING,
        "engine chosen",
        request_id=choice.request.request_id,
        account=choice.request.account,
        engine=choice.engine,
        expected=round(choice.expected_seconds, 4),
        cached_blocks=choice.cached_blocks,
        blocks=len(choice.request.blocks),
        priority=choice.priority,
        terms=choice.terms,
        others={
            other.engine: round(other.expected_seconds, 4)
            for other in candidates
            if other.engine != choice.engine
        },
    )


def _refuse_field(has_serving: bool) -> Refusal:
    if has_serving:
        reason = "every engine that serves the model has its slots taken"
        return refuse(ResultCode.OVERLOADED, reason, retry_after=RETRY_AFTER)
    reason = "no healthy engine serves the model and version"
    return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER)


def _refuse_deadline(taken: Candidate, left: float) -> Refusal:
    late = taken.expected_seconds - max(0.0, left)
    reason = f"the first token is expected in {taken.expected_seconds:.2f} s, after the deadline"
    return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=max(0.1, late))
