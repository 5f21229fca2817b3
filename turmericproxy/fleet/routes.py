"""Plan whom a host tells its notes, and whose notes it passes on.

In a small failure domain every host tells every other one. In a large one each tells a hub, which
passes on what it gets in one message to each host of its domain and to a hub of each other domain:
messages grow with the hosts in place of their square. Whoever is told passes on, so hosts that
choose different hubs for a while lose nothing.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from turmericproxy.core import HostName
from turmericproxy.core.hashing import compute_rendezvous_weight
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.peers import Peer
from turmericproxy.store import LARGE_DOMAIN_HOSTS

# Seconds since its last message in which a host counts as hub of its domain: some merged batches.
SPEAKING_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class Routes:
    """Hold where notes go.

    Own notes go to ``hub``, or without one straight to all targets: ``near`` hosts of this failure
    domain, ``far`` hosts of small domains, and ``far_hubs``, which pass on to theirs.
    """

    hub: HostName | None
    near: tuple[HostName, ...]
    far: tuple[HostName, ...]
    far_hubs: tuple[HostName, ...]

    @property
    def targets(self) -> frozenset[HostName]:
        """Return all hosts that notes are passed on to."""
        return frozenset((*self.near, *self.far, *self.far_hubs))


def plan_routes(own: Hello, peers: Iterable[Peer], now: float) -> Routes:
    """Return where notes of a host go, by what it knows of its peers."""
    domains: defaultdict[str, list[Peer]] = defaultdict(list)
    for peer in peers:
        if peer.is_running(now):
            domains[peer.hello.domain].append(peer)
    near = domains.pop(own.domain, [])
    far: list[HostName] = []
    far_hubs: list[HostName] = []
    for members in domains.values():
        if len(members) < LARGE_DOMAIN_HOSTS:
            far += [peer.hello.host for peer in members]
        else:
            far_hubs.append(_choose_far_hub(members, now))
    hub = None
    if len(near) + 1 >= LARGE_DOMAIN_HOSTS:
        hub = choose_hub([own, *_list_usable(near, now)])
    return Routes(
        hub=None if hub == own.host else hub,
        near=tuple(peer.hello.host for peer in near),
        far=tuple(far),
        far_hubs=tuple(far_hubs),
    )


def choose_hub(hosts: Iterable[Hello]) -> HostName:
    """Return the host with the widest link; equals are ordered by a hash."""
    return min(
        hosts, key=lambda hello: (-hello.link_mbps, compute_rendezvous_weight("hub", hello.host))
    ).host


def _choose_far_hub(members: list[Peer], now: float) -> HostName:
    # A host that passes its domain's notes on to this one is known there as a hub that works.
    speaking = [p for p in members if p.hub_at is not None and now - p.hub_at < SPEAKING_SECONDS]
    usable = _list_usable(speaking, now) or _list_usable(members, now)
    return choose_hub(usable or [peer.hello for peer in members])


def _list_usable(peers: Iterable[Peer], now: float) -> list[Hello]:
    return [p.hello for p in peers if p.is_likely_up(now) and now >= p.avoided_until]
