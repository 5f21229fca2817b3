"""Run the controllers and deciders of many hosts against a fake store and clock.

Requests arrive at random hosts; what becomes of each depends on the version that serves it.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from turmericproxy.core import HostName, Incarnation, Refusal, ResultCode, RouteName, refuse
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.metrics import Metrics
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.registry import UpstreamRegistry, Work
from turmericproxy.platform.site import create_release_status
from turmericproxy.releases.controller import ReleaseController
from turmericproxy.releases.decider import (
    LEASE_GUARD_SECONDS,
    LEASE_KEY,
    LEASE_TABLE,
    RELEASE_TABLE,
    ReleaseDecider,
    read_row,
)
from turmericproxy.releases.messages import decode_release_notices, decode_release_reports
from turmericproxy.releases.orders import ReleaseBounds, ReleaseOrder, ReleasePhase, ReleaseState
from turmericproxy.rollout.lease_manager import LeaseManager
from turmericproxy.store import Changes, HistoryGone, StoreEras, TableState
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Row, Transaction
from turmericproxy.traffic.attempts import Attempt, AttemptCounts, Outcome

BOUNDS = ReleaseBounds(exposure_share=0.1, exposure_slack=50, rollback_seconds=5.0)
STEP_SECONDS = 0.1
# Time for a batch to reach the other hosts through two hubs.
DELAY_SECONDS = 0.12
# Time after which a host is no longer reachable, as fleet/peers.py has it.
PEER_TIMEOUT_SECONDS = 1.3
BOOKING, LOOKUP = RouteName("booking"), RouteName("lookup")


@dataclass(frozen=True)
class Served:
    """Result of a request at an upstream."""

    is_failure: bool = False
    seconds: float = 0.05


@dataclass(frozen=True)
class Visit:
    """One request at an upstream: when it was sent, where, and its result."""

    at: float
    host: str
    service: str
    route: str
    version: str
    result: Served


@dataclass
class FakeStore:
    """Hold rows of all tables; hosts reach it through ``StoreLink``."""

    read_clock: Callable[[], float]
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    version: int = 10
    era: int = 1
    is_available: bool = True
    eras: list[StoreEras] = field(default_factory=list)

    def copy(self) -> tuple[dict[tuple[str, str], Row], int]:
        return dict(self.rows), self.version

    def restore(self, copy: tuple[dict[tuple[str, str], Row], int]) -> None:
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        for eras in self.eras:
            eras.record(self.era)

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        for condition in transaction.conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.version if row else None) != condition.version:
                return Conflict((0,))
        self.version += 1
        for write in transaction.writes:
            self.rows[(write.table, write.key)] = Row(write.key, write.value, self.version)
        versions = {f"{w.table}/{w.key}": self.version for w in transaction.writes}
        return Committed(versions, self.era)


@dataclass
class StoreLink:
    """Reach the store from one host.

    ``before_write`` and ``after_write`` are called with each transaction, and may freeze or end the
    host; ``lost_answers`` counts the next commits that are applied but not answered.
    """

    store: FakeStore
    is_up: bool = True
    lost_answers: int = 0
    before_write: Callable[[Transaction], None] = lambda _transaction: None
    after_write: Callable[[Transaction], None] = lambda _transaction: None

    @property
    def is_reachable(self) -> bool:
        return self.is_up and self.store.is_available

    async def read_table(self, table: str) -> TableState | Refusal:
        if not self.is_reachable:
            return refuse(ResultCode.PLATFORM_UNAVAILABLE, "cut off")
        store = self.store
        rows = tuple(row for (name, _), row in store.rows.items() if name == table)
        return TableState(rows, store.version, store.read_clock() + 1000, store.era)

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        raise NotImplementedError

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        self.before_write(transaction)
        if not self.is_reachable:
            return AnswerLost("cut off")
        result = self.store.apply(transaction)
        self.after_write(transaction)
        if self.lost_answers and isinstance(result, Committed):
            self.lost_answers -= 1
            return AnswerLost("no answer")
        return result


class FrozenError(Exception):
    """End a host's turn in the middle of a write, as SIGKILL or SIGSTOP does."""


@dataclass
class Host:
    """One host: its parts, what it knows of others, and whether it runs."""

    name: HostName
    domain: str
    registry: UpstreamRegistry
    controller: ReleaseController
    decider: ReleaseDecider
    link: StoreLink
    incarnation: Incarnation
    is_running: bool = True
    heard: dict[HostName, float] = field(default_factory=dict)
    open_calls: list[tuple[float, InstanceId, RouteName, Served]] = field(default_factory=list)


