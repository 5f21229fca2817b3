"""Define immutable snapshots of an engine's state, as one host estimates it."""

from dataclasses import dataclass

from turmericproxy.core import DomainName, EngineName


@dataclass(frozen=True)
class EngineView:
    """Describe an engine at the time of one request; times are in seconds.

    ``hit_probabilities`` holds for each block of the request the probability that it and all
    earlier blocks are cached. ``version`` is the weights version that the engine reports for the
    model, or ``None`` before its first report.
    """

    engine: EngineName
    address: str
    domain: DomainName
    version: str | None
    is_ejected: bool
    has_free_slot: bool
    requests: int
    own_tokens: float
    other_tokens: float
    tokens_per_second: float
    overhead_seconds: float
    round_trip_seconds: float
    hit_probabilities: tuple[float, ...] = ()


@dataclass(frozen=True)
class Candidate:
    """Describe the expected cost of one request at an engine; times are in seconds.

    ``imports`` are the indexes of the blocks to import first.
    """

    view: EngineView
    queue_seconds: float
    import_seconds: float
    compute_seconds: float
    cached_blocks: int
    uncached_tokens: int
    imports: range

    @property
    def expected_seconds(self) -> float:
        """Return the expected time to the first token; the queue advances during an import."""
        fixed = self.view.overhead_seconds + self.view.round_trip_seconds
        return max(self.queue_seconds, self.import_seconds) + self.compute_seconds + fixed
