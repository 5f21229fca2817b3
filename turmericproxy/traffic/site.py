"""Configuration of routes, services and client accounts, as one immutable version."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from turmericproxy.core import AccountName, ModelName, Revision, RouteName
from turmericproxy.core.ids import ServiceName
from turmericproxy.edge import EdgeLimits


class Repeatability(Enum):
    """Whether requests of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to a service."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds, priority 0 is the most urgent.

    A resumable stream may be continued at another upstream after any event.
    """

    name: RouteName
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    is_stream: bool
    is_resumable: bool
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int
    is_public: bool
    target_event_gap: float

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.is_stream:
            return self.is_resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all engines of a service share.

    ``capacity_tokens`` is the size of the KV cache of an engine and ``bytes_per_token`` the size of
    one token in it; ``link_bytes_per_second`` is the bandwidth for transfers of KV cache.
    """

    slots: int
    capacity_tokens: int
    bytes_per_token: int
    link_bytes_per_second: float
    models: tuple[ModelName, ...]


@dataclass(frozen=True, slots=True)
class KeptStore:
    """Address and capacity of the store that keeps KV cache outside the engines."""

    address: str
    domain: str
    link_bytes_per_second: float
    capacity_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams; plain ones have no ``engine`` traits."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; ``rate`` (per second) and ``burst`` are in its unit, rate 0 means no limit.

    The unit is tokens or requests. Where tokens are counted, requests without token counts are
    charged ``default_cost``.
    """

    name: AccountName
    keys: tuple[str, ...]
    priority: int | None
    is_counted_in_tokens: bool
    default_cost: int
    is_isolated: bool
    rate: float
    burst: float


@dataclass(frozen=True)
class Site:
    """One version of the configuration, with lookup of routes and accounts."""

    revision: Revision
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    accounts: tuple[Account, ...]
    limits: EdgeLimits
    kept_store: KeptStore | None
    _routes_by_host: Mapping[str, Sequence[Route]] = field(init=False, repr=False)
    _accounts_by_key: Mapping[str, Account] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_routes_by_host", by_host)
        by_key = {key: account for account in self.accounts for key in account.keys}
        object.__setattr__(self, "_accounts_by_key", by_key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that a key belongs to."""
        return self._accounts_by_key.get(key)


def choose_service(route: Route, position: float) -> ServiceName:
    """Return the service at a position from 0 to 1 in the cumulative weights of the route."""
    remaining = position * sum(share.weight for share in route.shares)
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
