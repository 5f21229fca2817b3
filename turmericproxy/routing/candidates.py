"""Describe the engines that could take a request."""

from dataclasses import dataclass

from turmericproxy.core import DomainName, EngineName


@dataclass(frozen=True)
class Candidate:
    """Hold the terms by which an engine is compared for one request; times are in seconds."""

    engine: EngineName
    address: str
    domain: DomainName
    queue_seconds: float
    compute_seconds: float
    distance_seconds: float
    overhead_seconds: float
    cached_blocks: int
    missing_tokens: int
    requests: int

    @property
    def expected_seconds(self) -> float:
        """Return the expected time to the first token."""
        return (
            self.queue_seconds
            + self.compute_seconds
            + self.distance_seconds
            + self.overhead_seconds
        )
