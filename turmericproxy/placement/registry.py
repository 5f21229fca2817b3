"""Maintain this host's state of each upstream."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.engine_speeds import (
    EngineSpeed,
    compute_usual_slowdown,
    estimate_lasting_slowdown,
    estimate_slowdown,
    is_news,
    record_slowdown,
)
from turmericproxy.placement.engines import DEFAULT_TOKENS_PER_SECOND
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.health import (
    Health,
    HealthSignal,
    record_health_signal,
    request_pause,
)
from turmericproxy.placement.limits import LimitMonitor, UnlimitedMonitor
from turmericproxy.placement.load_reports import LoadReport
from turmericproxy.placement.notices import UpstreamNotice
from turmericproxy.placement.plain import DEFAULT_CALL_SECONDS
from turmericproxy.placement.prefixes import PrefixTracker
from turmericproxy.placement.requested_pauses import RequestedPauses
from turmericproxy.placement.service_speeds import ServiceSpeeds
from turmericproxy.placement.starts import RememberedStarts
from turmericproxy.placement.stream_gaps import UNOBSERVED, StreamGaps

# Share of an engine's memory that running requests leave to cached prompt parts at a usual load.
CACHE_SHARE = 0.5
# Weight of the newest sample in the moving averages of call durations and prefill rates.
SMOOTHING = 0.1
# Least time between two log lines on the lasting speed of an engine.
SPEED_LOG_SECONDS = 10.0
# Bounds of a measured prefill rate, as factors of the default rate.
MIN_PREFILL_RATE_FACTOR = 0.1
MAX_PREFILL_RATE_FACTOR = 2.0


class SpeedReport(NamedTuple):
    """Tell other hosts a slowdown in percent of one start of an engine, in Unix milliseconds."""

    instance: InstanceId
    started_at: int
    percent: int


class Work(NamedTuple):
    """Hold the load that one host's outstanding requests put on an upstream.

    ``pending_prefill_tokens`` counts the prompt tokens of requests without a first token,
    ``reserved_tokens`` is the memory of all running requests, in tokens.
    """

    requests: int = 0
    pending_prefill_tokens: int = 0
    reserved_tokens: int = 0


NO_WORK = Work()


@dataclass
class UpstreamState:
    """Hold this host's state of one upstream; times are of the event loop.

    ``total_peer_work`` is the sum of ``work_by_peer``, kept up to date because each selection reads
    it.
    """

    entry: UpstreamEntry
    prefixes: PrefixTracker
    health: Health = Health()
    own_work: Work = NO_WORK
    work_by_peer: dict[HostName, Work] = field(default_factory=dict)
    total_peer_work: Work = NO_WORK
    versions: dict[ModelName, int] = field(default_factory=dict)
    loading_until: float = 0.0
    is_superseded: bool = False
    is_leaving: bool = False
    is_refusing: bool = False
    call_seconds: float = DEFAULT_CALL_SECONDS
    tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND
    speed: EngineSpeed | None = None
    speed_logged_at: float = -math.inf

    @property
    def is_ready(self) -> bool:
        """Return whether the upstream accepts new requests."""
        is_registered = self.entry.state is EntryState.READY and not self.is_superseded
        return is_registered and not self.is_leaving

    def is_suspended(self, now: float) -> bool:
        """Return whether to send no request now; after a pause, one probe at a time is allowed."""
        is_probing = self.health.pause > 0 and self.own_work.requests > 0
        return is_probing or self.health.is_paused(now)

    @property
    def requests(self) -> int:
        """Return the number of running requests of all hosts."""
        return self.own_work.requests + self.total_peer_work.requests

    @property
    def pending_prefill_tokens(self) -> int:
        """Return the prompt tokens of all hosts' requests without a first token."""
        return self.own_work.pending_prefill_tokens + self.total_peer_work.pending_prefill_tokens

    @property
    def reserved_tokens(self) -> int:
        """Return the memory that running requests of all hosts use, in tokens."""
        return self.own_work.reserved_tokens + self.total_peer_work.reserved_tokens

    def set_peer_work(self, host: HostName, work: Work) -> None:
        """Replace the work of a peer at this upstream."""
        previous, total = self.work_by_peer.pop(host, NO_WORK), self.total_peer_work
        if work != previous:
            self.total_peer_work = Work(
                total.requests - previous.requests + work.requests,
                total.pending_prefill_tokens
                - previous.pending_prefill_tokens
                + work.pending_prefill_tokens,
                total.reserved_tokens - previous.reserved_tokens + work.reserved_tokens,
            )
        if work != NO_WORK:
            self.work_by_peer[host] = work


