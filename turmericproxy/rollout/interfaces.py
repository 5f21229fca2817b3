"""Say what a rollout needs of engines."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Hold what an engine says of its weights and orders.

    ``accepted_orders`` counts the orders that the engine has accepted since its start.
    """

    versions: Mapping[ModelName, int]
    is_busy: bool
    accepted_orders: int
    started_at: int


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Order an engine to load a version, if it has accepted just so many orders before."""

    instance: InstanceId
    model: ModelName
    version: int
    holder: str
    fence: int
    accepted_orders: int


class OrderAnswer(Enum):
    """Tell what an engine made of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    BUSY_OR_CONFLICT = "busy_or_moved_on"
    FENCED = "fenced"
    REJECTED = "rejected"
    NO_ANSWER = "no_answer"


class EngineControl(Protocol):
    """Ask engines for reports and give them orders."""

    async def read_report(self, address: str) -> EngineReport | str:
        """Return an engine's report, or why there is none."""

    async def order_weights(self, address: str, order: WeightsOrder) -> OrderAnswer:
        """Give an order; one without an answer may still be carried out."""


class Announcer(Protocol):
    """Tell peers of engines."""

    def announce_load(self, instance: InstanceId, seconds: float) -> None:
        """Tell that an engine loads weights for some seconds."""

    def announce_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Tell that an engine has a version."""

    def announce_superseded(self, instance: InstanceId, address: str) -> None:
        """Tell that another upstream answered at an upstream's address."""
