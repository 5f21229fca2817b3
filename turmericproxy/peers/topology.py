"""Choose the neighbours of each host so that the fleet is connected by few links.

A small fleet is a full mesh. A larger one is a union of rings, each of which orders its hosts by a
different hash of their names: some rings contain the hosts of one failure domain, others all hosts.
Each host links to its predecessor and successor in each ring that contains it. As a result, every
host has the same small number of links or fewer, both ends of a link choose each other, each
fleet-wide ring connects any set of live hosts by itself, and a host that joins or leaves changes
only the links of its neighbours.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from turmericproxy.core import DomainName, HostName
from turmericproxy.core.hashing import compute_rendezvous_weight

MAX_FULL_MESH_HOSTS = 12
DOMAIN_RINGS = 2
FLEET_RINGS = 2


@dataclass(frozen=True)
class Node:
    """A live host and its failure domain."""

    host: HostName
    domain: DomainName


def choose_neighbours(host: HostName, live: Iterable[Node]) -> frozenset[HostName]:
    """Return the hosts that a live host links to; none if ``host`` is not live.

    >>> nodes = [Node(HostName(f"h{n}"), DomainName("d")) for n in range(3)]
    >>> sorted(choose_neighbours(HostName("h0"), nodes))
    ['h1', 'h2']
    """
    nodes = {node.host: node for node in live}
    own = nodes.get(host)
    if own is None:
        return frozenset()
    if len(nodes) <= MAX_FULL_MESH_HOSTS:
        return frozenset(nodes) - {host}
    same_domain = [node.host for node in nodes.values() if node.domain == own.domain]
    neighbours: set[HostName] = set()
    for number in range(DOMAIN_RINGS):
        neighbours |= _find_ring_neighbours(host, same_domain, f"{own.domain}/{number}")
    for number in range(FLEET_RINGS):
        neighbours |= _find_ring_neighbours(host, nodes, f"all/{number}")
    return frozenset(neighbours) - {host}


def _find_ring_neighbours(host: HostName, hosts: Iterable[HostName], ring: str) -> set[HostName]:
    """Return the predecessor and successor of a host in a ring."""
    ordered = sorted(hosts, key=lambda other: compute_rendezvous_weight(ring, other))
    position = ordered.index(host)
    return {ordered[position - 1], ordered[(position + 1) % len(ordered)]}
