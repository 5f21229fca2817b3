"""Counters and latency histograms."""

from turmericproxy.metrics.registry import Metrics

__all__ = ["Metrics"]
