"""Choose among the plain services of a route: upstreams that are not inference engines."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericproxy.configuration import Route, Snapshot, Upstream, UpstreamState
from turmericproxy.core import (
    DomainName,
    HostName,
    Refusal,
    ResultCode,
    UpstreamName,
    read_boottime,
    refuse,
)
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.logs import Part, log_decision
from turmericproxy.routing.health import Health, update_health
from turmericproxy.routing.requests import AttemptOutcome, UpstreamChoice

RETRY_AFTER_SECONDS = 0.5


@dataclass
class ServiceState:
    """Store the health, in-flight calls of this host and reported load of one plain service."""

    health: Health = field(default_factory=Health)
    in_flight: int = 0
    reported: int = 0

    def compute_load(self, upstream: Upstream) -> float:
        """Return the fraction of the service's slots that is in use."""
        return max(self.in_flight, self.reported) / upstream.slots


class ServiceSelector:
    """Choose the healthy service with the least load, preferring the local failure domain."""

    def __init__(
        self,
        domain: DomainName,
        host: HostName,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self._domain = domain
        self._host = host
        self._read_clock = read_clock
        self._states: dict[UpstreamName, ServiceState] = {}
        self._lock = threading.Lock()

    def choose(
        self, snapshot: Snapshot, route: Route, excluded: frozenset[UpstreamName]
    ) -> UpstreamChoice | Refusal:
        """Return the service for the next call of the route."""
        now = self._read_clock()
        found = [snapshot.find_upstream(name) for name in route.upstreams if name not in excluded]
        active = [u for u in found if u is not None and u.state is UpstreamState.ACTIVE]
        with self._lock:
            healthy = [u for u in active if not self._get_state(u).health.is_ejected(now)]
            # If all services are ejected, some may have recovered: each may get one call at a time.
            usable = healthy or active
            free = [u for u in usable if self._has_free_slot(u, now)]
            if not free:
                return _refuse_call(bool(usable))
            chosen = min(free, key=self._create_sort_key)
            load = self._get_state(chosen).compute_load(chosen)
        log_decision(
            Part.ROUTING,
            "service chosen",
            route=route.name,
            upstream=chosen.name,
            load=round(load, 3),
            choices=len(free),
        )
        return UpstreamChoice(UpstreamName(chosen.name), chosen.address, DomainName(chosen.domain))

    def record_start(self, upstream: UpstreamName) -> None:
        """Count a call that starts."""
        with self._lock:
            self._states.setdefault(upstream, ServiceState()).in_flight += 1

    def record_end(self, upstream: UpstreamName, outcome: AttemptOutcome) -> None:
        """Remove an ended call from the in-flight count, and update the service's health."""
        with self._lock:
            state = self._states.setdefault(upstream, ServiceState())
            state.in_flight = max(0, state.in_flight - 1)
            state.health = update_health(state.health, outcome, self._read_clock())

    def record_report(self, upstream: UpstreamName, running: int) -> None:
        """Record the number of running calls that a service reported."""
        with self._lock:
            self._states.setdefault(upstream, ServiceState()).reported = running

    def record_poll_failure(self, upstream: UpstreamName, outcome: AttemptOutcome) -> None:
        """Update the health of a service after a failed load poll."""
        with self._lock:
            state = self._states.setdefault(upstream, ServiceState())
            state.health = update_health(state.health, outcome, self._read_clock())

    def describe(self) -> dict[str, dict[str, object]]:
        """Return the current state of each service, by name."""
        now = self._read_clock()
        with self._lock:
            return {
                name: {
                    "in_flight": state.in_flight,
                    "reported": state.reported,
                    "share": round(state.health.compute_slot_fraction(now), 3),
                }
                for name, state in sorted(self._states.items())
            }

    def _get_state(self, upstream: Upstream) -> ServiceState:
        return self._states.setdefault(UpstreamName(upstream.name), ServiceState())

    def _has_free_slot(self, upstream: Upstream, now: float) -> bool:
        state = self._get_state(upstream)
        return state.in_flight < max(
            1, int(upstream.slots * state.health.compute_slot_fraction(now))
        )

    def _create_sort_key(self, upstream: Upstream) -> tuple[int, bool, int]:
        load_tenths = int(self._get_state(upstream).compute_load(upstream) * 10)
        is_remote = upstream.domain != self._domain
        return load_tenths, is_remote, -compute_rendezvous_weight(self._host, upstream.name)


def _refuse_call(has_active: bool) -> Refusal:
    if has_active:
        reason = "every service of the route has all its slots in use"
        return refuse(ResultCode.OVERLOADED, reason, retry_after=RETRY_AFTER_SECONDS)
    reason = "no service of the route is active"
    return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER_SECONDS)
