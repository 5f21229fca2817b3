"""Name what the decisions of a host are based on."""

from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.crashes.controller import CrashController
from turmericproxy.fleet.quotas import QuotaController
from turmericproxy.limits.controller import LimitController
from turmericproxy.placement.domains import DomainMonitor
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.traffic.dispatching import Dispatcher
from turmericproxy.traffic.site import Site


@dataclass(frozen=True)
class DecisionState:
    """Name what the decisions of a host are based on.

    ``dispatcher`` is the one that places the requests of callers.
    """

    registry: UpstreamRegistry
    wanted: WantedVersions
    domains: DomainMonitor
    domain: str
    version_seconds: float
    read_clock: Callable[[], float]
    crashes: CrashController
    limits: LimitController
    quotas: QuotaController
    dispatcher: Dispatcher
    is_kept_store_reachable: Callable[[], bool]
    get_site: Callable[[], Site | None]
    measure_site_age: Callable[[], float | None]
