"""Apply orders to move services to another software version to the requests of this host."""

import copy
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

from turmericproxy.core import HostName, Incarnation, RouteName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState
from turmericproxy.releases.counts import OrderCounts
from turmericproxy.releases.exposure import (
    DECIDER_TIMEOUT_SECONDS,
    ShareGate,
    VersionChoice,
    choose_versions,
    find_share,
)
from turmericproxy.releases.messages import ReleaseNotice, ReleaseReport
from turmericproxy.releases.orders import (
    ReleaseOrder,
    ReleasePhase,
    ReleaseState,
    decode_state,
    encode_state,
    list_withdrawn,
)
from turmericproxy.releases.samples import SampleKey, find_load_class
from turmericproxy.releases.steps import compute_least_remaining
from turmericproxy.traffic.attempts import Attempt, Outcome
from turmericproxy.traffic.routed_request import RoutedRequest

# Time between two reports of this host; the decider judges what is that old.
REPORT_SECONDS = 0.5
# Time for which no request of this host has been open at old versions before it reports so. An
# attempt that was placed before a decision arrived is sent within one turn of the event loop.
CLEAR_SECONDS = 0.5
# A host without contact for this long, and for the least time that the steps take, can't know
# whether old versions still run.
OUT_OF_CONTACT_SECONDS = 5.0
# Time after which the decider no longer waits for a host that it doesn't hear. The host has used
# old versions for at most half of it, so the other half is left for its last answers.
HOST_EXPIRY_SECONDS = 10.0

# What an attempt without an answer of its own counts as: neither good nor bad if it wasn't run.
_JUDGED_OUTCOMES = frozenset({Outcome.ANSWERED, Outcome.BROKEN, Outcome.TIMED_OUT})


