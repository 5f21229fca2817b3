"""Read the reports of engines."""

import asyncio

from turmericproxy.core.ids import InstanceId
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.interfaces import EngineControl, EngineReport, ReportUnavailable


async def read_engine_report(
    control: EngineControl, registry: UpstreamRegistry, instance: InstanceId, address: str
) -> EngineReport | None:
    """Return the report of the engine at an address, or ``None`` if it can't be read.

    What the engine announces about itself is recorded for ``instance``.
    """
    clock = asyncio.get_running_loop().time
    sent_at = clock()
    registry.record_call(instance)
    report = await control.read_report(address)
    started_at = report.started_at if isinstance(report, EngineReport) else None
    registry.record_notice(instance, report.notice, clock(), sent_at=sent_at, started_at=started_at)
    if isinstance(report, ReportUnavailable):
        log_event(Part.WEIGHTS, "engine report unavailable", engine=instance, reason=report.reason)
        return None
    return report
