"""Check the routes of updates, and that their number grows linearly with the hosts."""

import pytest

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.peers import Peer
from turmericproxy.fleet.routes import choose_hub, plan_routes
from turmericproxy.store import LARGE_DOMAIN_HOSTS

NOW = 100.0


def create_hello(name: str, domain: str, link_mbps: int = 10) -> Hello:
    return Hello(HostName(name), f"10.0.0.1:{name[1:]}", domain, Incarnation("i"), link_mbps)


def create_hellos(count: int, domains: str = "abc") -> list[Hello]:
    return [create_hello(f"h{n}", domains[n % len(domains)]) for n in range(count)]


def create_peers(hellos: list[Hello], own: Hello) -> list[Peer]:
    return [Peer(hello, NOW, last_received_at=NOW) for hello in hellos if hello != own]


def test_hosts_of_small_domains_send_to_every_host() -> None:
    hellos = create_hellos(8)
    routes = plan_routes(hellos[0], create_peers(hellos, hellos[0]), NOW)
    assert routes.hub is None
    assert routes.remote_hubs == ()
    assert routes.targets == {hello.host for hello in hellos[1:]}


def test_hosts_of_a_large_domain_choose_the_same_hub() -> None:
    hellos = create_hellos(3 * LARGE_DOMAIN_HOSTS)
    local = [hello for hello in hellos if hello.domain == "a"]
    hubs = {plan_routes(own, create_peers(hellos, own), NOW).hub or own.host for own in local}
    assert len(hubs) == 1
    remote = plan_routes(hellos[1], create_peers(hellos, hellos[1]), NOW)
    assert hubs < set(remote.remote_hubs)


@pytest.mark.parametrize("count", [70, 300, 1000])
def test_number_of_streams_grows_linearly_with_the_hosts(count: int) -> None:
    hellos = create_hellos(count)
    routes = [plan_routes(own, create_peers(hellos, own), NOW) for own in hellos]
    streams = sum(1 if route.hub else len(route.targets) for route in routes)
    assert streams <= 2 * count + 6


def test_small_domain_sends_to_one_hub_of_a_large_one() -> None:
    hellos = [create_hello("h1", "a"), create_hello("h2", "a")]
    hellos += [create_hello(f"h{n}", "b") for n in range(3, 3 + LARGE_DOMAIN_HOSTS)]
    routes = plan_routes(hellos[0], create_peers(hellos, hellos[0]), NOW)
    assert routes.hub is None
    assert routes.local == ("h2",)
    assert len(routes.remote_hubs) == 1


def test_host_with_the_fastest_link_is_the_hub() -> None:
    hellos = [*create_hellos(20, "a"), create_hello("wide", "a", link_mbps=200)]
    assert choose_hub(hellos) == "wide"


def test_avoided_unreachable_and_leaving_hosts_are_no_hubs() -> None:
    own = create_hello("h0", "a")
    wide = create_hello("wide", "a", link_mbps=200)
    peers = create_peers([*create_hellos(12, "a"), wide], own)
    peers[-1].avoided_until = NOW + 1
    assert plan_routes(own, peers, NOW).hub != "wide"
    peers[-1].avoided_until = 0.0
    peers[-1].last_received_at = NOW - 5
    assert plan_routes(own, peers, NOW).hub != "wide"
    peers[-1].last_received_at = NOW
    peers[-1].is_leaving = True
    assert plan_routes(own, peers, NOW).hub != "wide"


def test_only_reachable_host_of_a_large_domain_needs_no_hub() -> None:
    own = create_hello("h0", "a")
    peers = create_peers(create_hellos(12, "a"), own)
    for peer in peers:
        peer.last_received_at = NOW - 5
    routes = plan_routes(own, peers, NOW)
    assert routes.hub is None
    assert len(routes.local) == len(peers)


def test_remote_hub_is_the_host_that_forwards_for_its_domain() -> None:
    own = create_hello("h0", "a")
    peers = create_peers([*create_hellos(12, "b"), create_hello("wide", "b", link_mbps=200)], own)
    assert plan_routes(own, peers, NOW).remote_hubs == ("wide",)
    peers[3].hub_active_at = NOW - 0.1
    assert plan_routes(own, peers, NOW).remote_hubs == (peers[3].hello.host,)
    peers[3].hub_active_at = NOW - 1
    assert plan_routes(own, peers, NOW).remote_hubs == ("wide",)