class UpstreamRegistry:
    """Hold the registered upstreams and the results of requests to them."""

    def __init__(self, limits: LimitMonitor | None = None) -> None:
        self._limits = limits or UnlimitedMonitor()
        self._states: dict[InstanceId, UpstreamState] = {}
        self._by_service: dict[ServiceName, list[UpstreamState]] = {}
        self._changed: set[InstanceId] = set()
        self._sent_work: dict[InstanceId, Work] = {}
        self._capacities: dict[ServiceName, int] = {}
        self._leaving = RememberedStarts()
        self._pauses = RequestedPauses()
        self._unsent_leaving: dict[InstanceId, int] = {}
        self._speeds: dict[ServiceName, ServiceSpeeds] = {}
        self._unsent_speeds: dict[InstanceId, SpeedReport] = {}
        self.is_loaded = False

    def update(self, entry: UpstreamEntry) -> None:
        """Add an upstream or update its registration; a restarted one begins with a new state."""
        state = self._states.get(entry.instance)
        if state is None or state.entry.started_at != entry.started_at:
            self._add(entry, state)
            return
        if entry.state is not state.entry.state or entry.address != state.entry.address:
            log_event(
                Part.ROUTING,
                "upstream changed",
                upstream=entry.instance,
                state=entry.state.value,
                address=entry.address,
            )
        state.entry = entry
        state.is_superseded = False
        for model, version in entry.versions.items():
            self.record_version(entry.instance, model, version)
        self._rebuild_service_index()

    def remove(self, instance: InstanceId) -> None:
        """Remove an upstream whose registration is gone."""
        self._sent_work.pop(instance, None)
        state = self._states.pop(instance, None)
        if state:
            self._pauses.record(state.entry, state.health)
            log_event(Part.ROUTING, "upstream gone", upstream=instance)
            self._update_usual_slowdown(state.entry.service)
            self._rebuild_service_index()

    def supersede(self, instance: InstanceId, address: str) -> bool:
        """Stop using an upstream whose address another one has taken, until it registers again.

        Return whether the state changed. An upstream with a different address by now is unaffected.
        """
        state = self._states.get(instance)
        if state is None or state.is_superseded or state.entry.address != address:
            return False
        state.is_superseded = True
        log_event(Part.ROUTING, "upstream superseded", upstream=instance, address=address)
        self._rebuild_service_index()
        return True

    def find(self, instance: InstanceId) -> UpstreamState | None:
        """Return the state of an upstream, or ``None`` if it isn't registered."""
        return self._states.get(instance)

    def find_start(self, instance: InstanceId) -> int | None:
        """Return the start time of a registered upstream, in Unix milliseconds."""
        state = self._states.get(instance)
        return state.entry.started_at if state else None

    def is_registered(self, instance: InstanceId) -> bool:
        """Return whether there is an upstream of this name."""
        return instance in self._states

    def list_states(self) -> list[UpstreamState]:
        """Return the states of all upstreams."""
        return list(self._states.values())

    def list_ready(self, service: ServiceName) -> list[UpstreamState]:
        """Return the upstreams of a service that accept new requests."""
        return self._by_service.get(service, [])

    def record_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Record a newer version of an engine's weights; loading weights empties its cache."""
        state = self._states.get(instance)
        if state is None or version <= state.versions.get(model, 0):
            return
        state.versions[model] = version
        state.loading_until = 0.0
        state.prefixes.clear()
        log_event(Part.WEIGHTS, "engine has weights", engine=instance, model=model, version=version)

    def set_reported_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Record the version that an engine itself reports, even if it is an older one."""
        state = self._states.get(instance)
        if state and version != state.versions.get(model, 0):
            state.versions[model] = 0
            self.record_version(instance, model, version)

    def mark_loading(self, instance: InstanceId, until: float) -> None:
        """Record that an engine is expected to load weights until the given time."""
        state = self._states.get(instance)
        if state:
            state.loading_until = until

    def add_work(self, instance: InstanceId, change: Work) -> None:
        """Add a positive or negative change to this host's work at an upstream."""
        state = self._states.get(instance)
        if state:
            own_work = state.own_work
            state.own_work = Work(
                max(0, own_work.requests + change.requests),
                max(0, own_work.pending_prefill_tokens + change.pending_prefill_tokens),
                max(0, own_work.reserved_tokens + change.reserved_tokens),
            )
            self._changed.add(instance)

    def set_peer_work(self, host: HostName, works: Mapping[InstanceId, Work]) -> None:
        """Replace the work of a peer at the given upstreams."""
        for instance, work in works.items():
            state = self._states.get(instance)
            if state:
                state.set_peer_work(host, work)

    def forget_peer(self, host: HostName) -> None:
        """Remove the work of a peer that is lost or about to send its full state."""
        for state in self._states.values():
            if host in state.work_by_peer:
                state.set_peer_work(host, NO_WORK)

    def take_changed_work(self) -> dict[InstanceId, Work]:
        """Return this host's work at the upstreams where it changed since the last call.

        A call that began and ended since then leaves the work as it was sent.
        """
        changed, self._changed = self._changed, set()
        work = {
            i: state.own_work
            for i in changed
            if (state := self._states.get(i)) and state.own_work != self._sent_work.get(i)
        }
        self._sent_work.update(work)
        return work

    def list_own_work(self) -> dict[InstanceId, Work]:
        """Return this host's work at all upstreams that have requests of it."""
        # Some peers now know newer work than was sent to all, so no change may be left out.
        self._sent_work.clear()
        return {i: state.own_work for i, state in self._states.items() if state.own_work.requests}

    def list_versions(self) -> tuple[tuple[InstanceId, ModelName, int], ...]:
        """Return the known version of each model's weights at each engine."""
        return tuple(
            (instance, model, version)
            for instance, state in self._states.items()
            for model, version in state.versions.items()
        )

    def record_notice(
        self,
        instance: InstanceId,
        notice: UpstreamNotice | None,
        now: float,
        *,
        sent_at: float | None = None,
        started_at: int | None = None,
    ) -> None:
        """Record what an upstream announced to this host about itself, ``None`` without an answer.

        Its limit is that of the start at ``started_at`` or the registered one. It counts only if
        ``sent_at`` tells when the request of the answer was sent.
        """
        state = self._states.get(instance)
        if state is None or notice is None:
            return
        if sent_at is not None:
            start = state.entry.started_at if started_at is None else started_at
            self._limits.record_notice(instance, start, notice, now - sent_at)
        if notice.is_leaving and not state.is_leaving:
            self._unsent_leaving[instance] = state.entry.started_at
            self.mark_leaving(instance, state.entry.started_at)
        if notice.pause_seconds:
            state.health = request_pause(state.health, notice.pause_seconds, now)
            log_event(
                Part.ROUTING,
                "upstream asks for a pause",
                upstream=instance,
                seconds=round(notice.pause_seconds, 2),
            )

    def measure_pause(self, instance: InstanceId, now: float) -> float:
        """Return for how many more seconds an upstream wants nothing from this host."""
        state = self._states.get(instance)
        return max(0.0, state.health.silent_until - now) if state else 0.0

    def measure_call_pause(self, instance: InstanceId, now: float) -> float:
        """Return for how many more seconds this host should not poll or query an upstream."""
        state = self._states.get(instance)
        if state is None:
            return 0.0
        limited = self._limits.measure_call_pause(instance, state.entry.started_at)
        return max(limited, self.measure_pause(instance, now))

    def record_call(self, instance: InstanceId, callers: int = 1) -> None:
        """Record a poll or query of an upstream, which ``callers`` hosts call."""
        state = self._states.get(instance)
        if state:
            self._limits.record_call(instance, state.entry.started_at, callers)

    def mark_leaving(self, instance: InstanceId, started_at: int) -> None:
        """Send no new requests to an upstream, whatever its registration says, until it restarts.

        ``started_at`` identifies its start, in Unix milliseconds.
        """
        self._leaving.record(instance, started_at)
        state = self._states.get(instance)
        if state and state.entry.started_at == started_at and not state.is_leaving:
            state.is_leaving = True
            log_event(Part.ROUTING, "upstream leaving", upstream=instance, started_at=started_at)
            self._rebuild_service_index()

    def list_leaving(self) -> tuple[tuple[InstanceId, int], ...]:
        """Return the upstreams known as leaving, each with its start time."""
        return self._leaving.list_all()

    def take_leaving(self) -> tuple[tuple[InstanceId, int], ...]:
        """Return the upstreams that have announced to this host since the last call to leave."""
        unsent, self._unsent_leaving = self._unsent_leaving, {}
        return tuple(unsent.items())

    def record_health_signal(
        self,
        instance: InstanceId,
        health_signal: HealthSignal,
        now: float,
        seconds: float | None = None,
    ) -> None:
        """Record the result of a request, and the duration of a plain call without load."""
        state = self._states.get(instance)
        if state is None:
            return
        previous = state.health
        if health_signal in (HealthSignal.ANSWERED, HealthSignal.SHED):
            state.is_refusing = False
        state.health = record_health_signal(previous, health_signal, now)
        if seconds is not None:
            state.call_seconds += SMOOTHING * (seconds - state.call_seconds)
        if state.health.is_paused(now) and not previous.is_paused(now):
            log_event(
                Part.ROUTING,
                "upstream paused",
                upstream=instance,
                cause=health_signal.value,
                seconds=round(state.health.paused_until - now, 2),
            )

    def record_refused_connection(self, instance: InstanceId) -> None:
        """Record that nothing listens at an upstream's address."""
        state = self._states.get(instance)
        if state and not state.is_refusing:
            state.is_refusing = True
            log_event(
                Part.ROUTING,
                "upstream refuses connections",
                upstream=instance,
                address=state.entry.address,
                started_at=state.entry.started_at,
                state=state.entry.state.value,
                is_leaving=state.is_leaving,
            )

    def find_speeds(self, service: ServiceName) -> ServiceSpeeds | None:
        """Return what is known of a service's speed, ``None`` if no engine of it reports one."""
        return self._speeds.get(service)

    def record_load(
        self, instance: InstanceId, started_at: int, report: LoadReport | None, now: float
    ) -> None:
        """Record the load that one start of an upstream reported to this host."""
        state = self._states.get(instance)
        if report is None or report.slowdown is None:
            return
        if state is None or state.entry.started_at != started_at:
            return
        if is_news(state.speed, report.slowdown, now):
            percent = round(100 * report.slowdown)
            self._unsent_speeds[instance] = SpeedReport(instance, started_at, percent)
        self._record_slowdown(state, report.slowdown, now)

    def receive_speeds(self, reports: Iterable[SpeedReport], now: float) -> None:
        """Record slowdowns that another host has seen; those of other starts are ignored."""
        for instance, started_at, percent in reports:
            state = self._states.get(instance)
            if state and state.entry.started_at == started_at and percent > 0:
                self._record_slowdown(state, percent / 100, now)

    def take_speeds(self) -> tuple[SpeedReport, ...]:
        """Return the newest slowdowns that other hosts should know since the last call."""
        unsent, self._unsent_speeds = self._unsent_speeds, {}
        return tuple(unsent.values())

    def list_speeds(self) -> tuple[SpeedReport, ...]:
        """Return the lasting slowdowns of all engines that report theirs."""
        return tuple(
            SpeedReport(instance, state.entry.started_at, round(100 * state.speed.lasting))
            for instance, state in self._states.items()
            if state.speed
        )

    def _record_slowdown(self, state: UpstreamState, slowdown: float, now: float) -> None:
        previous, state.speed = state.speed, record_slowdown(state.speed, slowdown, now)
        if previous and previous.lasting == state.speed.lasting:
            return
        self._update_usual_slowdown(state.entry.service)
        if now >= state.speed_logged_at + SPEED_LOG_SECONDS:
            state.speed_logged_at = now
            log_event(
                Part.ROUTING,
                "engine speed changed",
                engine=state.entry.instance,
                slowdown=state.speed.lasting,
                previous=previous.lasting if previous else None,
                median=self._speeds[state.entry.service].usual_slowdown,
            )

    def _update_usual_slowdown(self, service: ServiceName) -> None:
        """Compute the median of a service, or forget a service without a reported speed."""
        known = [s.speed for s in self._states.values() if s.speed and s.entry.service == service]
        if known:
            speeds = self._speeds.setdefault(service, ServiceSpeeds())
            speeds.usual_slowdown = compute_usual_slowdown(known)
        else:
            self._speeds.pop(service, None)

    def list_service_speeds(self) -> dict[ServiceName, ServiceSpeeds]:
        """Return the services whose engines report their speed."""
        return dict(self._speeds)

    def open_gaps(self, instance: InstanceId, work: Work, output_tokens: int) -> StreamGaps:
        """Return what observes the gaps of a stream that has begun, for the figures of a service.

        ``output_tokens`` are those declared for the whole stream, 0 if that isn't known.
        """
        state = self._states.get(instance)
        speeds = self._speeds.get(state.entry.service) if state else None
        if state is None or speeds is None:
            return UNOBSERVED
        speeds.record_prompt(work.pending_prefill_tokens)
        slowdown = estimate_lasting_slowdown(state.speed, speeds.usual_slowdown)
        requests = max(0, state.requests - 1)

        def report(gap: float, events: int, seconds: float) -> None:
            speeds.record_stream(gap, requests, seconds, slowdown)
            speeds.record_events(output_tokens, events)

        return StreamGaps(report)

    def record_prefill_rate(
        self, instance: InstanceId, tokens: int, seconds: float, now: float, placed_at: float
    ) -> None:
        """Update the prefill rate with the time to a first token after that many queued tokens.

        The rate of a service counts from ``placed_at``, since the queue is before the head of the
        answer, which came ``seconds`` before the token.
        """
        state = self._states.get(instance)
        if state and (speeds := self._speeds.get(state.entry.service)):
            slowdown = estimate_slowdown(state.speed, speeds.usual_slowdown, now)
            speeds.record_prefill(tokens, now - placed_at, slowdown)
        if state and seconds > 0:
            rate = tokens / seconds / DEFAULT_TOKENS_PER_SECOND
            rate = (
                min(MAX_PREFILL_RATE_FACTOR, max(MIN_PREFILL_RATE_FACTOR, rate))
                * DEFAULT_TOKENS_PER_SECOND
            )
            state.tokens_per_second += SMOOTHING * (rate - state.tokens_per_second)

    def _add(self, entry: UpstreamEntry, previous: UpstreamState | None) -> None:
        log_event(
            Part.ROUTING,
            "upstream found" if previous is None else "upstream restarted",
            upstream=entry.instance,
            service=entry.service,
            address=entry.address,
            versions=dict(entry.versions),
        )
        prefixes = PrefixTracker(self._capacities.get(entry.service, 0))
        state = UpstreamState(entry, prefixes, versions=dict(entry.versions))
        state.is_leaving = self._leaving.holds(entry.instance, entry.started_at)
        state.health = self._pauses.restore(entry)
        if previous:
            state.own_work, state.work_by_peer, state.total_peer_work = (
                previous.own_work,
                previous.work_by_peer,
                previous.total_peer_work,
            )
        self._states[entry.instance] = state
        self._update_usual_slowdown(entry.service)
        self._rebuild_service_index()

    def set_capacity(self, service: ServiceName, tokens: int) -> None:
        """Set the memory of a service's engines, which limits the parts predicted as cached."""
        self._capacities[service] = int(CACHE_SHARE * tokens)
        for state in self._states.values():
            if state.entry.service == service:
                state.prefixes.set_capacity(self._capacities[service])

    def _rebuild_service_index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamState]] = {}
        for state in self._states.values():
            if state.is_ready:
                by_service.setdefault(state.entry.service, []).append(state)
        self._by_service = by_service
