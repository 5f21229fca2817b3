"""Count events and record latencies."""

from turmericproxy.metrics.registry import Metrics

__all__ = ["Metrics"]
