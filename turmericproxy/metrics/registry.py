"""Keep counters and latency histograms and write them as text."""

import threading
from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

SMALLEST_MICROSECONDS = 1
LARGEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)

MetricFamily = CounterMetricFamily | GaugeMetricFamily


class Metrics:
    """Record what happens on one host.

    >>> metrics = Metrics()
    >>> metrics.count("requests", result="ok")
    >>> "turmericproxy_requests_total" in metrics.write_text()
    True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._registry = CollectorRegistry()
        self._registry.register(_MetricsCollector(self))

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        with self._lock:
            self._counters[(name, tuple(sorted(labels.items())))] += amount

    def record_latency(self, name: str, seconds: float) -> None:
        """Record one duration."""
        value = min(max(int(seconds * 1e6), SMALLEST_MICROSECONDS), LARGEST_MICROSECONDS)
        with self._lock:
            histogram = self._latencies.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    SMALLEST_MICROSECONDS, LARGEST_MICROSECONDS, SIGNIFICANT_DIGITS
                )
                self._latencies[name] = histogram
            histogram.record_value(value)

    def write_text(self) -> str:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry).decode()

    def collect(self) -> Iterable[MetricFamily]:
        """Return the metric families as of now."""
        with self._lock:
            counters = dict(self._counters)
            latencies = {name: _summarize(h) for name, h in self._latencies.items()}
        families: dict[str, MetricFamily] = {}
        for (name, labels), value in counters.items():
            family = families.setdefault(
                name,
                CounterMetricFamily(
                    f"turmericproxy_{name}", f"Count of {name}.", labels=[k for k, _ in labels]
                ),
            )
            family.add_metric([v for _, v in labels], value)
        for name, summary in latencies.items():
            gauge = GaugeMetricFamily(
                f"turmericproxy_{name}_seconds", f"Quantiles of {name}.", labels=["quantile"]
            )
            for quantile, seconds in summary:
                gauge.add_metric([quantile], seconds)
            families[f"{name}_seconds"] = gauge
        return families.values()


def _summarize(histogram: HdrHistogram) -> tuple[tuple[str, float], ...]:
    quantiles = [(f"{q / 100:g}", histogram.get_value_at_percentile(q) / 1e6) for q in QUANTILES]
    return (*quantiles, ("1", histogram.get_max_value() / 1e6))


class _MetricsCollector(Collector):
    """Hand the metrics of one host to the text writer."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[MetricFamily]:
        return self._metrics.collect()
