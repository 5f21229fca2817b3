"""Stand in for the platform, the links and the clock inside one thread, with faults on demand."""

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

AWAY = refuse(ResultCode.PLATFORM_UNAVAILABLE, "away")
NO_LINK = refuse(ResultCode.UPSTREAM_FAILED, "no link")


class Clock:
    """Tell a time that the test sets."""

    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


@dataclass
class Faults:
    """Hold what goes wrong; ``delayed`` are deliveries that may happen at any later time.

    The health probes of ``unhealthy`` hosts fail, and the heartbeats of the hosts in
    ``heartbeats_lost`` don't arrive, although both run.
    """

    cut: set[frozenset[HostName]] = field(default_factory=set)
    cut_from_platform: set[HostName] = field(default_factory=set)
    is_platform_down: bool = False
    unhealthy: set[HostName] = field(default_factory=set)
    heartbeats_lost: set[HostName] = field(default_factory=set)
    call_faults: list[str] = field(default_factory=list)
    commit_faults: list[str] = field(default_factory=list)
    delayed: list[Any] = field(default_factory=list)
    slowness: float = 0.0


class Simulation:
    """Hold the table, the hosts and the faults."""

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.faults = Faults()
        self.draw = random.Random(seed)
        self.table = TableState()
        self.snapshot = Snapshot()
        self.hosts: dict[HostName, Process] = {}
        self.domains: dict[HostName, DomainName] = {}

    def set_account(self, name: str, rate: float, burst: int) -> None:
        revision = Revision(self.snapshot.revision + 1)
        account = Account(name=name, rate=rate, burst=burst)
        self.snapshot = replace_resource(self.snapshot, Kind.ACCOUNT, name, account, revision)

    def pass_some_time(self) -> None:
        self.clock.now += self.draw.uniform(0, self.faults.slowness)


class InlineExecutor(Executor):
    """Run each call at once, so that a run is the same every time."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class Process:
    """Run the managers of one incarnation of a host."""

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
    def runs(self) -> bool:
        return not self.is_paused and not self.is_dead

    # The platform.

    def _is_away(self) -> bool:
        faults = self.simulation.faults
        return faults.is_platform_down or self.host in faults.cut_from_platform

    def read_row(self, table: str, key: str) -> Any:
        if self._is_away():
            return AWAY
        row = self.simulation.table.read_row(table, key)
        self.simulation.pass_some_time()
        return Row(row.key, copy.deepcopy(row.value), row.version) if row else None

    def list_rows(self, table: str, prefix: str = "", after: str = "", limit: int = 1000) -> Any:
        if self._is_away():
            return AWAY
        rows = self.simulation.table.list_rows(table, prefix, after, limit)
        self.simulation.pass_some_time()
        return tuple(Row(r.key, copy.deepcopy(r.value), r.version) for r in rows)

    def commit(self, transaction: Transaction) -> Any:
        if self._is_away():
            return AWAY
        body = transaction.to_json()

        def apply() -> Any:
            return self.simulation.table.apply_transaction(body["conditions"], body["writes"])

        fate = _take(self.simulation.faults.commit_faults)
        if fate == "refused":
            return AWAY
        if fate == "late":
            self.simulation.faults.delayed.append(apply)
            return AnswerLost("late")
        result = apply()
        self.simulation.pass_some_time()
        if fate == "lost":
            return AnswerLost("lost")
        if result.failed:
            return Conflict(result.failed)
        return Committed(result.versions)

    def list_hosts(self) -> Any:
        if self._is_away():
            return AWAY
        simulation = self.simulation
        entries = []
        for host, process in simulation.hosts.items():
            is_gone = not process.runs or host in simulation.faults.cut_from_platform
            is_gone = is_gone or host in simulation.faults.unhealthy
            state = HostState.GONE if is_gone else HostState.LIVE
            entries.append(HostEntry(host, simulation.domains[host], "", "", state, 1.0))
        return HostList(tuple(entries), simulation.clock.now)

    # The links.

    def register(self, kind: str, handler: Any) -> None:
        self.handlers[kind] = handler

    def _find_peer(self, host: HostName) -> "Process | None":
        peer = self.simulation.hosts.get(host)
        is_cut = frozenset((self.host, host)) in self.simulation.faults.cut
        return peer if peer and peer.runs and not is_cut else None

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        peer = self._find_peer(host)
        if peer is None:
            return NO_LINK
        fate = _take(self.simulation.faults.call_faults)
        if fate == "late":
            self.simulation.faults.delayed.append(
                lambda: peer.runs and peer.handlers[kind](self.host, body)
            )
            return NO_LINK
        self.simulation.pass_some_time()
        reply = peer.handlers[kind](self.host, copy.deepcopy(body))
        self.simulation.pass_some_time()
        return NO_LINK if fate == "lost" else reply

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        return self.call(host, kind, body) is not NO_LINK

    def broadcast(self, kind: str, body: Any) -> int:
        return sum(
            self.send(host, kind, body) for host in self.simulation.hosts if host != self.host
        )

    def list_reachable(self) -> tuple[PeerState, ...]:
        silent = self.simulation.faults.heartbeats_lost
        peers = [self._find_peer(host) for host in self.simulation.hosts if host != self.host]
        return tuple(
            PeerState(peer.host, peer.member.domain, peer.incarnation, {})
            for peer in peers
            if peer and peer.host not in silent
        )

    # Its threads.

    def run_once(self, part: str = "all") -> None:
        if not self.runs:
            return
        self.managers.local_buckets.record_tick()
        if part in ("host", "all"):
            self.managers.host.run_once()
        if part in ("ledger", "all"):
            self.managers.ledger.run_once()
            self.managers.regrant.run_once()


def _take(fates: list[str]) -> str:
    return fates.pop() if fates else "well"
