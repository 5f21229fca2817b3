"""Keep what a host knows of the engines, and learn from what becomes of its requests."""

import math
import threading
from collections.abc import Callable, Sequence

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.cache.index import BlockKey, Lookup, PrefixIndex, create_key
from turmericproxy.configuration import Engine
from turmericproxy.core import DomainName, EngineName, HostName, read_boottime
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.engines import EngineState, LoadReport, PeerWork, PendingWork
from turmericproxy.routing.health import record_ending
from turmericproxy.routing.requests import AttemptOutcome, EngineChoice, TokenCounts
from turmericproxy.routing.speed import learn_first_piece
from turmericproxy.routing.views import EngineView

DISTANCE_SMOOTHING = 0.1

StoredCallback = Callable[[EngineName, Sequence[BlockKey]], None]


class EngineRegistry:
    """Hold the state of each engine and the index of their blocks."""

    def __init__(self, index_blocks: int, read_clock: Callable[[], float] = read_boottime) -> None:
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._states: dict[EngineName, EngineState] = {}
        self.index = PrefixIndex(index_blocks)
        self._follow_stored: StoredCallback | None = None

    def follow_stored(self, callback: StoredCallback) -> None:
        """Call back with the blocks that an engine says it stored."""
        self._follow_stored = callback

    def record_stored(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Pass on that an engine stored blocks."""
        if self._follow_stored:
            self._follow_stored(engine, keys)

    def view(self, engine: Engine, model: str, keys: Sequence[BlockKey], now: float) -> EngineView:
        """Return what the host sees of an engine for a request with these blocks."""
        name = EngineName(engine.name)
        chances = tuple(self.index.estimate_presence(name, keys, now))
        with self._lock:
            state = self._get_state(name)
            report = state.report
            return EngineView(
                engine=name,
                address=engine.address,
                domain=DomainName(engine.domain),
                version=report.versions.get(model, "") if report else None,
                is_ejected=state.health.is_ejected(now),
                has_room=_has_room(engine, state, now),
                requests=state.count_requests(),
                own_tokens=state.count_own_tokens(),
                other_tokens=state.count_other_tokens(now),
                tokens_per_second=state.speed.tokens_per_second,
                overhead=state.speed.overhead,
                distance=state.distance or 0.0,
                chances=chances,
            )

    def record_dispatch(self, choice: EngineChoice, keys: Sequence[BlockKey]) -> None:
        """Count a request that is about to be sent to its engine."""
        now = self._read_clock()
        lookups = self.index.look_up(choice.engine, keys, now)
        for place in choice.imports:
            lookups[place] = Lookup(math.inf)
        with self._lock:
            state = self._get_state(choice.engine)
            ahead = state.count_own_tokens() + state.count_other_tokens(now)
            work = PendingWork(
                choice.request.prompt_tokens, choice.missing_tokens, ahead, now, tuple(lookups)
            )
            state.in_flight[choice.request.request_id] = work

    def predict_blocks(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Expect that an engine holds blocks by the time it runs the next request."""
        self.index.predict(engine, keys, self._read_clock())

    def record_import(self, choice: EngineChoice, seconds: float) -> None:
        """Record that the import before a dispatch took some seconds."""
        with self._lock:
            work = self._get_state(choice.engine).in_flight.get(choice.request.request_id)
            if work:
                work.import_seconds = seconds

    def record_first_token(self, choice: EngineChoice, seconds: float) -> None:
        """Record that the first piece came, ``seconds`` after the attempt began."""
        with self._lock:
            work = self._get_state(choice.engine).in_flight.get(choice.request.request_id)
            if work and work.first_piece_seconds is None:
                work.first_piece_seconds = max(0.0, seconds - work.import_seconds)

    def record_finish(
        self, choice: EngineChoice, kind: AttemptOutcome, usage: TokenCounts | None
    ) -> None:
        """Record how an attempt ended, with the engine's usage if it was complete."""
        keys = [create_key(block) for block in choice.request.blocks]
        with self._lock:
            state = self._get_state(choice.engine)
            work = state.in_flight.pop(choice.request.request_id, None)
            self._record_ending(choice.engine, state, kind)
            if work and usage:
                _learn_speed(state, work, usage)
                state.learn_miss_share(usage.prompt_tokens, usage.cached_tokens)
        if kind is AttemptOutcome.UNREACHABLE:
            self.index.remove_predictions(choice.engine, keys)
        elif work and usage:
            cached = usage.cached_tokens // TOKENS_PER_BLOCK
            self.index.record_usage(choice.engine, work.lookups, cached)

    def record_report(self, engine: EngineName, report: LoadReport, seconds: float) -> None:
        """Take in an engine's report and the seconds that its answer took."""
        is_new = self.index.observe_incarnation(engine, report.incarnation)
        if report.capacity_blocks:
            self.index.set_capacity(engine, report.capacity_blocks)
        with self._lock:
            state = self._get_state(engine)
            before = state.report
            state.report = report
            state.distance = _learn_distance(state.distance, seconds)
        is_changed = before is not None and before.versions != report.versions
        if is_new or is_changed:
            self.index.clear(engine)
            message = "engine came back empty" if is_new else "engine changed its versions"
            log_event(Part.CACHE, message, engine=engine)

    def record_silence(self, engine: EngineName, kind: AttemptOutcome) -> None:
        """Take in that an engine did not report its load."""
        with self._lock:
            self._record_ending(engine, self._get_state(engine), kind)

    def record_peer_work(self, engine: EngineName, host: HostName, work: PeerWork) -> None:
        """Take in the tokens that a peer's requests wait for at an engine."""
        with self._lock:
            self._get_state(engine).peer_work[host] = work

    def count_own_tokens(self, engine: EngineName) -> float:
        """Return the tokens that own requests wait for at an engine."""
        with self._lock:
            return self._get_state(engine).count_own_tokens()

    def count_own_prompt_tokens(self, engine: EngineName) -> float:
        """Return the whole prompts that own requests at an engine wait for."""
        with self._lock:
            return self._get_state(engine).count_own_prompt_tokens()

    def list_versions(self, engine: EngineName, now: float) -> dict[str, str]:
        """Return the versions that a healthy engine reports, by model."""
        with self._lock:
            state = self._get_state(engine)
            if state.health.is_ejected(now) or state.report is None:
                return {}
            return dict(state.report.versions)

    def describe(self) -> dict[str, dict[str, object]]:
        """Return what the host knows of each engine, by name."""
        now = self._read_clock()
        with self._lock:
            return {name: _describe(state, now) for name, state in sorted(self._states.items())}

    def _get_state(self, engine: EngineName) -> EngineState:
        return self._states.setdefault(engine, EngineState())

    def _record_ending(self, engine: EngineName, state: EngineState, kind: AttemptOutcome) -> None:
        now = self._read_clock()
        before = state.health
        state.health = record_ending(before, kind, now)
        if state.health.ejections > before.ejections:
            log_event(
                Part.ROUTING,
                "engine ejected",
                engine=engine,
                cause=kind.value,
                seconds=state.health.ejected_until - now,
            )


def _has_room(engine: Engine, state: EngineState, now: float) -> bool:
    slots = max(1, int(engine.slots * state.health.measure_share(now)))
    return len(state.in_flight) < slots


def _learn_distance(distance: float | None, seconds: float) -> float:
    if distance is None or seconds < distance:
        return seconds
    return distance + DISTANCE_SMOOTHING * min(seconds - distance, distance)


def _learn_speed(state: EngineState, work: PendingWork, usage: TokenCounts) -> None:
    if work.first_piece_seconds is None:
        return
    missing = usage.prompt_tokens - usage.cached_tokens
    seconds = work.first_piece_seconds
    state.speed = learn_first_piece(state.speed, missing, work.ahead_tokens, seconds)


def _describe(state: EngineState, now: float) -> dict[str, object]:
    report = state.report
    return {
        "incarnation": report.incarnation if report else None,
        "versions": dict(report.versions) if report else {},
        "in_flight": len(state.in_flight),
        "own_tokens": state.count_own_tokens(),
        "other_tokens": round(state.count_other_tokens(now)),
        "tokens_per_second": round(state.speed.tokens_per_second),
        "share": round(state.health.measure_share(now), 3),
    }
