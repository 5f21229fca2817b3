"""Estimate the state of all engines from reports, cache events, peers and finished requests."""

import math
import threading
from collections.abc import Callable, Sequence

from turmericproxy.cache.blocks import TOKENS_PER_BLOCK
from turmericproxy.cache.index import BlockKey, Lookup, PrefixIndex, create_key
from turmericproxy.configuration import Engine
from turmericproxy.core import DomainName, EngineName, HostName, read_boottime
from turmericproxy.logs import Part, log_event
from turmericproxy.routing.engines import EngineState, InFlightRequest, LoadReport, PeerWork
from turmericproxy.routing.health import update_health
from turmericproxy.routing.requests import AttemptOutcome, EngineChoice, TokenCounts
from turmericproxy.routing.speed import update_speed
from turmericproxy.routing.views import EngineView

ROUND_TRIP_SMOOTHING = 0.1

StoredCallback = Callable[[EngineName, Sequence[BlockKey]], None]


class EngineRegistry:
    """Store the state of each engine and the index of their cached blocks."""

    def __init__(self, index_blocks: int, read_clock: Callable[[], float] = read_boottime) -> None:
        self._read_clock = read_clock
        self._lock = threading.Lock()
        self._states: dict[EngineName, EngineState] = {}
        self.index = PrefixIndex(index_blocks)
        self._on_stored: StoredCallback | None = None

    def set_stored_callback(self, callback: StoredCallback) -> None:
        """Set the function that is called with the blocks that an engine reports as stored."""
        self._on_stored = callback

    def record_stored(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Call the callback with the blocks that an engine stored."""
        if self._on_stored:
            self._on_stored(engine, keys)

    def view(self, engine: Engine, model: str, keys: Sequence[BlockKey], now: float) -> EngineView:
        """Return the estimated state of an engine for a request with these blocks."""
        name = EngineName(engine.name)
        hit_probabilities = tuple(self.index.estimate_presence(name, keys, now))
        with self._lock:
            state = self._get_state(name)
            report = state.report
            return EngineView(
                engine=name,
                address=engine.address,
                domain=DomainName(engine.domain),
                version=report.versions.get(model, "") if report else None,
                is_ejected=state.health.is_ejected(now),
                has_free_slot=_has_free_slot(engine, state, now),
                requests=state.count_requests(),
                own_tokens=state.count_own_tokens(),
                other_tokens=state.count_other_tokens(now),
                tokens_per_second=state.speed.tokens_per_second,
                overhead_seconds=state.speed.overhead_seconds,
                round_trip_seconds=state.round_trip_seconds or 0.0,
                hit_probabilities=hit_probabilities,
            )

    def record_dispatch(self, choice: EngineChoice, keys: Sequence[BlockKey]) -> None:
        """Add a request that is about to be sent to the in-flight requests of its engine."""
        now = self._read_clock()
        lookups = self.index.look_up(choice.engine, keys, now)
        for index in choice.imports:
            lookups[index] = Lookup(math.inf)
        with self._lock:
            state = self._get_state(choice.engine)
            tokens_ahead = state.count_own_tokens() + state.count_other_tokens(now)
            request = InFlightRequest(
                choice.request.prompt_tokens,
                choice.uncached_tokens,
                tokens_ahead,
                now,
                tuple(lookups),
            )
            state.in_flight[choice.request.request_id] = request

    def predict_cached(self, engine: EngineName, keys: Sequence[BlockKey]) -> None:
        """Predict that an engine holds blocks by the time it runs the next request."""
        self.index.predict(engine, keys, self._read_clock())

    def record_import(self, choice: EngineChoice, seconds: float) -> None:
        """Record the seconds of the import before a dispatch."""
        with self._lock:
            request = self._get_state(choice.engine).in_flight.get(choice.request.request_id)
            if request:
                request.import_seconds = seconds

    def record_first_token(self, choice: EngineChoice, seconds: float) -> None:
        """Record that the first token arrived ``seconds`` after the attempt began."""
        with self._lock:
            request = self._get_state(choice.engine).in_flight.get(choice.request.request_id)
            if request and request.first_token_seconds is None:
                request.first_token_seconds = max(0.0, seconds - request.import_seconds)

    def record_finish(
        self, choice: EngineChoice, outcome: AttemptOutcome, usage: TokenCounts | None
    ) -> None:
        """Record the outcome of an attempt, with the engine's usage if the answer was complete."""
        keys = [create_key(block) for block in choice.request.blocks]
        with self._lock:
            state = self._get_state(choice.engine)
            request = state.in_flight.pop(choice.request.request_id, None)
            self._update_health(choice.engine, state, outcome)
            if request and usage:
                _update_speed(state, request, usage)
                state.update_miss_ratio(usage.prompt_tokens, usage.cached_tokens)
        if outcome is AttemptOutcome.UNREACHABLE:
            self.index.remove_predictions(choice.engine, keys)
        elif request and usage:
            cached = usage.cached_tokens // TOKENS_PER_BLOCK
            self.index.record_usage(choice.engine, request.lookups, cached)

    def record_report(self, engine: EngineName, report: LoadReport, seconds: float) -> None:
        """Record an engine's load report and the seconds that the poll took."""
        is_new = self.index.observe_incarnation(engine, report.incarnation)
        if report.capacity_blocks:
            self.index.set_capacity(engine, report.capacity_blocks)
        with self._lock:
            state = self._get_state(engine)
            previous = state.report
            state.report = report
            state.round_trip_seconds = _update_round_trip(state.round_trip_seconds, seconds)
        is_changed = previous is not None and previous.versions != report.versions
        if is_new or is_changed:
            self.index.clear(engine)
            message = (
                "engine restarted with an empty cache"
                if is_new
                else "engine changed its weights versions"
            )
            log_event(Part.CACHE, message, engine=engine)

    def record_poll_failure(self, engine: EngineName, outcome: AttemptOutcome) -> None:
        """Update the health of an engine after a failed load poll."""
        with self._lock:
            self._update_health(engine, self._get_state(engine), outcome)

    def record_peer_work(self, engine: EngineName, host: HostName, work: PeerWork) -> None:
        """Record the prompt tokens of a peer's requests that wait at an engine."""
        with self._lock:
            self._get_state(engine).peer_work[host] = work

    def count_own_tokens(self, engine: EngineName) -> float:
        """Return the uncached prompt tokens of this host's requests that wait at an engine."""
        with self._lock:
            return self._get_state(engine).count_own_tokens()

    def count_own_prompt_tokens(self, engine: EngineName) -> float:
        """Return all prompt tokens of this host's requests that wait at an engine."""
        with self._lock:
            return self._get_state(engine).count_own_prompt_tokens()

    def list_versions(self, engine: EngineName, now: float) -> dict[str, str]:
        """Return the reported versions by model; an ejected engine has none."""
        with self._lock:
            state = self._get_state(engine)
            if state.health.is_ejected(now) or state.report is None:
                return {}
            return dict(state.report.versions)

    def describe(self) -> dict[str, dict[str, object]]:
        """Return the estimated state of each engine, by name."""
        now = self._read_clock()
        with self._lock:
            return {name: _describe(state, now) for name, state in sorted(self._states.items())}

    def _get_state(self, engine: EngineName) -> EngineState:
        return self._states.setdefault(engine, EngineState())

    def _update_health(
        self, engine: EngineName, state: EngineState, outcome: AttemptOutcome
    ) -> None:
        now = self._read_clock()
        previous = state.health
        state.health = update_health(previous, outcome, now)
        if state.health.ejections > previous.ejections:
            log_event(
                Part.ROUTING,
                "engine ejected",
                engine=engine,
                cause=outcome.value,
                seconds=state.health.ejected_until - now,
            )


def _has_free_slot(engine: Engine, state: EngineState, now: float) -> bool:
    slots = max(1, int(engine.slots * state.health.compute_slot_fraction(now)))
    return len(state.in_flight) < slots


def _update_round_trip(round_trip_seconds: float | None, seconds: float) -> float:
    if round_trip_seconds is None or seconds < round_trip_seconds:
        return seconds
    return round_trip_seconds + ROUND_TRIP_SMOOTHING * min(
        seconds - round_trip_seconds, round_trip_seconds
    )


def _update_speed(state: EngineState, request: InFlightRequest, usage: TokenCounts) -> None:
    if request.first_token_seconds is None:
        return
    uncached_tokens = usage.prompt_tokens - usage.cached_tokens
    seconds = request.first_token_seconds
    state.speed = update_speed(state.speed, uncached_tokens, request.tokens_ahead, seconds)


def _describe(state: EngineState, now: float) -> dict[str, object]:
    report = state.report
    return {
        "incarnation": report.incarnation if report else None,
        "versions": dict(report.versions) if report else {},
        "in_flight": len(state.in_flight),
        "own_tokens": state.count_own_tokens(),
        "other_tokens": round(state.count_other_tokens(now)),
        "tokens_per_second": round(state.speed.tokens_per_second),
        "share": round(state.health.compute_slot_fraction(now), 3),
    }