@dataclass
class Release:
    """Hold this host's view of one service's order; times are of the given clock.

    ``previous`` is the last state of the order before this one, and ``heard_at`` the time of the
    decider's last message. ``is_written`` tells that the store has been seen to hold the verdict.
    """

    order: ReleaseOrder
    counts: OrderCounts
    gate: ShareGate
    previous: ReleaseState | None = None
    state: ReleaseState | None = None
    heard_at: float = field(default=-1e9)
    clear_since: float | None = None
    is_written: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the order has no verdict yet."""
        return self.state is None or not self.state.phase.is_final

    @property
    def withdrawn(self) -> tuple[str, ...]:
        """Return the versions of earlier orders that get no requests."""
        return self.state.withdrawn if self.state else list_withdrawn(self.previous, self.order)


class ReleaseController:
    """Choose the versions that requests may use, count their answers, and tell the other hosts.

    ``is_in_contact`` tells whether the host hears the store, or most of the other hosts.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        read_clock: Callable[[], float],
        is_in_contact: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._read_clock = read_clock
        self._is_in_contact = is_in_contact
        self._metrics = metrics
        self._releases: dict[ServiceName, Release] = {}
        self._replaced: set[tuple[ServiceName, str, int]] = set()
        self._notices: list[ReleaseNotice] = []
        self._reported_at = 0.0
        self._contact_at = read_clock()
        self._fence = 0
        self.heard_at = -1e9
        # False from the start until the verdicts in the store are known.
        self.is_loaded = True

    def create_trial(self) -> "ReleaseController":
        """Return a copy that can try a decision: what it counts has no effect on this one."""
        trial = copy.copy(self)
        trial._metrics = Metrics()
        trial._releases = {
            service: replace(r, counts=copy.copy(r.counts), gate=copy.copy(r.gate))
            for service, r in self._releases.items()
        }
        return trial

    @property
    def releases(self) -> Sequence[Release]:
        """Return all orders, with and without a verdict."""
        return list(self._releases.values())

    @property
    def has_work(self) -> bool:
        """Return whether any order has no verdict, or one that may be missing in the store."""
        return any(r.is_open or not r.is_written for r in self._releases.values())

    @property
    def has_open(self) -> bool:
        """Return whether any order has no verdict yet."""
        return any(release.is_open for release in self._releases.values())

    def record_order(self, order: ReleaseOrder, *, is_new: bool) -> None:
        """Record an order; one that is not new may have been decided before this host's start."""
        known = self._releases.get(order.service)
        identity = (order.service, order.version, order.row_version)
        if identity in self._replaced or (known and known.order == order):
            return
        if not is_new:
            self.is_loaded = False
        previous = None
        if known:
            self._replaced.add((known.order.service, known.order.version, known.order.row_version))
            previous = known.state or known.previous
        release = Release(order, OrderCounts(order), ShareGate(random.random()), previous)
        self._releases[order.service] = release
        log_event(
            Part.RELEASES,
            "order",
            service=order.service,
            to=order.version,
            duration=order.duration,
            row_version=order.row_version,
            replaces=known.order.version if known else None,
        )

    def mark_unwritten(self) -> None:
        """Assume that the store may lack the verdicts, after it was restored from a copy."""
        for release in self._releases.values():
            release.is_written = False

    def adopt(self, state: ReleaseState, *, is_written: bool = False) -> None:
        """Take over a state that was announced, or ``is_written`` in the store.

        A later state that is known already stays in force.
        """
        release = self._find_release(state)
        if release is None:
            return
        if release.state and not state.is_after(release.state):
            release.is_written |= is_written and state.phase is release.state.phase
            return
        release.state, release.is_written = state, is_written
        log_event(
            Part.RELEASES,
            "state in force",
            service=state.service,
            to=state.version,
            phase=state.phase.value,
            step=state.step,
            share=state.share,
            reason=state.reason,
        )

    def _find_release(self, state: ReleaseState) -> Release | None:
        """Return what a state belongs to, ``None`` if that is an earlier order.

        The state may arrive before the row of its order. Until then this host would send the new
        version an old one's part of the requests.
        """
        release = self._releases.get(state.service)
        if release and state.is_of(release.order):
            return release
        if release is None or state.order > release.order.row_version:
            self.record_order(state.create_order(), is_new=True)
            release = self._releases.get(state.service)
            return release if release and state.is_of(release.order) else None
        if release.previous is None and release.state is None:
            release.previous = state
        return None

    def record_contact(self) -> None:
        """Record that the store has just confirmed the verdicts that this host knows."""
        self._contact_at = self._read_clock()

    def select(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
    ) -> list[UpstreamState]:
        """Return the upstreams whose version the next attempt may use; all without an order."""
        release = self._releases.get(request.service.name)
        if release is None:
            return states
        if not self.is_loaded:
            return []
        version = release.order.version
        new = [state for state in states if state.entry.software == version]
        if release.state and release.state.phase is ReleasePhase.COMPLETED:
            return new
        old = [state for state in states if _is_old(state, release)]
        now = self._read_clock()
        choice = choose_versions(
            release.state,
            now - release.heard_at,
            lambda share: self._draw(request, release, share),
            is_retry=bool(excluded) or request.attempt_counts.total > 0,
        )
        if request.is_for_new_version is None:
            self._draw(request, release, 0.0)
        if choice is VersionChoice.NEW_ONLY:
            return new
        if release.is_open and not old and not self._has_old(release):
            # Nothing but the new version can serve.
            return new
        if choice is VersionChoice.NEW_FIRST and any(
            state.entry.instance not in excluded and not state.is_suspended(now) for state in new
        ):
            return new
        return [] if self._is_out_of_contact(release, now) else old

    def _draw(self, request: RoutedRequest, release: Release, share: float) -> bool:
        """Draw once for each request, and count it."""
        if request.is_for_new_version is None:
            release.counts.requests += 1
            request.is_for_new_version = release.gate.draw(share)
        return request.is_for_new_version

    def _has_old(self, release: Release) -> bool:
        """Return whether an upstream of an old version is registered, in any state."""
        return any(_is_old(s, release) for s in self._list_registered(release.order.service))

    def _is_out_of_contact(self, release: Release, now: float) -> bool:
        """Return whether the rollout may have been completed without this host's knowledge."""
        if not release.is_open:
            return False
        if self._is_in_contact() or now - release.heard_at < DECIDER_TIMEOUT_SECONDS:
            self._contact_at = now
        step = release.state.step if release.state else 0
        least = compute_least_remaining(step, release.order.duration)
        return now - self._contact_at >= max(OUT_OF_CONTACT_SECONDS, least)

    def record_start(self, instance: InstanceId) -> None:
        """Count an attempt that is about to be sent."""
        if self._releases and (state := self._registry.find(instance)):
            release = self._releases.get(state.entry.service)
            if release and state.entry.software == release.order.version:
                release.counts.sent += 1

    def record_end(
        self, instance: InstanceId, route: RouteName, attempt: Attempt | None, seconds: float
    ) -> None:
        """Count the answer to an attempt; one that was not run, or cancelled, is none."""
        if not self._releases or attempt is None or attempt.outcome not in _JUDGED_OUTCOMES:
            return
        state = self._registry.find(instance)
        release = self._releases.get(state.entry.service) if state else None
        if state is None or release is None or not release.is_open:
            return
        is_failure = attempt.is_failure or attempt.outcome is not Outcome.ANSWERED
        release.counts.add_answer(
            SampleKey(state.entry.software == release.order.version, route),
            is_failure=is_failure,
            seconds=seconds,
            load_class=find_load_class(state.requests, state.entry.slots),
        )

    def list_versions(self, service: ServiceName) -> frozenset[str]:
        """Return the versions of a service's registered upstreams."""
        return frozenset(state.entry.software for state in self._list_registered(service))

    def _list_registered(self, service: ServiceName) -> Iterable[UpstreamState]:
        return (s for s in self._registry.list_states() if s.entry.service == service)

    def is_clear(self, release: Release) -> bool:
        """Return whether this host has had nothing at old versions for a time, and sends nothing.

        Called often, since it also notices when the last request there ends.
        """
        now, state = self._read_clock(), release.state
        is_open_there = any(
            upstream.own_work.requests
            for upstream in self._list_registered(release.order.service)
            if upstream.entry.software != release.order.version
        )
        if is_open_there or not state or state.phase is not ReleasePhase.FINISHING:
            release.clear_since = None
            return False
        if release.clear_since is None:
            release.clear_since = now
        return now - release.clear_since >= CLEAR_SECONDS

    def announce(self, fence: int, state: ReleaseState) -> None:
        """Adopt a state that this host decided, and add it to the next batch."""
        self.adopt(state)
        self._hear(fence, state)
        self._notices.append(ReleaseNotice(fence, encode_state(state)))

    def _hear(self, fence: int, state: ReleaseState) -> None:
        # States without a fence are told to new hosts by any host.
        if fence < max(1, self._fence):
            return
        self._fence, self.heard_at = fence, self._read_clock()
        release = self._releases.get(state.service)
        if release and state.is_of(release.order):
            release.heard_at = self.heard_at

    def take_messages(self) -> tuple[tuple[ReleaseNotice, ...], tuple[ReleaseReport, ...]]:
        """Return the notices and reports for the next batch; there are none without an order."""
        notices, self._notices = tuple(self._notices), []
        now = self._read_clock()
        if not self.has_open or now - self._reported_at < REPORT_SECONDS:
            return notices, ()
        self._reported_at = now
        self._metrics.set_gauges("release_share", "service", self._list_shares(now))
        reports = (
            release.counts.take_report(release.state, is_clear=self.is_clear(release))
            for release in self._releases.values()
            if release.is_open
        )
        return notices, tuple(report for report in reports if report)

    def _list_shares(self, now: float) -> dict[str, float]:
        return {
            str(service): find_share(release.state, now - release.heard_at)
            for service, release in self._releases.items()
        }

    def list_known(self) -> tuple[ReleaseNotice, ...]:
        """Return the known states for a new host, as from no decider."""
        return tuple(
            ReleaseNotice(0, encode_state(release.state))
            for release in self._releases.values()
            if release.state
        )

    def receive(
        self,
        host: HostName,
        incarnation: Incarnation,
        notices: Iterable[ReleaseNotice],
        reports: Iterable[ReleaseReport],
    ) -> None:
        """Apply the messages of a peer."""
        for notice in notices:
            state = decode_state(notice.state)
            self.adopt(state)
            self._hear(notice.fence, state)
        for report in reports:
            if report.state is not None:
                self.adopt(decode_state(report.state))
            release = self._releases.get(report.service)
            identity = (report.version, report.order)
            if release and (release.order.version, release.order.row_version) == identity:
                release.counts.receive((host, incarnation), report, self._read_clock())


def _is_old(state: UpstreamState, release: Release) -> bool:
    """Return whether an upstream has one of the versions in force before the order."""
    software = state.entry.software
    return software != release.order.version and software not in release.withdrawn
