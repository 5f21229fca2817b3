"""Set the gauges of the speeds that engines report."""

from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamRegistry


def set_speed_gauges(metrics: Metrics, registry: UpstreamRegistry) -> None:
    """Set the gauges of engines and services; without reports of a speed, none is added."""
    services = registry.list_service_speeds()
    if not services:
        return
    slowdowns = {str(report.instance): report.percent / 100 for report in registry.list_speeds()}
    metrics.set_gauges("engine_slowdown", "engine", slowdowns)
    rates = {str(name): speeds.tokens_per_second for name, speeds in services.items()}
    metrics.set_gauges("service_prefill_tokens_per_second", "service", rates)
    gaps = {str(name): speeds.event_seconds for name, speeds in services.items()}
    metrics.set_gauges("service_event_gap_seconds", "service", gaps)
