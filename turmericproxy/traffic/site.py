"""Hold the routes, services and client accounts of a site, as one immutable version."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from turmericproxy.core import AccountName, ModelName, Revision, RouteName
from turmericproxy.core.ids import ServiceName
from turmericproxy.edge import EdgeLimits


class Repeatability(Enum):
    """Tell what may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one route; times are in seconds, priority 0 is the most urgent.

    ``is_resumable`` holds for streams that may go on at another upstream after an event.
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
        """Return whether a request may run a second time."""
        if self.is_stream:
            return self.is_resumable
        return self.repeatability is Repeatability.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Hold what all engines of a service have in common.

    ``link_bytes_per_second`` bounds transfers of KV cache.
    """

    slots: int
    capacity_tokens: int
    bytes_per_token: int
    link_bytes_per_second: float
    models: tuple[ModelName, ...]


@dataclass(frozen=True, slots=True)
class KeptStore:
    """Say where KV cache is kept beside the engines."""

    address: str
    domain: str
    link_bytes_per_second: float
    capacity_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """Hold a group of upstreams that serve the same requests."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """Hold a client account; rate (a second) and burst are in tokens, 0 means no limit.

    Requests that tell no token counts are charged ``default_cost``.
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
    """Hold one version of the configuration and find what belongs to a request."""

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
        """Return the route of a host with the longest prefix that begins the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts_by_key.get(key)


def choose_service(route: Route, point: float) -> ServiceName:
    """Return the service at a point from 0 to 1 on the line of the route's shares."""
    left = point * sum(share.weight for share in route.shares)
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
