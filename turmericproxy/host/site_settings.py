"""Hold the settings of a host that takes its configuration from a table store."""

from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.fleet.quotas import QuotaTolerance


@dataclass(frozen=True, slots=True)
class SiteHostSettings:
    """Hold addresses as IP:PORT and bounds in seconds.

    ``order_guard`` is the time between the orders of two holders to one engine and
    ``version_seconds`` the time in which all engines take named weights. ``retry_share`` and
    ``retry_reserve`` bound repeats over all hosts: a share of the requests and a number besides.
    ``grace`` is the time between SIGTERM and the end, ``quota_tolerance`` the users' allowance for
    counting over all hosts. ``link_mbps`` is the width of the machine's link; hosts with wide ones
    pass on what others tell.
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

    def __post_init__(self) -> None:
        if min(self.order_guard, self.version_seconds, self.grace) <= 0:
            raise ValueError("bounds in seconds must be positive")
        if min(self.retry_share, self.retry_reserve, self.link_mbps) < 0:
            raise ValueError("bounds of retries and the width of the link must not be negative")
