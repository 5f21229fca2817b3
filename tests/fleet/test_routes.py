"""Check whom hosts tell their notes, and that messages grow with the hosts, not their square."""

import pytest

from turmericproxy.core import HostName, Incarnation
from turmericproxy.fleet.messages import Hello
from turmericproxy.fleet.peers import Peer
from turmericproxy.fleet.routes import choose_hub, plan_routes
from turmericproxy.store import LARGE_DOMAIN_HOSTS

NOW = 100.0


def introduce(name: str, domain: str, link_mbps: int = 10) -> Hello:
    return Hello(HostName(name), f"10.0.0.1:{name[1:]}", domain, Incarnation("i"), link_mbps)


def list_hellos(count: int, domains: str = "abc") -> list[Hello]:
    return [introduce(f"h{n}", domains[n % len(domains)]) for n in range(count)]


def hear(hellos: list[Hello], own: Hello) -> list[Peer]:
    return [Peer(hello, NOW, heard_at=NOW) for hello in hellos if hello != own]


def test_small_domains_tell_every_host() -> None:
    hellos = list_hellos(8)
    routes = plan_routes(hellos[0], hear(hellos, hellos[0]), NOW)
    assert routes.hub is None
    assert routes.far_hubs == ()
    assert routes.targets == {hello.host for hello in hellos[1:]}


def test_hosts_of_a_large_domain_choose_the_same_hub() -> None:
    hellos = list_hellos(3 * LARGE_DOMAIN_HOSTS)
    near = [hello for hello in hellos if hello.domain == "a"]
    hubs = {plan_routes(own, hear(hellos, own), NOW).hub or own.host for own in near}
    assert len(hubs) == 1
    far = plan_routes(hellos[1], hear(hellos, hellos[1]), NOW)
    assert hubs < set(far.far_hubs)


@pytest.mark.parametrize("count", [70, 300, 1000])
def test_streams_and_messages_grow_with_the_hosts(count: int) -> None:
    hellos = list_hellos(count)
    routes = [plan_routes(own, hear(hellos, own), NOW) for own in hellos]
    told = sum(1 if route.hub else len(route.targets) for route in routes)
    assert told <= 2 * count + 6


def test_small_domain_tells_a_hub_of_a_large_one() -> None:
    hellos = [introduce("h1", "a"), introduce("h2", "a")]
    hellos += [introduce(f"h{n}", "b") for n in range(3, 3 + LARGE_DOMAIN_HOSTS)]
    routes = plan_routes(hellos[0], hear(hellos, hellos[0]), NOW)
    assert routes.hub is None
    assert routes.near == ("h2",)
    assert len(routes.far_hubs) == 1


def test_widest_link_passes_on() -> None:
    hellos = [*list_hellos(20, "a"), introduce("wide", "a", link_mbps=200)]
    assert choose_hub(hellos) == "wide"


def test_silent_and_broken_hosts_are_no_hubs() -> None:
    own = introduce("h0", "a")
    wide = introduce("wide", "a", link_mbps=200)
    peers = hear([*list_hellos(12, "a"), wide], own)
    peers[-1].avoided_until = NOW + 1
    assert plan_routes(own, peers, NOW).hub != "wide"
    peers[-1].avoided_until = 0.0
    peers[-1].heard_at = NOW - 5
    assert plan_routes(own, peers, NOW).hub != "wide"
    peers[-1].heard_at = NOW
    peers[-1].is_leaving = True
    assert plan_routes(own, peers, NOW).hub != "wide"


def test_host_alone_of_its_domain_tells_for_itself() -> None:
    own = introduce("h0", "a")
    peers = hear(list_hellos(12, "a"), own)
    for peer in peers:
        peer.heard_at = NOW - 5
    routes = plan_routes(own, peers, NOW)
    assert routes.hub is None
    assert len(routes.near) == len(peers)


def test_far_hub_is_one_that_speaks_for_its_domain() -> None:
    own = introduce("h0", "a")
    peers = hear([*list_hellos(12, "b"), introduce("wide", "b", link_mbps=200)], own)
    assert plan_routes(own, peers, NOW).far_hubs == ("wide",)
    peers[3].hub_at = NOW - 0.1
    assert plan_routes(own, peers, NOW).far_hubs == (peers[3].hello.host,)
    peers[3].hub_at = NOW - 1
    assert plan_routes(own, peers, NOW).far_hubs == ("wide",)
