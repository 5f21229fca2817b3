"""Interfaces to engines and peers that a rollout uses."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.notices import NO_NOTICE, UpstreamNotice


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Represent the versions and order state that an engine reports.

    ``accepted_orders`` counts the orders accepted since the engine started.
    """

    versions: Mapping[ModelName, int]
    is_busy: bool
    accepted_orders: int
    started_at: int
    notice: UpstreamNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class ReportUnavailable:
    """Represent a report that could not be read, and what the engine announced, if it answered."""

    reason: str
    notice: UpstreamNotice | None = None


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Represent an order to load a version, valid only for this count of accepted orders."""

    instance: InstanceId
    model: ModelName
    version: int
    holder: str
    fence: int
    accepted_orders: int


class OrderAnswer(Enum):
    """List the results of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    BUSY_OR_CONFLICT = "busy_or_moved_on"
    FENCED = "fenced"
    REJECTED = "rejected"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Represent the answer to an order, and what the engine announces about itself."""

    answer: OrderAnswer
    notice: UpstreamNotice | None = None


class EngineControl(Protocol):
    """Read reports of engines and send them orders."""

    async def read_report(self, address: str) -> EngineReport | ReportUnavailable:
        """Return an engine's report, or the reason why it could not be read."""

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderResult:
        """Send an order; without an answer the engine may still execute it."""


class Announcer(Protocol):
    """Send changes of engines to peers."""

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        """Announce that an engine is expected to load weights for some seconds."""

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Announce the version that an engine has loaded."""

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        """Announce that another upstream has replaced this one at its address."""
