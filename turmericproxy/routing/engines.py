"""Track the load, speed and health of each engine as one host estimates them."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericproxy.cache.index import Lookup
from turmericproxy.core import HostName, Incarnation, RequestId
from turmericproxy.routing.health import Health
from turmericproxy.routing.speed import PrefillSpeed

PEER_WORK_LIFETIME_SECONDS = 2.0
INITIAL_MISS_RATIO = 0.5
MISS_RATIO_SMOOTHING = 0.05


@dataclass(frozen=True)
class LoadReport:
    """Represent the load that an engine reported, received at a boot time in seconds.

    Reports lag behind the engine's state. ``queued_tokens`` counts the whole prompts of queued
    requests, cached or not, including the ``own_prompt_tokens`` of this host's requests.
    """

    incarnation: Incarnation
    running: int
    queued: int
    queued_tokens: int
    versions: Mapping[str, str]
    received_at: float
    own_prompt_tokens: float = 0.0
    capacity_blocks: int = 0


@dataclass(frozen=True)
class PeerWork:
    """Count the prompt tokens of a peer's requests that an engine has not yet computed."""

    tokens: float
    received_at: float


@dataclass
class InFlightRequest:
    """Track a request of this host from its dispatch to its end.

    ``tokens_ahead`` counts the prompt tokens that the engine had to compute first, as far as
    this host knew at the dispatch. ``first_token_seconds`` excludes the import.
    """

    prompt_tokens: int
    uncached_tokens: int
    tokens_ahead: float
    dispatched_at: float
    lookups: tuple[Lookup, ...] = ()
    import_seconds: float = 0.0
    first_token_seconds: float | None = None


@dataclass
class EngineState:
    """Store the load, speed, health and in-flight requests of one engine.

    ``round_trip_seconds`` is ``None`` before the first report. ``miss_ratio`` is the average
    fraction of a prompt that the engine has to compute.
    """

    report: LoadReport | None = None
    speed: PrefillSpeed = PrefillSpeed()
    health: Health = Health()
    round_trip_seconds: float | None = None
    miss_ratio: float = INITIAL_MISS_RATIO
    in_flight: dict[RequestId, InFlightRequest] = field(default_factory=dict)
    peer_work: dict[HostName, PeerWork] = field(default_factory=dict)

    def count_requests(self) -> int:
        """Return this host's requests at the engine, or the reported number if it is larger."""
        reported = self.report.running + self.report.queued if self.report else 0
        return max(len(self.in_flight), reported)

    def count_own_tokens(self) -> float:
        """Return the uncached prompt tokens of this host's requests without a first token."""
        return float(
            sum(
                request.uncached_tokens
                for request in self.in_flight.values()
                if request.first_token_seconds is None
            )
        )

    def count_own_prompt_tokens(self) -> float:
        """Return all prompt tokens of this host's requests without a first token."""
        requests = self.in_flight.values()
        return float(sum(r.prompt_tokens for r in requests if r.first_token_seconds is None))

    def update_miss_ratio(self, prompt_tokens: int, cached_tokens: int) -> None:
        """Update the average fraction of a prompt that the engine has to compute."""
        ratio = 1 - cached_tokens / max(1, prompt_tokens)
        self.miss_ratio += MISS_RATIO_SMOOTHING * (ratio - self.miss_ratio)

    def count_other_tokens(self, now: float) -> float:
        """Return the estimated prompt tokens of other hosts' requests still to be computed."""
        sent_by_peers = sum(
            work.tokens
            for work in self.peer_work.values()
            if now - work.received_at < PEER_WORK_LIFETIME_SECONDS
        )
        return max(sent_by_peers, self._estimate_reported_tokens(now))

    def _estimate_reported_tokens(self, now: float) -> float:
        if self.report is None:
            return 0.0
        prompt_tokens = self.report.queued_tokens - self.report.own_prompt_tokens
        computed = (now - self.report.received_at) * self.speed.tokens_per_second
        return max(0.0, prompt_tokens * self.miss_ratio - computed)
