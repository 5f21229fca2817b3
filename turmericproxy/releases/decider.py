"""Decide on orders while this host holds the lease, and keep the decisions in the store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from turmericproxy.core import HostName
from turmericproxy.core.ids import ServiceName
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.releases.controller import HOST_EXPIRY_SECONDS, Release, ReleaseController
from turmericproxy.releases.exposure import is_exposure_used, limit_share
from turmericproxy.releases.orders import (
    ReleaseBounds,
    ReleasePhase,
    ReleaseState,
    ReleaseStatus,
    begin_order,
    read_state,
    write_state,
)
from turmericproxy.releases.samples import Totals, subtract_totals
from turmericproxy.releases.verdict import (
    Decision,
    Evidence,
    Verdict,
    count_new_answers,
    count_new_failures,
    decide,
)
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.store import TableState, TableStore
from turmericproxy.tables.messages import Committed, Condition, Row, Transaction, Write
from turmericproxy.tasks import repeat

RELEASE_TABLE = "releases"
LEASE_TABLE = "release_leases"
LEASE_KEY = "decider"
# Minimum time between the decisions of two holders of the lease. Each decision is also written on
# condition that the row is the one that was read, so this only spares needless conflicts.
LEASE_GUARD_SECONDS = 0.3
# Interval between two decisions on an order.
CHECK_SECONDS = 0.2
# Interval between two messages by which the other hosts know that the decider runs: four of them
# within the time after which they stop sending to the new version.
NOTICE_SECONDS = 0.4
# Time without a message of a decider after which the first host stands in, and for which each
# further one waits for the one before it.
STANDBY_SECONDS = 1.0
# Window of the newest answers, in which a version that turns bad later shows soon.
RECENT_SECONDS = 5.0
# Interval between two writes of an unchanged status, so that operators see the counts grow.
STATUS_SECONDS = 5.0

STATES_AFTER = {
    Decision.FINISH: ReleasePhase.FINISHING,
    Decision.COMPLETE: ReleasePhase.COMPLETED,
    Decision.ROLL_BACK: ReleasePhase.ROLLED_BACK,
}


@dataclass
class _OrderProgress:
    """Hold what the decider needs of one order: its row, and counts at earlier times."""

    row_version: int | None = None
    written: ReleaseState | None = None
    stepped: ReleaseState | None = None
    step_totals: Totals = field(default_factory=dict)
    strata: tuple[Totals, ...] = ()
    recent: list[tuple[float, Totals]] = field(default_factory=list)
    totals: Totals = field(default_factory=dict)
    noticed_at: float = 0.0
    status_at: float = 0.0
    logged: str = ""


class ReleaseDecider:
    """Run decisions on all orders; ``read_clock`` counts suspended time too, in seconds.

    ``list_reachable`` and ``list_recent`` return the other hosts that are reachable, and those
    heard within some seconds.
    """

    def __init__(
        self,
        controller: ReleaseController,
        bounds: ReleaseBounds,
        store: TableStore,
        lease: LeaseManager,
        host: HostName,
        list_reachable: Callable[[], list[HostName]],
        list_recent: Callable[[float], list[HostName]],
        create_status: Callable[[ReleaseStatus], Write],
        read_clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._controller = controller
        self._bounds = bounds
        self._store = store
        self._lease = lease
        self._host = host
        self._list_reachable = list_reachable
        self._list_recent = list_recent
        self._create_status = create_status
        self._read_clock = read_clock
        self._metrics = metrics
        self._progress: dict[ServiceName, _OrderProgress] = {}
        self._is_current = False
        self._known_fence = -1
        self._clock_offset = 0.0
        self._idle_since = read_clock()
        self._observation: asyncio.Task[None] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to decide, and read the lease, so that a wait for an unknown holder begins now."""
        self._observation = asyncio.get_running_loop().create_task(self._lease.observe())
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.RELEASES, "decide on rollouts", self._run)
        )

    async def close(self) -> None:
        """Stop deciding."""
        for task in (self._observation, self._task):
            if task:
                task.cancel()

    def verify(self) -> None:
        """Compare the verdicts in the store with the known ones, after a restoration."""
        self._is_current = False
        self._controller.mark_unwritten()

    async def _run(self) -> None:
        await asyncio.sleep(await self.check())

    async def check(self) -> float:
        """Decide once on each order if it is up to this host; return the seconds to wait."""
        now = self._read_clock()
        if not self._controller.has_work:
            self._idle_since = now
            return CHECK_SECONDS
        if not self._lease.is_held() and not self._is_turn(now):
            return CHECK_SECONDS
        if self._lease.needs_extension():
            wait = await self._lease.acquire()
            if not self._lease.is_held():
                self._is_current = False
                return max(CHECK_SECONDS, min(wait, STANDBY_SECONDS))
        if self._lease.fence != self._known_fence:
            self._is_current = False
        if not self._is_current and not await self._load():
            self._announce_known()
            return CHECK_SECONDS
        for release in self._controller.releases:
            await self._advance(release)
        return CHECK_SECONDS

    def _is_turn(self, now: float) -> bool:
        """Return whether no decider has been heard for long enough that this host stands in."""
        hosts = sorted([self._host, *self._list_reachable()])
        silence = now - max(self._controller.heard_at, self._idle_since)
        return silence >= STANDBY_SECONDS * (hosts.index(self._host) + 1)

    async def _load(self) -> bool:
        started = self._read_clock()
        table = await self._store.read_table(RELEASE_TABLE)
        if not isinstance(table, TableState):
            return False
        self._clock_offset = table.store_clock - started
        self._known_fence = self._lease.fence
        for progress in self._progress.values():
            progress.row_version = progress.written = None
        for row in table.rows:
            state = read_row(row)
            progress = self._progress.setdefault(ServiceName(row.key), _OrderProgress())
            progress.row_version, progress.written = row.version, state
            if state:
                self._controller.adopt(state, is_written=True)
        self._controller.is_loaded = self._is_current = True
        return True

    def _announce_known(self) -> None:
        """Tell verdicts that could not be written yet: less traffic is safe in any case."""
        for release in self._controller.releases:
            state = release.state
            if state and state.phase is ReleasePhase.ROLLED_BACK and self._lease.is_held():
                self._controller.announce(self._lease.fence, state)

    async def _advance(self, release: Release) -> None:
        """Begin an order, write what hosts know and the store doesn't, or decide."""
        progress = self._progress.setdefault(release.order.service, _OrderProgress())
        state, now = release.state, self._read_clock()
        if state is None:
            registered = self._controller.list_versions(release.order.service)
            previous = progress.written or release.previous
            first = begin_order(release.order, previous, registered, now + self._clock_offset)
            self._log(release, progress, Verdict(Decision.PROCEED, first.reason), first)
            await self._write(release, progress, first)
        elif progress.written != state and _is_missing(progress.written, state):
            await self._write(release, progress, state)
        elif not state.phase.is_final:
            await self._decide(release, progress, state, now)
        self._notify(release, progress, now)

    async def _decide(
        self, release: Release, progress: _OrderProgress, state: ReleaseState, now: float
    ) -> None:
        evidence = self._collect(release, progress, state, now)
        verdict = decide(evidence)
        following = self._follow(state, verdict, evidence, now)
        self._log(release, progress, verdict, following)
        if verdict.decision is Decision.ROLL_BACK and self._lease.is_held():
            # Before it is written, since each moment costs requests.
            self._controller.announce(self._lease.fence, following)
        if following is not state:
            await self._write(release, progress, following)
        else:
            await self._refresh_status(release, progress, state)

    def _collect(
        self, release: Release, progress: _OrderProgress, state: ReleaseState, now: float
    ) -> Evidence:
        counts = release.counts
        versions = self._controller.list_versions(release.order.service)
        totals = counts.copy_sums()
        if progress.stepped != state:
            # A new decider judges the step anew from here on; failures count since the order.
            if progress.stepped is not None and state.is_of(progress.stepped.create_order()):
                progress.strata += (subtract_totals(totals, progress.step_totals),)
            else:
                progress.strata = ()
            progress.stepped, progress.step_totals, progress.recent = state, totals, []
        progress.totals = totals
        progress.recent = [entry for entry in progress.recent if entry[0] > now - RECENT_SECONDS]
        recent = progress.recent[0][1] if progress.recent else progress.step_totals
        progress.recent.append((now, totals))
        store_now = now + self._clock_offset
        in_step = subtract_totals(totals, progress.step_totals)
        elapsed = store_now - state.started_at
        requests, sent = counts.count_requests(), counts.count_sent()
        return Evidence(
            phase=state.phase,
            step=state.step,
            duration=release.order.duration,
            elapsed=elapsed,
            in_step=store_now - state.stepped_at,
            windows=(in_step, subtract_totals(totals, recent)),
            totals=totals,
            strata=(*progress.strata, in_step),
            requests=requests,
            sent=sent,
            is_exposure_used=is_exposure_used(
                state.share,
                self._bounds,
                requests=requests,
                sent=sent,
                elapsed=elapsed,
                duration=release.order.duration,
            ),
            has_new_upstreams=release.order.version in versions,
            has_old_upstreams=bool(versions - {release.order.version, *state.withdrawn}),
            are_hosts_clear=self._controller.is_clear(release)
            and counts.are_clear(self._list_recent(HOST_EXPIRY_SECONDS)),
        )

    def _follow(
        self, state: ReleaseState, verdict: Verdict, evidence: Evidence, now: float
    ) -> ReleaseState:
        if verdict.decision is Decision.HOLD:
            return state
        stepped_at = now + self._clock_offset
        if verdict.decision is Decision.PROCEED:
            step = state.step + 1
            phase = state.phase
            share = limit_share(
                step,
                state.share,
                self._bounds,
                requests=evidence.requests,
                sent=evidence.sent,
                elapsed=evidence.elapsed,
                duration=evidence.duration,
            )
        else:
            step, phase = state.step, STATES_AFTER[verdict.decision]
            share = 0.0 if phase is ReleasePhase.ROLLED_BACK else 1.0
        return replace(
            state,
            phase=phase,
            step=step,
            share=share,
            stepped_at=stepped_at,
            reason=verdict.reason,
        )

    async def _write(self, release: Release, progress: _OrderProgress, state: ReleaseState) -> None:
        """Write a state and what operators see of it, and adopt it once the store has it."""
        if not self._lease.is_held():
            return
        condition = Condition(RELEASE_TABLE, state.service, progress.row_version)
        # Last, so that its version is that of the transaction also where each write has its own.
        write = Write(RELEASE_TABLE, state.service, write_state(state))
        status = self._describe(release, progress, state)
        result = await self._store.commit(Transaction((condition,), (status, write)))
        if not isinstance(result, Committed):
            # Another decider may have written, or the store may have applied it without answer.
            self._is_current = False
            log_event(
                Part.RELEASES,
                "state not written",
                service=state.service,
                phase=state.phase.value,
                step=state.step,
                reason=getattr(result, "reason", "conflict"),
            )
            return
        progress.row_version = result.get_version(RELEASE_TABLE, state.service)
        progress.written, progress.noticed_at = state, 0.0
        progress.status_at = self._read_clock()
        self._controller.adopt(state, is_written=True)

    def _notify(self, release: Release, progress: _OrderProgress, now: float) -> None:
        """Tell the other hosts the state in force, and that the decider runs."""
        state = release.state
        is_known = state is not None and (state == progress.written or state.share == 0.0)
        if not is_known or not self._lease.is_held() or state is None:
            return
        if now - progress.noticed_at >= NOTICE_SECONDS:
            progress.noticed_at = now
            self._controller.announce(self._lease.fence, state)

    async def _refresh_status(
        self, release: Release, progress: _OrderProgress, state: ReleaseState
    ) -> None:
        """Write the counts again after a time without a new state."""
        now = self._read_clock()
        if state != progress.written or now - progress.status_at < STATUS_SECONDS:
            return
        condition = Condition(RELEASE_TABLE, state.service, progress.row_version)
        status = self._describe(release, progress, state)
        result = await self._store.commit(Transaction((condition,), (status,)))
        progress.status_at = now
        if not isinstance(result, Committed):
            self._is_current = False

    def _describe(self, release: Release, progress: _OrderProgress, state: ReleaseState) -> Write:
        """Return the row that operators see."""
        return self._create_status(
            ReleaseStatus(
                state,
                count_new_answers(progress.totals),
                count_new_failures(progress.totals),
                release.counts.count_requests(),
                release.counts.count_sent(),
            )
        )

    def _log(
        self, release: Release, progress: _OrderProgress, verdict: Verdict, state: ReleaseState
    ) -> None:
        """Log each decision but a repeated one, and count those that change something."""
        line = f"{verdict.decision.value} {state.step} {verdict.reason}"
        if line == progress.logged:
            return
        progress.logged = line
        self._metrics.count(
            "release_decisions",
            service=release.order.service,
            decision=verdict.decision.value,
        )
        counts = release.counts
        log_event(
            Part.RELEASES,
            "decision",
            service=release.order.service,
            to=release.order.version,
            decision=verdict.decision.value,
            reason=verdict.reason,
            step=state.step,
            share=state.share,
            answers=count_new_answers(progress.totals),
            failures=count_new_failures(progress.totals),
            requests=counts.count_requests(),
            sent=counts.count_sent(),
        )


def _is_missing(written: ReleaseState | None, known: ReleaseState) -> bool:
    """Return whether the store lacks a state that hosts know."""
    if written is None or (written.version, written.order) != (known.version, known.order):
        return True
    return known.is_after(written)


def read_row(row: Row) -> ReleaseState | None:
    """Return the state in a row; log an invalid one and return ``None``."""
    try:
        return read_state(row.value)
    except (ValueError, TypeError) as error:
        log_event(Part.RELEASES, "invalid state", key=row.key, reason=repr(error))
        return None
