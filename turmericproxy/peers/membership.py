"""Choose the hosts to link from the settings and the platform's host list."""

from collections.abc import Iterable
from typing import Protocol

from turmericproxy.core import DomainName, HostName, Refusal
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part
from turmericproxy.peers.states import PeerAddress
from turmericproxy.peers.topology import Node, choose_neighbours
from turmericproxy.tables import HostEntry, HostList, HostState

MIN_POLL_INTERVAL_SECONDS = 2.0
POLL_INTERVAL_SECONDS_PER_HOST = 0.1


class HostLister(Protocol):
    """The platform call that membership uses."""

    def list_hosts(self) -> HostList | Refusal:
        """Return the platform's host list."""


class PeerSetter(Protocol):
    """The methods of ``PeerLinks`` that membership uses."""

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Link exactly these hosts."""

    def set_directory(self, peers: Iterable[PeerAddress]) -> None:
        """Set the addresses of all known hosts."""


def merge_peers(
    configured: Iterable[PeerAddress], listed: Iterable[HostEntry]
) -> dict[HostName, PeerAddress]:
    """Return all known hosts by name; the platform's list takes precedence over the settings.

    Hosts listed as gone are included, since they may restart before the list shows it.
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
    """Return the hosts to link.

    In a full mesh these are all known hosts. In a larger fleet the rings consist of the hosts that
    are not listed as gone.
    """
    entries = tuple(listed)
    known = merge_peers(configured, entries)
    gone = {entry.host for entry in entries if entry.state is HostState.GONE}
    live = {peer.host: peer.domain for peer in known.values() if peer.host not in gone}
    nodes = [Node(name, node_domain) for name, node_domain in {**live, host: domain}.items()]
    chosen = choose_neighbours(host, nodes)
    if len(chosen) == len(nodes) - 1:
        chosen = frozenset(known)
    return frozenset(known[name] for name in chosen if name != host)


class MembershipController:
    """Poll the platform's host list and update the links from it.

    The links stay unchanged while the platform is unreachable.
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
        self._listed_count = 0
        self._loop = Loop(Part.PEERS, "membership", self._poll)

    def start(self) -> None:
        """Set the links from the settings, then start polling the platform."""
        self._update_links(())
        self._loop.start()

    def close(self) -> None:
        """Stop polling the platform."""
        self._loop.stop()

    def run_once(self) -> None:
        """Poll the platform once; update the links if the chosen hosts have changed."""
        host_list = self._platform.list_hosts()
        if not isinstance(host_list, Refusal):
            self._update_links(host_list.hosts)

    def _update_links(self, listed: Iterable[HostEntry]) -> None:
        entries = tuple(listed)
        self._listed_count = len(entries)
        chosen = choose_peers(self._host, self._domain, self._configured, entries)
        self._links.set_directory(merge_peers(self._configured, entries).values())
        if chosen != self._chosen:
            self._chosen = chosen
            self._links.set_peers(sorted(chosen, key=lambda peer: peer.host))

    def _poll(self) -> float:
        self.run_once()
        return max(MIN_POLL_INTERVAL_SECONDS, self._listed_count * POLL_INTERVAL_SECONDS_PER_HOST)
