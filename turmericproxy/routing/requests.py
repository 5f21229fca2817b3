"""Define routing requests, the resulting choices and the outcomes of attempts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Protocol

from turmericproxy.core import (
    AccountName,
    DomainName,
    EngineName,
    ModelName,
    RequestId,
    UpstreamName,
)

_NO_TERMS: Mapping[str, float] = MappingProxyType({})


class AttemptOutcome(Enum):
    """Classify how an attempt at an upstream ended.

    ``MISMATCHED`` means that the answer belonged to another request.
    """

    DONE = "done"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    FAILED = "failed"
    WRONG_VERSION = "wrong_version"
    MISMATCHED = "crossed"

    @property
    def is_fault(self) -> bool:
        """Return whether the outcome counts against the health of the upstream."""
        return self not in (
            AttemptOutcome.DONE,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.WRONG_VERSION,
        )


class TokenCounts(Protocol):
    """Provide the prompt token counts that an engine reports with a complete answer."""

    @property
    def prompt_tokens(self) -> int:
        """Return the number of tokens in the prompt."""

    @property
    def cached_tokens(self) -> int:
        """Return the number of prompt tokens that were cached."""


@dataclass(frozen=True)
class Usage:
    """Count the tokens of a request and its answer as the engine reported them."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True)
class RoutingRequest:
    """Describe a request to a model; ``deadline`` is a boot time in seconds for its first token.

    With ``needs_healthy``, no ejected engine is tried when all are ejected.
    """

    request_id: RequestId
    account: AccountName
    model: ModelName
    version: str
    blocks: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    deadline: float
    excluded: frozenset[EngineName] = frozenset()
    needs_healthy: bool = False


@dataclass(frozen=True)
class EngineChoice:
    """Name the engine chosen for an attempt, with the terms of its score in seconds.

    ``imports`` are the indexes of the blocks that the engine imports before the attempt.
    """

    request: RoutingRequest
    engine: EngineName
    address: str
    version: str
    expected_seconds: float
    cached_blocks: int
    uncached_tokens: int
    priority: int
    imports: range = range(0)
    terms: Mapping[str, float] = field(default_factory=lambda: _NO_TERMS)


@dataclass(frozen=True)
class UpstreamChoice:
    """Name the plain service chosen for a call."""

    upstream: UpstreamName
    address: str
    domain: DomainName
