"""Hold what a host knows of each engine's work."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from turmericproxy.cache.index import Lookup
from turmericproxy.core import HostName, Incarnation, RequestId
from turmericproxy.routing.health import Health
from turmericproxy.routing.speed import Speed

PEER_WORK_LIFETIME = 2.0
FIRST_MISS_SHARE = 0.5
MISS_SMOOTHING = 0.05


@dataclass(frozen=True)
class LoadReport:
    """Hold an engine's lagged report of its load, as received at a boot time in seconds.

    ``queued_tokens`` counts the whole prompts of waiting requests, cached or not, those of this
    host's ``own_prompt_tokens`` included.
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
    """Hold the tokens that a peer's requests still wait for at an engine."""

    tokens: float
    received_at: float


@dataclass
class PendingWork:
    """Hold an own request from its dispatch to its end."""

    prompt_tokens: int
    missing_tokens: int
    ahead_tokens: float
    dispatched_at: float
    lookups: tuple[Lookup, ...] = ()
    import_seconds: float = 0.0
    first_piece_seconds: float | None = None


@dataclass
class EngineState:
    """Gather the load, speed, health and own requests of one engine."""

    report: LoadReport | None = None
    speed: Speed = Speed()
    health: Health = Health()
    distance: float | None = None
    miss_share: float = FIRST_MISS_SHARE
    in_flight: dict[RequestId, PendingWork] = field(default_factory=dict)
    peer_work: dict[HostName, PeerWork] = field(default_factory=dict)

    def count_requests(self) -> int:
        """Return the requests at the engine: own ones, or more if it reports more."""
        reported = self.report.running + self.report.queued if self.report else 0
        return max(len(self.in_flight), reported)

    def count_own_tokens(self) -> float:
        """Return the tokens of own requests that wait for their first piece."""
        return float(
            sum(
                work.missing_tokens
                for work in self.in_flight.values()
                if work.first_piece_seconds is None
            )
        )

    def count_own_prompt_tokens(self) -> float:
        """Return the whole prompts of own requests that wait for their first piece."""
        works = self.in_flight.values()
        return float(sum(w.prompt_tokens for w in works if w.first_piece_seconds is None))

    def learn_miss_share(self, prompt_tokens: int, cached_tokens: int) -> None:
        """Learn which part of a prompt the engine has to compute."""
        share = 1 - cached_tokens / max(1, prompt_tokens)
        self.miss_share += MISS_SMOOTHING * (share - self.miss_share)

    def count_other_tokens(self, now: float) -> float:
        """Return the tokens that other hosts' requests are expected to wait for."""
        told = sum(
            work.tokens
            for work in self.peer_work.values()
            if now - work.received_at < PEER_WORK_LIFETIME
        )
        return max(told, self._count_reported_tokens(now))

    def _count_reported_tokens(self, now: float) -> float:
        if self.report is None:
            return 0.0
        prompts = self.report.queued_tokens - self.report.own_prompt_tokens
        done = (now - self.report.received_at) * self.speed.tokens_per_second
        return max(0.0, prompts * self.miss_share - done)
