"""Hold back a version of weights on which engines end before any has loaded it."""

from collections.abc import Sequence

from turmericproxy.core import ModelName
from turmericproxy.crashes.detection import EndDetector, EngineStatus
from turmericproxy.crashes.evidence import EngineStart
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState

# Engines that end while they load a version, after which one at a time is ordered to load it.
MIN_ENDED_ENGINES = 3
# Delay before the next such order, which doubles up to the longest one.
FIRST_DELAY_SECONDS = 1.0
MAX_DELAY_SECONDS = 600.0
# Time after the last announcement of a load in which the end of the engine is put down to it.
LOAD_END_SECONDS = 3.0


class VersionTrials:
    """Watch the loads of one model and version, those of other hosts too.

    A version that some engine has loaded isn't what ends the others.
    """

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._detector = EndDetector(registry)
        self._target: tuple[ModelName, int] | None = None
        self._loading: dict[EngineStart, float] = {}
        self._ended: set[EngineStart] = set()
        self._delay = FIRST_DELAY_SECONDS
        self._next_at = 0.0

    def observe(
        self, target: tuple[ModelName, int], engines: Sequence[UpstreamState], now: float
    ) -> None:
        """Record which engines load and which have ended; ``now`` is of the event loop."""
        if target != self._target:
            self._target, self._delay, self._next_at = target, FIRST_DELAY_SECONDS, 0.0
            self._loading.clear()
            self._ended.clear()
        model, version = target
        if any(state.versions.get(model, 0) >= version for state in engines):
            self._ended.clear()
            return
        for state in engines:
            if state.loading_until > now:
                self._loading[EngineStart(state.entry.instance, state.entry.started_at)] = now
        for engine, announced_at in list(self._loading.items()):
            if self.has_ended(engine):
                del self._loading[engine]
                self._record_end(engine)
            elif now > announced_at + LOAD_END_SECONDS:
                del self._loading[engine]

    def has_ended(self, engine: EngineStart) -> bool:
        """Return whether an engine is known to have ended."""
        return self._detector.read_status(engine) is EngineStatus.ENDED

    def limit_orders(self, is_loading: bool, now: float) -> int | None:
        """Return how many engines may be ordered to load now, ``None`` for no limit."""
        if len(self._ended) < MIN_ENDED_ENGINES:
            return None
        return 0 if is_loading or now < self._next_at else 1

    def record_order(self, now: float) -> None:
        """Let the next order wait if the version is held back."""
        if len(self._ended) >= MIN_ENDED_ENGINES:
            self._next_at = now + self._delay
            self._delay = min(MAX_DELAY_SECONDS, 2 * self._delay)

    def _record_end(self, engine: EngineStart) -> None:
        assert self._target is not None
        self._ended.add(engine)
        model, version = self._target
        log_event(
            Part.WEIGHTS,
            "engine ended while it loaded weights",
            engine=engine.instance,
            model=model,
            version=version,
            ended=len(self._ended),
        )
