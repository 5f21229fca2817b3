"""Follow which hosts there are, and keep links to the few that the topology chooses."""

import random
from collections.abc import Iterable

from turmericproxy.core import DomainName, HostName, Refusal
from turmericproxy.core.loops import Loop
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.links import PeerAddress, PeerLinks
from turmericproxy.peers.topology import Node, choose_neighbours
from turmericproxy.platform import HostEntry, HostState, PlatformClient

POLL_SECONDS = 10.0
RETRY_SECONDS = 2.0


def merge_members(
    configured: Iterable[PeerAddress], listed: Iterable[HostEntry]
) -> dict[HostName, PeerAddress]:
    """Return where each host is: the settings go before the platform's list, which lags.

    A host that the platform calls gone is left out unless the settings name it.
    """
    found = {
        HostName(entry.host): PeerAddress(
            HostName(entry.host), DomainName(entry.domain), entry.peers
        )
        for entry in listed
        if entry.state is not HostState.GONE
    }
    return found | {peer.host: peer for peer in configured}


class MembershipController:
    """Keep the links of a host in step with the platform's list of hosts.

    While the platform is away the last known hosts stay linked.
    """

    def __init__(
        self, platform: PlatformClient, links: PeerLinks, configured: Iterable[PeerAddress]
    ) -> None:
        self._platform = platform
        self._links = links
        self._configured = tuple(configured)
        self._members: dict[HostName, PeerAddress] = {}
        self._loop = Loop(Part.PEERS, "membership", self._follow_platform)

    def start(self) -> None:
        """Link to the hosts of the settings at once, and to listed ones as they are known."""
        self._install(merge_members(self._configured, ()))
        self._loop.start()

    def close(self) -> None:
        """Stop to follow the platform's list; the links stay."""
        self._loop.close()

    def _follow_platform(self) -> float:
        listed = self._platform.list_hosts()
        if isinstance(listed, Refusal):
            return RETRY_SECONDS * random.uniform(0.5, 1.0)
        self._install(merge_members(self._configured, listed.hosts))
        return POLL_SECONDS * random.uniform(0.5, 1.0)

    def _install(self, members: dict[HostName, PeerAddress]) -> None:
        if members == self._members:
            return
        self._members = members
        own = Node(self._links.host, self._links.domain)
        nodes = [own, *(Node(peer.host, peer.domain) for peer in members.values())]
        chosen = choose_neighbours(own.host, nodes)
        self._links.set_directory(members.values())
        self._links.set_peers(members[host] for host in chosen)
        log_event(Part.PEERS, "members changed", members=len(members), links=len(chosen))
