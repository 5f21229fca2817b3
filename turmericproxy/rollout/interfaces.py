"""Interfaces to engines and peers that a rollout uses."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Represent the versions and order state that an engine reports.

    ``accepted_orders`` counts the orders accepted since the engine started.
    """

    versions: Mapping[ModelName, int]
    is_busy: bool
    accepted_orders: int
    started_at: int


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


class EngineControl(Protocol):
    """Read reports of engines and send them orders."""

    async def read_report(self, address: str) -> EngineReport | str:
        """Return an engine's report, or the reason why it could not be read."""

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderAnswer:
        """Send an order; without an answer the engine may still execute it."""


class Announcer(Protocol):
    """Send changes of engines to peers."""

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        """Announce that an engine is expected to load weights for some seconds."""

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Announce the version that an engine has loaded."""

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        """Announce that another upstream has replaced this one at its address."""
