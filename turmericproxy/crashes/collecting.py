"""Collect the prompts that broke at this host, and find out which engines ended."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from turmericproxy.crashes.detection import EndDetector, EngineStatus, wait_and_probe
from turmericproxy.crashes.evidence import (
    MAX_PARTS_PER_PROMPT,
    MAX_PROMPTS_PER_REPORT,
    BrokenPrompt,
    EndReport,
    EngineStart,
)
from turmericproxy.crashes.ledger import EngineEnd
from turmericproxy.logs import Part, log_event

# Delays before the connections by which the end of an engine is noticed: its streams may end some
# time before its address refuses connections.
OWN_PROBE_DELAYS = (0.0, 0.1, 0.4)
# Delay before an engine is probed that only one other host reports as ended.
REPORTED_PROBE_DELAY_SECONDS = 0.15
# Probes of reported ends that run at the same time.
MAX_REPORTED_PROBES = 8
# Time for which broken prompts are kept while it isn't known whether their engine ended.
PENDING_SECONDS = 5.0
MAX_PENDING_ENGINES = 256
MAX_PENDING_PROMPTS = 2 * MAX_PROMPTS_PER_REPORT


@dataclass
class _PendingEnd:
    """Hold broken prompts of an engine; times are of the event loop."""

    since: float
    prompts: list[tuple[BrokenPrompt, float]] = field(default_factory=list)
    prompt_count: int = 0
    is_confirmed: bool = False
    probe: asyncio.Task[EngineStatus] | None = None


class EndCollector:
    """Hold broken prompts until it is known whether their engine ended.

    ``on_end`` is called with each engine that has ended, and ``on_report`` with the prompts that
    broke with it at this host.
    """

    def __init__(
        self,
        detector: EndDetector,
        read_clock: Callable[[], float],
        on_end: Callable[[EngineStart], None],
        on_report: Callable[[EndReport], None],
    ) -> None:
        self._detector = detector
        self._read_clock = read_clock
        self._on_end = on_end
        self._on_report = on_report
        self._pending: OrderedDict[EngineStart, _PendingEnd] = OrderedDict()
        self._tasks: set[asyncio.Task[EngineStatus]] = set()
        self._reported_probes = 0

    def record_broken(self, engine: EngineStart, prompt: BrokenPrompt) -> None:
        """Record a prompt whose answer broke off, and find out whether its engine ended."""
        if not self._detector.is_eligible(engine):
            return
        now = self._read_clock()
        pending = self._pending.get(engine)
        if pending is None:
            pending = self._pending[engine] = _PendingEnd(now)
            if len(self._pending) > MAX_PENDING_ENGINES:
                self._pending.popitem(last=False)
        pending.prompt_count += 1
        limited = prompt._replace(parts=prompt.parts[:MAX_PARTS_PER_PROMPT])
        limit = MAX_PENDING_PROMPTS if prompt.has_begun else MAX_PROMPTS_PER_REPORT
        if len(pending.prompts) < limit:
            pending.prompts.append((limited, now))
        if pending.is_confirmed:
            self._report(engine, pending)
        elif pending.probe is None or pending.probe.done():
            probe = wait_and_probe(self._detector, engine, OWN_PROBE_DELAYS)
            pending.probe = self._start_probe(engine, probe)

    async def await_end(self, engine: EngineStart) -> bool:
        """Return whether an engine on which a prompt broke has ended, as far as is known soon."""
        pending = self._pending.get(engine)
        if pending is None:
            return False
        if not pending.is_confirmed:
            status = await self._detector.probe(engine)
            self._settle(engine, status)
        return pending.is_confirmed

    def check_reported(self, end: EngineEnd) -> None:
        """Probe an engine that only one other host reports as ended."""
        if self._reported_probes >= MAX_REPORTED_PROBES:
            return
        if self._detector.read_status(end.engine) is EngineStatus.UNCLEAR:
            return
        self._reported_probes += 1
        probe = self._start_probe(end.engine, self._probe_reported(end))
        probe.add_done_callback(self._end_reported_probe)

    def review(self) -> None:
        """Look which engines were replaced meanwhile, and forget old prompts."""
        now = self._read_clock()
        for engine, pending in list(self._pending.items()):
            if now - pending.since > PENDING_SECONDS:
                del self._pending[engine]
            elif not pending.is_confirmed:
                self._settle(engine, self._detector.read_status(engine))

    def close(self) -> None:
        """Cancel the probes under way."""
        for task in list(self._tasks):
            task.cancel()

    async def _probe_reported(self, end: EngineEnd) -> EngineStatus:
        """Probe an engine unless another host reports its end, too, within a moment."""
        await asyncio.sleep(REPORTED_PROBE_DELAY_SECONDS)
        return EngineStatus.UNCLEAR if end.is_credible else await self._detector.probe(end.engine)

    def _end_reported_probe(self, _: asyncio.Task[EngineStatus]) -> None:
        self._reported_probes -= 1

    def _start_probe(
        self, engine: EngineStart, probe: Coroutine[Any, Any, EngineStatus]
    ) -> asyncio.Task[EngineStatus]:
        task = asyncio.get_running_loop().create_task(probe)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish_probe(engine, done))
        return task

    def _finish_probe(self, engine: EngineStart, task: asyncio.Task[EngineStatus]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        if error := task.exception():
            log_event(Part.ROUTING, "engine not probed", engine=engine.instance, reason=repr(error))
            return
        self._settle(engine, task.result())

    def _settle(self, engine: EngineStart, status: EngineStatus) -> None:
        """Report that an engine has ended, if that is its status."""
        if status is not EngineStatus.ENDED:
            return
        self._on_end(engine)
        pending = self._pending.get(engine)
        if pending and not pending.is_confirmed:
            pending.is_confirmed = True
            self._report(engine, pending)

    def _report(self, engine: EngineStart, pending: _PendingEnd) -> None:
        now = self._read_clock()
        aged = [p._replace(seconds=p.seconds + now - at) for p, at in pending.prompts]
        # Those that had begun say most, and are kept if there are too many.
        prompts = sorted(aged, key=lambda prompt: not prompt.has_begun)[:MAX_PROMPTS_PER_REPORT]
        report = EndReport(engine, now - pending.since, tuple(prompts), pending.prompt_count)
        pending.prompts, pending.prompt_count = [], 0
        self._on_report(report)
