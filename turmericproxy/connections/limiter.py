"""Count this host's connections to servers, and decide whether one more may be opened."""

import asyncio
import copy
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from turmericproxy.connections.division import Division, HostRank, divide, may_open
from turmericproxy.core import HostName, RequestId
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.core.ids import InstanceId
from turmericproxy.limits.controller import FleetView
from turmericproxy.logs import Part, log_decision
from turmericproxy.metrics import Metrics
from turmericproxy.placement.registry import UpstreamState

# Interval between two looks at the fleet and at this host's own connections. Hosts send each other
# their work every 40 ms; what was opened within the last one or two intervals counts as unheard.
REFRESH_SECONDS = 0.1


class _Candidate(NamedTuple):
    """Hold a server that a request may be sent to, and the connections that it accepts."""

    state: UpstreamState
    limit: int


class _HostPart(NamedTuple):
    """Hold this host's part of a server's connections, while the fleet and the limit stay."""

    limit: int
    rank: HostRank
    division: Division


@dataclass(eq=False)
class _Waiter:
    """Hold a request that waits for a connection to one of some servers."""

    request_id: RequestId
    candidates: Sequence[_Candidate]
    granted: asyncio.Event


class ConnectionLimiter:
    """Keep one host within its part of the connections; ``describe_fleet`` returns the hosts."""

    def __init__(
        self,
        host: HostName,
        describe_fleet: Callable[[], FleetView],
        read_clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._describe_fleet = describe_fleet
        self._read_clock = read_clock
        self._metrics = metrics
        self._fleet = FleetView((host,), 1)
        self._refreshed_at = float("-inf")
        # Open connections, now and at the last two refreshes.
        self._open: dict[InstanceId, int] = {}
        self._newer: dict[InstanceId, int] = {}
        self._older: dict[InstanceId, int] = {}
        self._parts: dict[InstanceId, _HostPart] = {}
        self._waiters: list[_Waiter] = []
        # Connections that are kept for requests that have waited, counted as open.
        self._grants: dict[RequestId, InstanceId] = {}

    def create_trial(self) -> "ConnectionLimiter":
        """Return a copy that can try a decision: what it records has no effect on this one."""
        trial = copy.copy(self)
        trial._metrics = Metrics()
        trial._open = dict(self._open)
        trial._newer, trial._older = dict(self._newer), dict(self._older)
        trial._parts, trial._grants, trial._waiters = dict(self._parts), dict(self._grants), []
        return trial

    def may_open(self, state: UpstreamState, limit: int, request_id: RequestId) -> bool:
        """Return whether a request may be sent; ``limit`` 0 means that the server names none."""
        instance = state.entry.instance
        if not limit or self._grants.get(request_id) == instance:
            return True
        if self._has_room(_Candidate(state, limit)):
            return True
        self._metrics.count("connection_limited_requests", upstream=instance)
        log_decision(
            Part.ROUTING,
            "connections in use",
            request_id=request_id,
            upstream=instance,
            max_connections=limit,
            own=self._open.get(instance, 0),
            peers=state.total_peer_work.requests,
            hosts=self._fleet.running,
        )
        return False

    def list_full(self, states: Iterable[UpstreamState], limit: int) -> list[UpstreamState]:
        """Return the servers to which no more connections may be opened for now."""
        return [s for s in states if limit and not self._has_room(_Candidate(s, limit))]

    def record_start(self, instance: InstanceId, request_id: RequestId) -> None:
        """Count a connection that is about to be opened."""
        if self._grants.get(request_id) == instance:
            del self._grants[request_id]  # counted since it was kept
            return
        self.release(request_id)
        self._open[instance] = self._open.get(instance, 0) + 1

    def record_end(self, instance: InstanceId) -> None:
        """Count a connection that has been closed, and let a waiting request have it."""
        count = self._open.get(instance, 0) - 1
        if count > 0:
            self._open[instance] = count
        else:
            self._open.pop(instance, None)
        if self._waiters:
            self._grant(instance)

    async def wait(
        self,
        states: Iterable[UpstreamState],
        limit: int,
        request_id: RequestId,
        seconds: float,
    ) -> bool:
        """Wait for a connection to one of some servers; return whether one is kept for the request.

        It is kept until the request is sent or ``release`` is called.
        """
        candidates = [_Candidate(state, limit) for state in states]
        waiter = _Waiter(request_id, candidates, asyncio.Event())
        until = self._read_clock() + seconds
        self._waiters.append(waiter)
        try:
            while not waiter.granted.is_set() and (left := until - self._read_clock()) > 0:
                try:
                    # Connections that other hosts close are seen only with the next refresh.
                    await asyncio.wait_for(waiter.granted.wait(), min(left, REFRESH_SECONDS))
                except TimeoutError:
                    self._try_grant(waiter, None)
            return waiter.granted.is_set()
        finally:
            self._waiters.remove(waiter)

    def release(self, request_id: RequestId) -> None:
        """Let others have the connection that was kept for a request, if there is one."""
        instance = self._grants.pop(request_id, None)
        if instance is not None:
            self.record_end(instance)

    def _grant(self, instance: InstanceId) -> None:
        """Keep a connection for the request that has waited for the longest time."""
        for waiter in self._waiters:
            if not waiter.granted.is_set() and self._try_grant(waiter, instance):
                return

    def _try_grant(self, waiter: _Waiter, instance: InstanceId | None) -> bool:
        for candidate in waiter.candidates:
            found = candidate.state.entry.instance
            if instance in (None, found) and self._has_room(candidate):
                self._open[found] = self._open.get(found, 0) + 1
                self._grants[waiter.request_id] = found
                waiter.granted.set()
                return True
        return False

    def _has_room(self, candidate: _Candidate) -> bool:
        self._refresh()
        state, limit = candidate
        instance = state.entry.instance
        known = self._parts.get(instance)
        if known is None or known.limit != limit:
            rank = self._rank(instance)
            known = self._parts[instance] = _HostPart(limit, rank, divide(limit, rank))
        own = self._open.get(instance, 0)
        if own < known.division.guaranteed:
            return True
        before = min(own, self._newer.get(instance, 0), self._older.get(instance, 0))
        peers = (work.requests for work in state.work_by_peer.values())
        return may_open(known.division, known.rank, own, before, peers)

    def _refresh(self) -> None:
        now = self._read_clock()
        elapsed = now - self._refreshed_at
        if elapsed < REFRESH_SECONDS:
            return
        # After a pause, what is open now has been open for longer than reports take.
        self._older = self._newer if elapsed < 2 * REFRESH_SECONDS else self._open.copy()
        self._newer = self._open.copy()
        self._refreshed_at = now
        fleet = self._describe_fleet()
        if fleet != self._fleet:
            self._fleet = fleet
            self._parts.clear()

    def _rank(self, instance: InstanceId) -> HostRank:
        """Return this host's rank for a server; ranks differ by server, as do the remainders."""
        own = compute_rendezvous_weight(instance, self._host)
        hosts = self._fleet.hosts
        rank = sum(compute_rendezvous_weight(instance, host) < own for host in hosts)
        return HostRank(rank, len(hosts), self._fleet.running)
