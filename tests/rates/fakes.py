"""Simulate the platform, the links and the clock in one thread, with injected faults."""

import copy
import random
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field
from typing import Any

from turmericproxy.configuration import Account, Kind, Snapshot, replace_resource
from turmericproxy.core import (
    DomainName,
    HostName,
    Incarnation,
    ResultCode,
    Revision,
    create_id,
    refuse,
)
from turmericproxy.peers import PeerState
from turmericproxy.rates.ledger import Member
from turmericproxy.rates.managers import RateManagers, create_managers
from turmericproxy.settings.schema import RateSettings
from turmericproxy.standins.platform_tables import TableState
from turmericproxy.tables import (
    AnswerLost,
    Committed,
    Conflict,
    HostEntry,
    HostList,
    HostState,
    Row,
    Transaction,
)

PLATFORM_DOWN = refuse(ResultCode.PLATFORM_UNAVAILABLE, "unavailable")
NO_LINK = refuse(ResultCode.UPSTREAM_FAILED, "no link")


class Clock:
    """Provide a time that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


@dataclass
class Faults:
    """Configure the faults of a simulation.

    ``call_faults`` and ``commit_faults`` apply to the next calls, last one first: a "lost" one
    takes effect but its answer is lost, a "late" one is added to ``delayed`` and may take effect at
    any later time, and a "refused" commit fails. Hosts in ``unhealthy`` fail the platform's health
    probes and those in ``heartbeats_lost`` lose their heartbeats, although they are running.
    """

    cut_links: set[frozenset[HostName]] = field(default_factory=set)
    cut_from_platform: set[HostName] = field(default_factory=set)
    is_platform_down: bool = False
    unhealthy: set[HostName] = field(default_factory=set)
    heartbeats_lost: set[HostName] = field(default_factory=set)
    call_faults: list[str] = field(default_factory=list)
    commit_faults: list[str] = field(default_factory=list)
    delayed: list[Any] = field(default_factory=list)
    max_delay_seconds: float = 0.0


class Simulation:
    """Simulate the platform's table and several hosts with injected faults."""

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.table = TableState()
        self.snapshot = Snapshot()
        self.hosts: dict[HostName, Process] = {}
        self.domains: dict[HostName, DomainName] = {}

    def set_account(self, name: str, rate: float, burst: int) -> None:
        revision = Revision(self.snapshot.revision + 1)
        account = Account(name=name, rate=rate, burst=burst)
        self.snapshot = replace_resource(self.snapshot, Kind.ACCOUNT, name, account, revision)

    def advance_clock_randomly(self) -> None:
        self.clock.now += self.rng.uniform(0, self.faults.max_delay_seconds)


class InlineExecutor(Executor):
    """Run each call in the caller's thread, so that a seed always gives the same run."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class Process:
    """Run the managers of one incarnation of a host, as their platform client and links."""

    def __init__(
        self, simulation: Simulation, host: str, domain: str, settings: RateSettings
    ) -> None:
        self.simulation = simulation
        self.host = HostName(host)
        self.incarnation = Incarnation(create_id())
        self.member = Member(self.host, DomainName(domain))
        self.handlers: dict[str, Any] = {}
        self.is_paused = False
        self.is_dead = False
        simulation.hosts[self.host] = self
        simulation.domains[self.host] = self.member.domain
        self.managers: RateManagers = create_managers(
            self,
            self,
            lambda: simulation.snapshot,
            settings,
            self.member,
            self.incarnation,
            simulation.clock.read,
            InlineExecutor(),
        )

    @property
    def is_running(self) -> bool:
        return not self.is_paused and not self.is_dead

    # Interface ``Platform``.

    def _is_platform_unreachable(self) -> bool:
        faults = self.simulation.faults
        return faults.is_platform_down or self.host in faults.cut_from_platform

    def read_row(self, table: str, key: str) -> Any:
        if self._is_platform_unreachable():
            return PLATFORM_DOWN
        row = self.simulation.table.read_row(table, key)
        self.simulation.advance_clock_randomly()
        return Row(row.key, copy.deepcopy(row.value), row.version) if row else None

    def list_rows(self, table: str, prefix: str = "", after: str = "", limit: int = 1000) -> Any:
        if self._is_platform_unreachable():
            return PLATFORM_DOWN
        rows = self.simulation.table.list_rows(table, prefix, after, limit)
        self.simulation.advance_clock_randomly()
        return tuple(Row(r.key, copy.deepcopy(r.value), r.version) for r in rows)

    def commit(self, transaction: Transaction) -> Any:
        if self._is_platform_unreachable():
            return PLATFORM_DOWN
        body = transaction.to_json()

        def apply() -> Any:
            return self.simulation.table.apply_transaction(body["conditions"], body["writes"])

        fault = _pop_fault(self.simulation.faults.commit_faults)
        if fault == "refused":
            return PLATFORM_DOWN
        if fault == "late":
            self.simulation.faults.delayed.append(apply)
            return AnswerLost("late")
        result = apply()
        self.simulation.advance_clock_randomly()
        if fault == "lost":
            return AnswerLost("lost")
        if result.failed:
            return Conflict(result.failed)
        return Committed(result.versions)

    def list_hosts(self) -> Any:
        if self._is_platform_unreachable():
            return PLATFORM_DOWN
        simulation = self.simulation
        entries = []
        for host, process in simulation.hosts.items():
            is_gone = not process.is_running or host in simulation.faults.cut_from_platform
            is_gone = is_gone or host in simulation.faults.unhealthy
            state = HostState.GONE if is_gone else HostState.LIVE
            entries.append(HostEntry(host, simulation.domains[host], "", "", state, 1.0))
        return HostList(tuple(entries), simulation.clock.now)

    # Interface ``Links``.

    def register(self, kind: str, handler: Any) -> None:
        self.handlers[kind] = handler

    def _find_peer(self, host: HostName) -> "Process | None":
        peer = self.simulation.hosts.get(host)
        is_link_cut = frozenset((self.host, host)) in self.simulation.faults.cut_links
        return peer if peer and peer.is_running and not is_link_cut else None

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        peer = self._find_peer(host)
        if peer is None:
            return NO_LINK
        fault = _pop_fault(self.simulation.faults.call_faults)
        if fault == "late":
            self.simulation.faults.delayed.append(
                lambda: peer.is_running and peer.handlers[kind](self.host, body)
            )
            return NO_LINK
        self.simulation.advance_clock_randomly()
        reply = peer.handlers[kind](self.host, copy.deepcopy(body))
        self.simulation.advance_clock_randomly()
        return NO_LINK if fault == "lost" else reply

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        return self.call(host, kind, body) is not NO_LINK

    def broadcast(self, kind: str, body: Any) -> int:
        return sum(
            self.send(host, kind, body) for host in self.simulation.hosts if host != self.host
        )

    def list_reachable(self) -> tuple[PeerState, ...]:
        heartbeats_lost = self.simulation.faults.heartbeats_lost
        peers = [self._find_peer(host) for host in self.simulation.hosts if host != self.host]
        return tuple(
            PeerState(peer.host, peer.member.domain, peer.incarnation, {})
            for peer in peers
            if peer and peer.host not in heartbeats_lost
        )

    # One iteration of the threads.

    def run_once(self, part: str = "all") -> None:
        if not self.is_running:
            return
        self.managers.local_buckets.record_tick()
        if part in ("host", "all"):
            self.managers.host.run_once()
        if part in ("ledger", "all"):
            self.managers.ledger.run_once()
            self.managers.regrant.run_once()


def _pop_fault(faults: list[str]) -> str:
    return faults.pop() if faults else "none"
