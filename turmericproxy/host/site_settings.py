"""Settings of a host that reads its configuration from a table store."""

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from turmericproxy.core import HostName
from turmericproxy.edge.resources import UNREAD_ANSWER_SECONDS, read_descriptor_limit
from turmericproxy.fleet.incoming import INTRODUCTION_SECONDS
from turmericproxy.fleet.quotas import QuotaTolerance

if TYPE_CHECKING:
    from turmericproxy.admission.ceilings import Ceiling
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
    batches of others. A process that exceeds ``memory_mb``, in MB, is ended; one that has
    ``max_descriptors`` open gets no more, of which ``client_connections`` may be connections of
    clients and ``incoming_links`` those of other hosts. An answer of which nothing is read for
    ``unread_seconds`` ends its connection, a stream that has not introduced its host within
    ``introduction_seconds`` is closed. With ``has_admission_control``, requests that can't be
    answered in time under load are refused, and those beyond ``ceilings``. ``releases`` bounds
    rollouts of software; ``None`` means that orders for them are ignored.
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
    max_descriptors: float = field(default_factory=read_descriptor_limit)
    client_connections: float = 0
    incoming_links: float = 0
    unread_seconds: float = UNREAD_ANSWER_SECONDS
    introduction_seconds: float = INTRODUCTION_SECONDS
    has_admission_control: bool = False
    releases: "ReleaseBounds | None" = None
    ceilings: "tuple[Ceiling, ...]" = ()

    def __post_init__(self) -> None:
        if min(self.order_guard, self.version_seconds, self.grace) <= 0:
            raise ValueError("order_guard, version_seconds and grace must be positive")
        if min(self.retry_share, self.retry_reserve, self.link_mbps) < 0:
            raise ValueError("retry_share, retry_reserve and link_mbps must not be negative")
        if self.memory_mb <= 0:
            raise ValueError("memory_mb must be positive")
        if min(self.max_descriptors, self.unread_seconds, self.introduction_seconds) <= 0:
            raise ValueError(
                "max_descriptors, unread_seconds and introduction_seconds must be positive"
            )
        if min(self.client_connections, self.incoming_links) < 0:
            raise ValueError("client_connections and incoming_links must not be negative")
