"""Describe an engine, as a host sees it at one moment, by an immutable value."""

from dataclasses import dataclass

from turmericproxy.core import DomainName, EngineName


@dataclass(frozen=True)
class EngineView:
    """Hold what a choice for one request rests on; times are in seconds.

    ``chances`` holds for each block of the request the chance that it and all before it are
    cached. ``version`` is the weights version that the engine reports for the model, or
    ``None`` before its first report.
    """

    engine: EngineName
    address: str
    domain: DomainName
    version: str | None
    is_ejected: bool
    has_room: bool
    requests: int
    own_tokens: float
    other_tokens: float
    tokens_per_second: float
    overhead: float
    distance: float
    chances: tuple[float, ...] = ()


@dataclass(frozen=True)
class Candidate:
    """Hold the terms by which an engine is compared for one request; times are in seconds."""

    view: EngineView
    queue_seconds: float
    import_seconds: float
    compute_seconds: float
    cached_blocks: int
    missing_tokens: int
    imports: range

    @property
    def expected_seconds(self) -> float:
        """Return the expected time to the first token; the queue moves on during an import."""
        fixed = self.view.overhead + self.view.distance
        return max(self.queue_seconds, self.import_seconds) + self.compute_seconds + fixed
