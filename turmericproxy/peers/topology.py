"""Choose which hosts a host keeps links to, so that the links stay few and the fleet connected.

A small fleet is a full mesh. In a larger one the hosts stand in several rings, ordered by a hash of
their names that differs from ring to ring: some over the hosts of one failure domain, some over
all. Each host links to the next and the previous one of each ring it stands in. So every host has
the same small number of links, both ends of a link choose it, any set of live hosts is connected by
each single ring over all, and a host that comes or goes changes the links of its neighbours only.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from turmericproxy.core import DomainName, HostName
from turmericproxy.core.hashing import compute_rendezvous_weight

FULL_MESH_HOSTS = 12
DOMAIN_RINGS = 2
FLEET_RINGS = 2


@dataclass(frozen=True)
class Node:
    """Name a live host and its failure domain."""

    host: HostName
    domain: DomainName


def choose_neighbours(host: HostName, live: Iterable[Node]) -> frozenset[HostName]:
    """Return the hosts that a host keeps links to, itself left out.

    >>> nodes = [Node(HostName(f"h{n}"), DomainName("d")) for n in range(3)]
    >>> sorted(choose_neighbours(HostName("h0"), nodes))
    ['h1', 'h2']
    """
    nodes = {node.host: node for node in live}
    own = nodes.get(host)
    if own is None:
        return frozenset()
    if len(nodes) <= FULL_MESH_HOSTS:
        return frozenset(nodes) - {host}
    same_domain = [node.host for node in nodes.values() if node.domain == own.domain]
    chosen: set[HostName] = set()
    for number in range(DOMAIN_RINGS):
        chosen |= _find_ring_neighbours(host, same_domain, f"{own.domain}/{number}")
    for number in range(FLEET_RINGS):
        chosen |= _find_ring_neighbours(host, nodes, f"all/{number}")
    return frozenset(chosen) - {host}


def _find_ring_neighbours(host: HostName, hosts: Iterable[HostName], ring: str) -> set[HostName]:
    """Return the next and the previous host of a ring."""
    ordered = sorted(hosts, key=lambda other: compute_rendezvous_weight(ring, other))
    position = ordered.index(host)
    return {ordered[position - 1], ordered[(position + 1) % len(ordered)]}
