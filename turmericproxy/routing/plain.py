"""Choose among the plain services of a route."""

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
from turmericproxy.routing.health import Health, record_ending
from turmericproxy.routing.requests import AttemptOutcome, UpstreamChoice

RETRY_AFTER = 0.5


@dataclass
class ServiceState:
    """Hold the health, own calls and reported load of one plain service."""

    health: Health = field(default_factory=Health)
    in_flight: int = 0
    reported: int = 0

    def measure_load(self, upstream: Upstream) -> float:
        """Return the part of the service's slots that is taken."""
        return max(self.in_flight, self.reported) / upstream.slots


class PlainSelector:
    """Take the healthy service with the least load, the own failure domain first."""

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
        """Return the service that takes the next call of the route."""
        now = self._read_clock()
        found = [snapshot.find_upstream(name) for name in route.upstreams if name not in excluded]
        active = [u for u in found if u is not None and u.state is UpstreamState.ACTIVE]
        with self._lock:
            healthy = [u for u in active if not self._get_state(u).health.is_ejected(now)]
            # With every service ejected one may be back already: each is tried with one call.
            usable = healthy or active
            free = [u for u in usable if self._has_room(u, now)]
            if not free:
                return _refuse_call(bool(usable))
            taken = min(free, key=self._rank)
            load = self._get_state(taken).measure_load(taken)
        log_decision(
            Part.ROUTING,
            "service chosen",
            route=route.name,
            upstream=taken.name,
            load=round(load, 3),
            choices=len(free),
        )
        return UpstreamChoice(UpstreamName(taken.name), taken.address, DomainName(taken.domain))

    def record_start(self, upstream: UpstreamName) -> None:
        """Count a call that starts."""
        with self._lock:
            self._states.setdefault(upstream, ServiceState()).in_flight += 1

    def record_end(self, upstream: UpstreamName, kind: AttemptOutcome) -> None:
        """Count a call that ended."""
        with self._lock:
            state = self._states.setdefault(upstream, ServiceState())
            state.in_flight = max(0, state.in_flight - 1)
            state.health = record_ending(state.health, kind, self._read_clock())

    def record_report(self, upstream: UpstreamName, running: int) -> None:
        """Take in a service's report of its load."""
        with self._lock:
            self._states.setdefault(upstream, ServiceState()).reported = running

    def record_silence(self, upstream: UpstreamName, kind: AttemptOutcome) -> None:
        """Take in that a service did not report its load."""
        with self._lock:
            state = self._states.setdefault(upstream, ServiceState())
            state.health = record_ending(state.health, kind, self._read_clock())

    def describe(self) -> dict[str, dict[str, object]]:
        """Return what the host knows of each service, by name."""
        now = self._read_clock()
        with self._lock:
            return {
                name: {
                    "in_flight": state.in_flight,
                    "reported": state.reported,
                    "share": round(state.health.measure_share(now), 3),
                }
                for name, state in sorted(self._states.items())
            }

    def _get_state(self, upstream: Upstream) -> ServiceState:
        return self._states.setdefault(UpstreamName(upstream.name), ServiceState())

    def _has_room(self, upstream: Upstream, now: float) -> bool:
        state = self._get_state(upstream)
        return state.in_flight < max(1, int(upstream.slots * state.health.measure_share(now)))

    def _rank(self, upstream: Upstream) -> tuple[int, bool, int]:
        busy_tenths = int(self._get_state(upstream).measure_load(upstream) * 10)
        is_far = upstream.domain != self._domain
        return busy_tenths, is_far, -compute_rendezvous_weight(self._host, upstream.name)


def _refuse_call(has_active: bool) -> Refusal:
    if has_active:
        reason = "every service of the route has its slots taken"
        return refuse(ResultCode.OVERLOADED, reason, retry_after=RETRY_AFTER)
    reason = "no service of the route is active"
    return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=RETRY_AFTER)
