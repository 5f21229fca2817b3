"""Settings of a host that reads its configuration from a table store."""

import math
from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.fleet.quotas import QuotaTolerance
from turmericproxy.releases.orders import ReleaseBounds


@dataclass(frozen=True, slots=True)
class SiteHostSettings:
    """Addresses as IP:PORT and time limits in seconds.

    ``order_guard`` is the minimum time between the load orders of two lease holders to one engine
    and ``version_seconds`` the time within which all engines must load a requested model version.
    ``retry_share`` and ``retry_reserve`` limit the retries of all hosts together to a fraction of
    the requests plus a fixed number. ``grace`` is the time from SIGTERM to the end of the process,
    ``quota_tolerance`` the excess that users allow because hosts count separately. ``link_mbps`` is
    the bandwidth of the machine's network link in Mbit/s; hosts with high bandwidth relay the
    batches of others. A process that exceeds ``memory_mb``, in MB, is ended.
    ``releases`` bounds rollouts of software; ``None`` means that orders for them are ignored.
    """

    host: HostName
    domain: str
    callers: str
    readiness: str
    links: str
    metrics: str
    store: str
    is_first_start: bool
    order_guard: float
    version_seconds: float
    retry_share: float
    retry_reserve: float
    grace: float
    quota_tolerance: QuotaTolerance
    link_mbps: int = 0
    memory_mb: float = math.inf
    releases: ReleaseBounds | None = None

    def __post_init__(self) -> None:
        if min(self.order_guard, self.version_seconds, self.grace) <= 0:
            raise ValueError("order_guard, version_seconds and grace must be positive")
        if min(self.retry_share, self.retry_reserve, self.link_mbps) < 0:
            raise ValueError("retry_share, retry_reserve and link_mbps must not be negative")
        if self.memory_mb <= 0:
            raise ValueError("memory_mb must be positive")
