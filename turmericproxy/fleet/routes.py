"""Choose the hosts to which a host sends its updates and forwards those of others.

In a small failure domain, each host sends to every other one. In a large one, each host sends to a
hub, which forwards all that it receives in one message to each host of its domain and of other
small ones, and to a hub of each other large domain, so that the number of messages grows linearly
with the hosts rather than quadratically. Any host that receives updates as a hub forwards them, so
that nothing is lost while hosts disagree on the hub.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.peers import Peer
from turmericproxy.store import LARGE_DOMAIN_HOSTS

# Seconds for which a host counts as the active hub of its domain after it forwarded updates:
# several merged batches.
HUB_ACTIVE_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Routes:
    """Hold the receivers of updates.

    A host sends its own updates to ``hub``. If that is ``None``, it sends them to all targets:
    ``local`` hosts of its failure domain, ``remote`` hosts of other, small domains, and
    ``remote_hubs``, which forward them within large domains.
    """

    hub: HostName | None
    local: tuple[HostName, ...]
    remote: tuple[HostName, ...]
    remote_hubs: tuple[HostName, ...]

    @property
    def targets(self) -> frozenset[HostName]:
        """Return all hosts to which a hub forwards updates."""
        return frozenset((*self.local, *self.remote, *self.remote_hubs))


def plan_routes(own: Hello, peers: Iterable[Peer], now: float) -> Routes:
    """Return the routes of a host, given the state of its peers."""
    domains: defaultdict[str, list[Peer]] = defaultdict(list)
    for peer in peers:
        if peer.is_running(now):
            domains[peer.hello.domain].append(peer)
    local = domains.pop(own.domain, [])
    remote: list[HostName] = []
    remote_hubs: list[HostName] = []
    for members in domains.values():
        if len(members) < LARGE_DOMAIN_HOSTS:
            remote += [peer.hello.host for peer in members]
        else:
            remote_hubs.append(_choose_remote_hub(members, now))
    hub = None
    if len(local) + 1 >= LARGE_DOMAIN_HOSTS:
        hub = choose_hub([own, *_list_usable(local, now)])
    return Routes(
        hub=None if hub == own.host else hub,
        local=tuple(peer.hello.host for peer in local),
        remote=tuple(remote),
        remote_hubs=tuple(remote_hubs),
    )


def choose_hub(hosts: Iterable[Hello]) -> HostName:
    """Return the host with the highest link bandwidth; a hash breaks ties."""
    return min(
        hosts, key=lambda hello: (-hello.link_mbps, compute_rendezvous_weight("hub", hello.host))
    ).host


def _choose_remote_hub(members: list[Peer], now: float) -> HostName:
    # A host that forwards updates of its domain to this one has been chosen as hub there.
    active = [
        p
        for p in members
        if p.hub_active_at is not None and now - p.hub_active_at < HUB_ACTIVE_SECONDS
    ]
    usable = _list_usable(active, now) or _list_usable(members, now)
    return choose_hub(usable or [peer.hello for peer in members])


def _list_usable(peers: Iterable[Peer], now: float) -> list[Hello]:
    return [p.hello for p in peers if p.is_likely_reachable(now) and now >= p.avoided_until]
