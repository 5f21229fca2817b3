"""Test that the chosen links are few, mutual and stable, and connect any set of live hosts."""

import random
from itertools import combinations

import pytest

from turmericproxy.core import DomainName, HostName
from turmericproxy.peers.topology import DOMAIN_RINGS, FLEET_RINGS, Node, choose_neighbours

SIZES = ((8, 3), (40, 3), (40, 6), (330, 6))
MAX_LINKS = 2 * (DOMAIN_RINGS + FLEET_RINGS)


def create_nodes(hosts: int, domains: int) -> list[Node]:
    return [Node(HostName(f"host-{n}"), DomainName(f"d{n % domains}")) for n in range(hosts)]


def create_graph(nodes: list[Node]) -> dict[HostName, set[HostName]]:
    return {node.host: set(choose_neighbours(node.host, nodes)) for node in nodes}


def is_connected(graph: dict[HostName, set[HostName]]) -> bool:
    if not graph:
        return True
    start = next(iter(graph))
    reached, pending = {start}, [start]
    while pending:
        new = graph[pending.pop()] - reached
        reached |= new
        pending.extend(new)
    return reached == set(graph)


@pytest.mark.parametrize(("hosts", "domains"), SIZES)
def test_links_are_few_and_mutual(hosts, domains):
    graph = create_graph(create_nodes(hosts, domains))
    assert all(host in graph[other] for host in graph for other in graph[host])
    assert all(host not in graph[host] for host in graph)
    degrees = sorted(len(others) for others in graph.values())
    print(f"{hosts} hosts: {degrees[0]} to {degrees[-1]} links")
    assert degrees[-1] <= max(MAX_LINKS, 7)


@pytest.mark.parametrize(("hosts", "domains"), SIZES)
def test_any_set_of_live_hosts_is_connected(hosts, domains):
    rng = random.Random(hosts)
    nodes = create_nodes(hosts, domains)
    for _ in range(2 + 160 // hosts):
        live = rng.sample(nodes, rng.randrange(1, hosts + 1))
        assert is_connected(create_graph(live))
    for lost in range(domains):
        assert is_connected(create_graph([n for n in nodes if n.domain != f"d{lost}"]))


@pytest.mark.parametrize(("hosts", "domains"), SIZES)
def test_fleet_stays_connected_when_two_domains_are_separated(hosts, domains):
    nodes = create_nodes(hosts, domains)
    graph = create_graph(nodes)
    domain_of = {node.host: node.domain for node in nodes}
    for separated in combinations(sorted(set(domain_of.values())), 2):
        remaining = {
            host: {o for o in others if {domain_of[host], domain_of[o]} != set(separated)}
            for host, others in graph.items()
        }
        assert is_connected(remaining)


def test_removing_a_host_changes_few_links():
    nodes = create_nodes(330, 6)
    before, after = create_graph(nodes), create_graph(nodes[1:])
    changed = [host for host in after if before[host] - {nodes[0].host} != after[host]]
    assert len(changed) <= MAX_LINKS


def test_a_small_fleet_is_a_full_mesh():
    assert {len(others) for others in create_graph(create_nodes(8, 3)).values()} == {7}


def test_a_host_that_is_not_live_has_no_links():
    assert choose_neighbours(HostName("other"), create_nodes(3, 1)) == frozenset()
