"""Describe a local cluster: its hosts, engines, services and resources."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Options = Mapping[str, Any]


@dataclass(frozen=True)
class HostPlan:
    """Describe a host; ``settings`` are merged into its settings file."""

    name: str
    domain: str
    settings: Options = field(default_factory=dict)


@dataclass(frozen=True)
class EnginePlan:
    """Describe an engine stand-in; ``resource`` has additional fields of its resource."""

    name: str
    domain: str
    models: Mapping[str, str] = field(default_factory=lambda: {"verdict": "1"})
    options: Options = field(default_factory=dict)
    resource: Options = field(default_factory=dict)


@dataclass(frozen=True)
class ServicePlan:
    """Describe a plain service stand-in."""

    name: str
    domain: str
    options: Options = field(default_factory=dict)


@dataclass(frozen=True)
class AccountPlan:
    """Describe a client account; it gets one key."""

    name: str
    rate: float = 100_000.0
    burst: int = 1_000_000


@dataclass(frozen=True)
class RoutePlan:
    """Describe a plain route; ``fields`` has additional fields of its resource."""

    name: str
    upstreams: tuple[str, ...]
    fields: Options = field(default_factory=dict)


@dataclass(frozen=True)
class ClusterPlan:
    """Describe a whole cluster; with ``relays`` all connections go through a relay."""

    hosts: tuple[HostPlan, ...]
    engines: tuple[EnginePlan, ...] = ()
    services: tuple[ServicePlan, ...] = ()
    accounts: tuple[AccountPlan, ...] = (AccountPlan("afinaciones"),)
    routes: tuple[RoutePlan, ...] = ()
    relays: bool = False
    platform_options: Options = field(default_factory=dict)

    def list_models(self) -> dict[str, str]:
        """Return the initial version of each model."""
        return {name: version for plan in self.engines for name, version in plan.models.items()}


def create_small_plan(**changes: Any) -> ClusterPlan:
    """Return a plan of two hosts in two failure domains, three engines and one booking service."""
    base: dict[str, Any] = {
        "hosts": (HostPlan("host-a", "north"), HostPlan("host-b", "south")),
        "engines": (
            EnginePlan("engine-1", "north"),
            EnginePlan("engine-2", "north"),
            EnginePlan("engine-3", "south"),
        ),
        "services": (ServicePlan("booking-1", "north"),),
        "routes": (RoutePlan("bookings", ("booking-1",)),),
    }
    return ClusterPlan(**{**base, **changes})
