"""Keep counters and latency histograms and write them as text."""

import threading
from collections import Counter

from hdrh.histogram import HdrHistogram

SMALLEST_MICROSECONDS = 1
LARGEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)

CounterKey = tuple[str, tuple[tuple[str, str], ...]]


class Metrics:
    """Record what happens on one host.

    >>> metrics = Metrics()
    >>> metrics.count("requests", result="ok")
    >>> "turmericproxy_requests_total" in metrics.render_text()
    True
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[CounterKey] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

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

    def render_text(self) -> str:
        """Return all metrics in the text exposition format."""
        # The writer takes longer to import than a host takes to start without it.
        from turmericproxy.metrics.text import render_text

        return render_text(self)

    def list_counters(self) -> dict[CounterKey, int]:
        """Return the counters as of now, by name and labels."""
        with self._lock:
            return dict(self._counters)

    def list_latencies(self) -> dict[str, tuple[tuple[str, float], ...]]:
        """Return the quantiles of each latency as of now, in seconds."""
        with self._lock:
            return {name: _summarize(h) for name, h in self._latencies.items()}


def _summarize(histogram: HdrHistogram) -> tuple[tuple[str, float], ...]:
    quantiles = [(f"{q / 100:g}", histogram.get_value_at_percentile(q) / 1e6) for q in QUANTILES]
    return (*quantiles, ("1", histogram.get_max_value() / 1e6))
