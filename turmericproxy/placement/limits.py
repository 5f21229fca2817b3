"""Define how the registry passes on what upstreams say of their limits."""

from typing import Protocol

from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.notices import UpstreamNotice


class LimitMonitor(Protocol):
    """Follow the limits of upstreams; ``started_at`` is a start in Unix milliseconds."""

    def record_notice(
        self, instance: InstanceId, started_at: int, notice: UpstreamNotice, age: float
    ) -> None:
        """Record an answer of an upstream to a request that was sent ``age`` seconds ago."""

    def measure_call_pause(self, instance: InstanceId, started_at: int) -> float:
        """Return for how many seconds an upstream should get no poll or query of this host."""

    def record_call(self, instance: InstanceId, started_at: int, callers: int) -> None:
        """Record a poll or query; ``callers`` hosts call this upstream."""


class UnlimitedMonitor:
    """Follow no limits."""

    def record_notice(
        self, instance: InstanceId, started_at: int, notice: UpstreamNotice, age: float
    ) -> None:
        """Ignore an answer."""

    def measure_call_pause(self, instance: InstanceId, started_at: int) -> float:
        """Return no pause."""
        return 0.0

    def record_call(self, instance: InstanceId, started_at: int, callers: int) -> None:
        """Ignore a call."""
