"""Keep links to the hosts that the settings and the platform name."""

from collections.abc import Iterable
from typing import Protocol

from turmericproxy.core import DomainName, HostName, Refusal
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part
from turmericproxy.peers.states import PeerAddress
from turmericproxy.peers.topology import Node, choose_neighbours
from turmericproxy.tables import HostEntry, HostList, HostState

LEAST_POLL_SECONDS = 2.0
POLL_SECONDS_PER_HOST = 0.1


class HostLister(Protocol):
    """Name the call to the platform that membership needs."""

    def list_hosts(self) -> HostList | Refusal:
        """Return the hosts that the platform lists."""


class PeerSetter(Protocol):
    """Name the call to the links that membership needs."""

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Keep links to exactly these hosts."""

    def set_directory(self, peers: Iterable[PeerAddress]) -> None:
        """Say where hosts are that are called without a link."""


def merge_peers(
    configured: Iterable[PeerAddress], listed: Iterable[HostEntry]
) -> dict[HostName, PeerAddress]:
    """Return all known hosts; what the platform lists goes before the settings.

    Hosts that are gone stay known, as they may come back and the list lags.
    """
    known = {peer.host: peer for peer in configured}
    for entry in listed:
        known[entry.host] = PeerAddress(entry.host, entry.domain, entry.peers)
    return known


def choose_peers(
    host: HostName,
    domain: DomainName,
    configured: Iterable[PeerAddress],
    listed: Iterable[HostEntry],
) -> frozenset[PeerAddress]:
    """Return the hosts to keep links to.

    In a large fleet the rings run over the hosts that are not listed as gone.
    """
    entries = tuple(listed)
    known = merge_peers(configured, entries)
    gone = {entry.host for entry in entries if entry.state is HostState.GONE}
    live = {peer.host: peer.domain for peer in known.values() if peer.host not in gone}
    nodes = [Node(name, own) for name, own in {**live, host: domain}.items()]
    chosen = choose_neighbours(host, nodes)
    if len(chosen) == len(nodes) - 1:
        chosen = frozenset(known)
    return frozenset(known[name] for name in chosen if name != host)


class MembershipController:
    """Follow the platform's list of hosts and set the links by it.

    While the platform is away, the links stay as they are.
    """

    def __init__(
        self,
        platform: HostLister,
        links: PeerSetter,
        host: HostName,
        domain: DomainName,
        configured: Iterable[PeerAddress],
    ) -> None:
        self._platform = platform
        self._links = links
        self._host = host
        self._domain = domain
        self._configured = tuple(configured)
        self._chosen: frozenset[PeerAddress] = frozenset()
        self._hosts = 0
        self._loop = Loop(Part.PEERS, "membership", self._follow_platform)

    def start(self) -> None:
        """Set the links by the settings at once, then follow the platform."""
        self._set_links(())
        self._loop.start()

    def close(self) -> None:
        """Stop following the platform."""
        self._loop.stop()

    def step(self) -> None:
        """Read the list of hosts and change the links if it asks for others."""
        hosts = self._platform.list_hosts()
        if not isinstance(hosts, Refusal):
            self._set_links(hosts.hosts)

    def _set_links(self, listed: Iterable[HostEntry]) -> None:
        entries = tuple(listed)
        self._hosts = len(entries)
        chosen = choose_peers(self._host, self._domain, self._configured, entries)
        self._links.set_directory(merge_peers(self._configured, entries).values())
        if chosen != self._chosen:
            self._chosen = chosen
            self._links.set_peers(sorted(chosen, key=lambda peer: peer.host))

    def _follow_platform(self) -> float:
        self.step()
        return max(LEAST_POLL_SECONDS, self._hosts * POLL_SECONDS_PER_HOST)
