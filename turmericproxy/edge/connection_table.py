"""Bound the connections of clients, and choose which one is closed for a new one."""

from collections.abc import Iterable
from typing import Protocol

from turmericproxy.edge.causes import Cause, CauseReporter


class Evictable(Protocol):
    """A connection that can be closed in favour of another one."""

    @property
    def is_evictable(self) -> bool:
        """Return whether the connection has no whole request and no answer under way."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionTable:
    """Know the open connections by peer address, in the order of their last whole request.

    ``limit`` is the maximum number of connections.
    """

    def __init__(self, limit: float, reporter: CauseReporter) -> None:
        self._limit = limit
        self._reporter = reporter
        self._by_peer: dict[str, dict[Evictable, None]] = {}
        self._peers: dict[Evictable, str] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def add(self, peer: str, connection: Evictable) -> None:
        """Add a new connection of a peer address."""
        self._peers[connection] = peer
        self._by_peer.setdefault(peer, {})[connection] = None

    def remove(self, connection: Evictable) -> None:
        """Remove a connection that is closed; ignore one that isn't known."""
        peer = self._peers.pop(connection, None)
        if peer is None:
            return
        connections = self._by_peer[peer]
        del connections[connection]
        if not connections:
            del self._by_peer[peer]

    def record_request(self, connection: Evictable) -> None:
        """Make a connection the most recently used one, since it has sent a whole request."""
        peer = self._peers.get(connection)
        if peer is not None:
            connections = self._by_peer[peer]
            del connections[connection]
            connections[connection] = None

    def make_room(self) -> bool:
        """Return whether one more connection may be accepted, after closing one if necessary."""
        return len(self._peers) < self._limit or self.evict()

    def evict(self) -> bool:
        """Close a connection without a request; return whether there was one.

        It is the least recently used one of the peer with the most connections, so that a flood
        closes those of its own origin, and a new connection has time to send its request.
        """
        victim = self._choose()
        if victim is None:
            return False
        self._reporter.report(Cause.EVICTED, peer=self._peers[victim], connections=len(self))
        self.remove(victim)
        victim.abort()
        return True

    def _choose(self) -> Evictable | None:
        most = max(self._by_peer, key=lambda peer: len(self._by_peer[peer]), default=None)
        if most is None:
            return None
        victim = _find_evictable(self._by_peer[most])
        if victim:
            return victim
        for peer in sorted(self._by_peer, key=lambda peer: -len(self._by_peer[peer])):
            victim = _find_evictable(self._by_peer[peer])
            if victim:
                return victim
        return None


def _find_evictable(connections: Iterable[Evictable]) -> Evictable | None:
    return next((connection for connection in connections if connection.is_evictable), None)
