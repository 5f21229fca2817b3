"""Keep what a host knows of each upstream."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from turmericproxy.core import HostName, ModelName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.logs import Part, log_event
from turmericproxy.placement.engines import DEFAULT_TOKENS_PER_SECOND
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.health import Health, HealthSignal, record_health_signal
from turmericproxy.placement.plain import DEFAULT_CALL_SECONDS
from turmericproxy.placement.prefixes import PrefixTracker

# Share of an engine's memory that is left to cached parts beside running requests at a usual load.
CACHE_SHARE = 0.5
# Weight of the newest call in the smoothed time of calls and pace of prefill.
SMOOTHING = 0.1
# Bounds of the learnt pace of prefill, as factors of the default.
SLOWEST_PACE = 0.1
FASTEST_PACE = 2.0


@dataclass(frozen=True, slots=True)
class Work:
    """Hold the work that one host has at an upstream."""

    requests: int = 0
    pending_prefill_tokens: int = 0
    reserved_tokens: int = 0

    def __add__(self, other: "Work") -> "Work":
        return Work(
            self.requests + other.requests,
            self.pending_prefill_tokens + other.pending_prefill_tokens,
            self.reserved_tokens + other.reserved_tokens,
        )

    def __sub__(self, other: "Work") -> "Work":
        return Work(
            self.requests - other.requests,
            self.pending_prefill_tokens - other.pending_prefill_tokens,
            self.reserved_tokens - other.reserved_tokens,
        )


NO_WORK = Work()


@dataclass
class UpstreamState:
    """Gather what a host knows of one upstream; times are of the event loop.

    ``others`` is the sum over all peers, which each choice asks for.
    """

    entry: UpstreamEntry
    prefixes: PrefixTracker
    health: Health = Health()
    own: Work = NO_WORK
    peers: dict[HostName, Work] = field(default_factory=dict)
    others: Work = NO_WORK
    versions: dict[ModelName, int] = field(default_factory=dict)
    loading_until: float = 0.0
    is_superseded: bool = False
    call_seconds: float = DEFAULT_CALL_SECONDS
    tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND

    @property
    def is_ready(self) -> bool:
        """Return whether the upstream takes new requests."""
        return self.entry.state is EntryState.READY and not self.is_superseded

    def is_avoided(self, now: float) -> bool:
        """Return whether the upstream gets no request now; after a pause it is tried with one."""
        is_on_trial = self.health.pause > 0 and self.own.requests > 0
        return is_on_trial or self.health.is_paused(now)

    @property
    def requests(self) -> int:
        """Return the requests of all hosts."""
        return self.own.requests + self.others.requests

    @property
    def pending_prefill_tokens(self) -> int:
        """Return the prompt tokens of all hosts that have not brought a first token."""
        return self.own.pending_prefill_tokens + self.others.pending_prefill_tokens

    @property
    def reserved_tokens(self) -> int:
        """Return the memory that requests of all hosts take, in tokens."""
        return self.own.reserved_tokens + self.others.reserved_tokens

    def set_peer_work(self, host: HostName, work: Work) -> None:
        """Take in what a peer has here."""
        self.others = self.others - self.peers.pop(host, NO_WORK) + work
        if work != NO_WORK:
            self.peers[host] = work


class UpstreamRegistry:
    """Follow the registrations of upstreams, and record what requests saw of them."""

    def __init__(self) -> None:
        self._states: dict[InstanceId, UpstreamState] = {}
        self._by_service: dict[ServiceName, list[UpstreamState]] = {}
        self._changed: set[InstanceId] = set()
        self._capacities: dict[ServiceName, int] = {}
        self.is_loaded = False

    def update(self, entry: UpstreamEntry) -> None:
        """Take in one registration."""
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
        self._index()

    def remove(self, instance: InstanceId) -> None:
        """Forget an upstream that is gone."""
        if self._states.pop(instance, None):
            log_event(Part.ROUTING, "upstream gone", upstream=instance)
            self._index()

    def supersede(self, instance: InstanceId, address: str) -> bool:
        """Send nothing more to an upstream whose address another one has, until it registers.

        Return whether that is new; an upstream that has another address by now is left alone.
        """
        state = self._states.get(instance)
        if state is None or state.is_superseded or state.entry.address != address:
            return False
        state.is_superseded = True
        log_event(Part.ROUTING, "upstream superseded", upstream=instance, address=address)
        self._index()
        return True

    def find(self, instance: InstanceId) -> UpstreamState | None:
        """Return what is known of an upstream."""
        return self._states.get(instance)

    def list_states(self) -> list[UpstreamState]:
        """Return all upstreams."""
        return list(self._states.values())

    def list_ready(self, service: ServiceName) -> list[UpstreamState]:
        """Return the upstreams of a service that take new requests."""
        return self._by_service.get(service, [])

    def count_services(self, models: Iterable[ModelName]) -> int:
        """Return how many services have engines of any of some models."""
        wanted = set(models)
        return len(
            {s.entry.service for s in self._states.values() if wanted & set(s.entry.versions)}
        )

    def record_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Take in a version of an engine's weights; new weights leave its cache empty."""
        state = self._states.get(instance)
        if state is None or version <= state.versions.get(model, 0):
            return
        state.versions[model] = version
        state.loading_until = 0.0
        state.prefixes.clear()
        log_event(Part.WEIGHTS, "engine has weights", engine=instance, model=model, version=version)

    def set_reported_version(self, instance: InstanceId, model: ModelName, version: int) -> None:
        """Take in a version that an engine itself reports, also if it is an older one."""
        state = self._states.get(instance)
        if state and version != state.versions.get(model, 0):
            state.versions[model] = 0
            self.record_version(instance, model, version)

    def mark_loading(self, instance: InstanceId, until: float) -> None:
        """Expect that an engine loads weights until a time."""
        state = self._states.get(instance)
        if state:
            state.loading_until = until

    def add_work(self, instance: InstanceId, change: Work) -> None:
        """Add to this host's work at an upstream, or take from it."""
        state = self._states.get(instance)
        if state:
            own = state.own
            state.own = Work(
                max(0, own.requests + change.requests),
                max(0, own.pending_prefill_tokens + change.pending_prefill_tokens),
                max(0, own.reserved_tokens + change.reserved_tokens),
            )
            self._changed.add(instance)

    def set_peer_work(self, host: HostName, works: Mapping[InstanceId, Work]) -> None:
        """Take in what a peer has at some upstreams."""
        for instance, work in works.items():
            state = self._states.get(instance)
            if state:
                state.set_peer_work(host, work)

    def forget_peer(self, host: HostName) -> None:
        """Drop the work of a peer that can't be heard any more."""
        for state in self._states.values():
            if host in state.peers:
                state.set_peer_work(host, NO_WORK)

    def take_changed_work(self) -> dict[InstanceId, Work]:
        """Return this host's work where it has changed since the last call."""
        changed, self._changed = self._changed, set()
        return {i: state.own for i in changed if (state := self._states.get(i))}

    def list_own_work(self) -> dict[InstanceId, Work]:
        """Return all of this host's work."""
        return {i: state.own for i, state in self._states.items() if state.own.requests}

    def list_versions(self) -> tuple[tuple[InstanceId, ModelName, int], ...]:
        """Return the versions that engines are known to have."""
        return tuple(
            (instance, model, version)
            for instance, state in self._states.items()
            for model, version in state.versions.items()
        )

    def record_health_signal(
        self,
        instance: InstanceId,
        health_signal: HealthSignal,
        now: float,
        seconds: float | None = None,
    ) -> None:
        """Record how a request ended, and how long a plain call took in seconds."""
        state = self._states.get(instance)
        if state is None:
            return
        before = state.health
        state.health = record_health_signal(before, health_signal, now)
        if seconds is not None:
            state.call_seconds += SMOOTHING * (seconds - state.call_seconds)
        if state.health.is_paused(now) and not before.is_paused(now):
            log_event(
                Part.ROUTING,
                "upstream paused",
                upstream=instance,
                cause=health_signal.value,
                seconds=round(state.health.paused_until - now, 2),
            )

    def record_prefill_rate(self, instance: InstanceId, tokens: int, seconds: float) -> None:
        """Take in how long an engine took for the unread tokens before it."""
        state = self._states.get(instance)
        if state and seconds > 0:
            pace = tokens / seconds / DEFAULT_TOKENS_PER_SECOND
            pace = min(FASTEST_PACE, max(SLOWEST_PACE, pace)) * DEFAULT_TOKENS_PER_SECOND
            state.tokens_per_second += SMOOTHING * (pace - state.tokens_per_second)

    def _add(self, entry: UpstreamEntry, before: UpstreamState | None) -> None:
        log_event(
            Part.ROUTING,
            "upstream found" if before is None else "upstream restarted",
            upstream=entry.instance,
            service=entry.service,
            address=entry.address,
            versions=dict(entry.versions),
        )
        memory = PrefixTracker(self._capacities.get(entry.service, 0))
        state = UpstreamState(entry, memory, versions=dict(entry.versions))
        if before:
            state.own, state.peers, state.others = before.own, before.peers, before.others
        self._states[entry.instance] = state
        self._index()

    def set_capacity(self, service: ServiceName, tokens: int) -> None:
        """Bound what the engines of a service are expected to keep."""
        self._capacities[service] = int(CACHE_SHARE * tokens)
        for state in self._states.values():
            if state.entry.service == service:
                state.prefixes.set_capacity(self._capacities[service])

    def _index(self) -> None:
        by_service: dict[ServiceName, list[UpstreamState]] = {}
        for state in self._states.values():
            if state.is_ready:
                by_service.setdefault(state.entry.service, []).append(state)
        self._by_service = by_service