class Fleet:
    """Run hosts over a fake clock; tests change ``serve`` and break links meanwhile.

    ``serve`` tells what becomes of a request by its version, route and the share of the requests of
    the last second that its version got. ``severed`` are the hosts cut off from the other hosts.
    """

    def __init__(
        self,
        hosts: int = 8,
        *,
        seed: int = 1,
        rate: float = 120.0,
        services: tuple[str, ...] = ("web",),
        start: bool = True,
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        # Hosts take the start of their running sums from the module's source.
        random.seed(seed)
        self.rate = rate
        self.services = [ServiceName(name) for name in services]
        self.store = FakeStore(lambda: self.now)
        self.entries: dict[InstanceId, UpstreamEntry] = {}
        self.visits: list[Visit] = []
        self.refused: list[float] = []
        self.severed: set[HostName] = set()
        self.routes = [BOOKING, LOOKUP]
        self.serve: Callable[[str, RouteName, float], Served] = lambda *_args: Served()
        self.orders: dict[ServiceName, ReleaseOrder] = {}
        self._restarts = 0
        self._messages: list[tuple[float, Host, Any, Any]] = []
        self.hosts: dict[HostName, Host] = {}
        for number in range(hosts):
            self.start_host(HostName(f"h{number:02}"), "ab"[number % 2])
        if start:
            for service in self.services:
                for version in ("v1", "v2"):
                    for number in range(4):
                        self.register(f"{service}-{version}-{number}", service, version)

    def start_host(self, name: HostName, domain: str) -> Host:
        """Start or restart a host, which knows only what is in the store."""
        registry, link, eras, metrics = (
            UpstreamRegistry(),
            StoreLink(self.store),
            StoreEras(),
            Metrics(),
        )
        eras.record(self.store.era)
        self.store.eras.append(eras)

        def read_clock() -> float:
            return self.now

        def list_reachable() -> list[HostName]:
            return self._list_heard(name, PEER_TIMEOUT_SECONDS)

        def is_in_contact() -> bool:
            return len(list_reachable()) + 1 > len(self.hosts) / 2

        controller = ReleaseController(registry, read_clock, is_in_contact, metrics)
        lease = LeaseManager(
            link,
            name,
            LEASE_GUARD_SECONDS,
            read_clock,
            is_first_start=True,
            table=LEASE_TABLE,
            key=LEASE_KEY,
        )
        # As at the start of a decider.
        asyncio.run(lease.observe())
        decider = ReleaseDecider(
            controller,
            BOUNDS,
            link,
            lease,
            name,
            list_reachable,
            lambda seconds: self._list_heard(name, seconds),
            create_release_status,
            read_clock,
            metrics,
        )
        eras.add_listener(decider.verify)
        self._restarts += 1
        incarnation = Incarnation(str(self._restarts))
        host = Host(name, domain, registry, controller, decider, link, incarnation)
        host.heard = {other: self.now for other in self.hosts if other != name}
        for other in self.hosts.values():
            other.heard[name] = self.now
        self.hosts[name] = host
        for entry in self.entries.values():
            registry.update(entry)
        for order in self.orders.values():
            controller.record_order(order, is_new=False)
        return host

    def register(self, name: str, service: str, version: str, domain: str = "a") -> None:
        entry = UpstreamEntry(
            InstanceId(name),
            ServiceName(service),
            "10.0.0.1:80",
            domain,
            8,
            EntryState.READY,
            1,
            software=version,
        )
        self.entries[entry.instance] = entry
        for host in self.hosts.values():
            host.registry.update(entry)

    def remove(self, name: str) -> None:
        del self.entries[InstanceId(name)]
        for host in self.hosts.values():
            host.registry.remove(InstanceId(name))

    def order(self, version: str = "v2", duration: float = 60.0, service: str = "web") -> None:
        self.store.version += 1
        order = ReleaseOrder(ServiceName(service), version, duration, self.store.version)
        self.orders[order.service] = order
        for host in self.hosts.values():
            host.controller.record_order(order, is_new=True)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Run until a condition holds, or for some seconds; return the seconds it took."""
        return asyncio.run(self._run(seconds, until))

    async def _run(self, seconds: float, until: Callable[[], bool]) -> float:
        started = self.now
        while self.now < started + seconds and not until():
            self.now += STEP_SECONDS
            self._deliver()
            self._end_calls()
            self._send_requests()
            for host in list(self.hosts.values()):
                if host.is_running:
                    await self._run_host(host)
        return self.now - started

    async def _run_host(self, host: Host) -> None:
        if host.link.is_reachable:
            self._follow_store(host)
        # A real decider checks every 0.2 s.
        if round(self.now / STEP_SECONDS) % 2 == 0:
            try:
                await host.decider.check()
            except FrozenError:
                host.is_running = False
        notices, reports = host.controller.take_messages()
        # Empty messages stand for heartbeats. As on the wire, nothing is shared by two hosts.
        self._messages.append((self.now + DELAY_SECONDS, host, notices, reports))

    def _follow_store(self, host: Host) -> None:
        for (table, _), row in self.store.rows.items():
            if table == RELEASE_TABLE and (state := read_row(row)):
                host.controller.adopt(state, is_written=True)
        host.controller.record_contact()
        host.controller.is_loaded = True

    def _deliver(self) -> None:
        due = [message for message in self._messages if message[0] <= self.now]
        self._messages = [message for message in self._messages if message[0] > self.now]
        for _, sender, notices, reports in due:
            for host in self.hosts.values():
                if host is sender or not host.is_running or self._is_cut(sender.name, host.name):
                    continue
                host.heard[sender.name] = self.now
                if notices or reports:
                    host.controller.receive(
                        sender.name,
                        sender.incarnation,
                        decode_release_notices(notices),
                        decode_release_reports(reports),
                    )

    def _is_cut(self, one: HostName, other: HostName) -> bool:
        return (one in self.severed) != (other in self.severed)

    def _list_heard(self, name: HostName, seconds: float) -> list[HostName]:
        heard = self.hosts[name].heard if name in self.hosts else {}
        return [other for other, at in heard.items() if self.now - at < seconds]

    def _send_requests(self) -> None:
        hosts = [host for host in self.hosts.values() if host.is_running]
        expected = self.rate * STEP_SECONDS
        count = int(expected) + (self.random.random() < expected % 1)
        for service in self.services:
            for _ in range(count if hosts else 0):
                self.send(self.random.choice(hosts), service)

    def send(self, host: Host, service: ServiceName) -> None:
        """Send one request, and once more if its first answer is a failure."""
        route = self.random.choice(self.routes)
        request = cast(
            Any,
            SimpleNamespace(
                service=SimpleNamespace(name=service),
                is_for_new_version=None,
                attempt_counts=AttemptCounts(),
            ),
        )
        excluded: frozenset[InstanceId] = frozenset()
        for _ in range(2):
            ready = host.registry.list_ready(service)
            states = host.controller.select(request, ready, excluded)
            usable = [state for state in states if state.entry.instance not in excluded]
            if not usable:
                self.refused.append(self.now)
                return
            state = self.random.choice(usable)
            instance, version = state.entry.instance, state.entry.software
            result = self.serve(version, route, self.measure_share(service, version))
            self.visits.append(Visit(self.now, host.name, service, route, version, result))
            host.registry.add_work(instance, Work(1))
            host.controller.record_start(instance)
            host.open_calls.append((self.now + result.seconds, instance, route, result))
            if not result.is_failure:
                return
            excluded |= {instance}
            request.attempt_counts = AttemptCounts(1, 1, 1)

    def _end_calls(self) -> None:
        for host in self.hosts.values():
            still_open = []
            for call in host.open_calls:
                at, instance, route, result = call
                if at > self.now:
                    still_open.append(call)
                    continue
                outcome = Outcome.BROKEN if result.is_failure else Outcome.ANSWERED
                host.controller.record_end(instance, route, Attempt(outcome), result.seconds)
                host.registry.add_work(instance, Work(-1))
            host.open_calls = still_open

    def measure_share(self, service: str, version: str) -> float:
        """Return a version's share of the requests of the last second."""
        recent: Counter[str] = Counter()
        for visit in reversed(self.visits):
            if visit.at < self.now - 1.0:
                break
            if visit.service == service:
                recent[visit.version] += 1
        return recent[version] / max(1, recent.total())

    def find_state(self, service: str = "web") -> ReleaseState | None:
        """Return the state that is in the store."""
        row = self.store.rows.get((RELEASE_TABLE, service))
        return read_row(row) if row else None

    def find_phase(self, service: str = "web") -> ReleasePhase | None:
        state = self.find_state(service)
        return state.phase if state else None

    def find_status(self, service: str = "web") -> bytes | None:
        row = self.store.rows.get(("status", f"rollout/{service}"))
        return row.value if row else None

    def is_decided(self, service: str = "web") -> bool:
        phase = self.find_phase(service)
        return phase is not None and phase.is_final

    def find_decider(self) -> Host:
        """Return the host that holds the lease."""
        return next(h for h in self.hosts.values() if h.decider._lease.is_held())

    def count(self, version: str, service: str = "web", *, since: float = 0.0) -> int:
        """Return the requests that a version got after a time."""
        return sum(
            v.version == version and v.service == service and v.at > since for v in self.visits
        )

    def list_open(self, version: str) -> list[InstanceId]:
        """Return the upstreams of a version that have requests open."""
        return [
            instance
            for host in self.hosts.values()
            for _, instance, _, _ in host.open_calls
            if host.is_running and self.entries[instance].software == version
        ]


def measure_exposure(fleet: Fleet, ordered_at: float, duration: float) -> float:
    """Return the requests of v2 since an order, as a share of what is allowed.

    The requests that reach the service until the deadline are counted at the fleet's rate.
    """
    allowed = BOUNDS.exposure_share * fleet.rate * duration + BOUNDS.exposure_slack
    return fleet.count("v2", since=ordered_at) / allowed


def check_exposure(fleet: Fleet, ordered_at: float, duration: float, *, share: float = 1.0) -> None:
    """Check the exposure of v2 since an order, and that it ends soon after 50 bad answers."""
    assert measure_exposure(fleet, ordered_at, duration) <= share
    exposed = [v for v in fleet.visits if v.at > ordered_at and v.version == "v2"]
    bad = [visit.at for visit in exposed if visit.result.is_failure or visit.result.seconds > 0.3]
    if len(bad) >= 50:
        assert max(visit.at for visit in exposed) <= bad[49] + BOUNDS.rollback_seconds
