"""Thread-safe counters and latency histograms, and their text rendering."""

import threading
from collections import Counter
from collections.abc import Mapping

from hdrh.histogram import HdrHistogram

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)

CounterKey = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """Counters and latencies of one host.

    >>> metrics = Metrics()
    >>> metrics.count("requests", result="ok")
    >>> "turmericproxy_requests_total" in metrics.render_text()
    True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[CounterKey] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, tuple[str, dict[str, float]]] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to the counter with this name and these labels."""
        with self._lock:
            self._counters[(name, tuple(sorted(labels.items())))] += amount

    def set_gauges(self, name: str, label: str, values: Mapping[str, float]) -> None:
        """Replace the values of a gauge, one for each value of a label."""
        with self._lock:
            self._gauges[name] = (label, dict(values))

    def list_gauges(self) -> dict[str, tuple[str, dict[str, float]]]:
        """Return the label and the values of each gauge, by name."""
        with self._lock:
            return dict(self._gauges)

    def record_latency(self, name: str, seconds: float) -> None:
        """Add one duration to the latency histogram with this name."""
        value = min(max(int(seconds * 1e6), MIN_MICROSECONDS), MAX_MICROSECONDS)
        with self._lock:
            histogram = self._latencies.get(name)
            if histogram is None:
                histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
                self._latencies[name] = histogram
            histogram.record_value(value)

    def render_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        # Imported on first use: importing prometheus_client takes longer than the rest of a host's
        # start.
        from turmericproxy.metrics.text import render_text

        return render_text(self)

    def list_counters(self) -> dict[CounterKey, int]:
        """Return the current counters, by name and labels."""
        with self._lock:
            return dict(self._counters)

    def list_latencies(self) -> dict[str, tuple[tuple[str, float], ...]]:
        """Return the current quantiles of each latency, in seconds; quantile 1 is the maximum."""
        with self._lock:
            return {name: _summarize(h) for name, h in self._latencies.items()}


def _summarize(histogram: HdrHistogram) -> tuple[tuple[str, float], ...]:
    quantiles = [(f"{q / 100:g}", histogram.get_value_at_percentile(q) / 1e6) for q in QUANTILES]
    return (*quantiles, ("1", histogram.get_max_value() / 1e6))
