"""Render metrics in the Prometheus text format."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from turmericproxy.metrics.registry import Metrics

MetricFamily = CounterMetricFamily | GaugeMetricFamily


def render_text(metrics: Metrics) -> str:
    """Return all metrics of a host in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry).decode()


class _MetricsCollector(Collector):
    """Convert the metrics of one host to Prometheus metric families."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[MetricFamily]:
        """Return the current metric families."""
        families: dict[str, MetricFamily] = {}
        for (name, labels), value in self._metrics.list_counters().items():
            family = families.setdefault(
                name,
                CounterMetricFamily(
                    f"turmericproxy_{name}", f"Count of {name}.", labels=[k for k, _ in labels]
                ),
            )
            family.add_metric([v for _, v in labels], value)
        for name, summary in self._metrics.list_latencies().items():
            gauge = GaugeMetricFamily(
                f"turmericproxy_{name}_seconds", f"Quantiles of {name}.", labels=["quantile"]
            )
            for quantile, seconds in summary:
                gauge.add_metric([quantile], seconds)
            families[f"{name}_seconds"] = gauge
        for name, (label, values) in self._metrics.list_gauges().items():
            current = GaugeMetricFamily(
                f"turmericproxy_{name}", f"Current values of {name}.", labels=[label]
            )
            for label_value, level in values.items():
                current.add_metric([label_value], level)
            families[name] = current
        return families.values()
