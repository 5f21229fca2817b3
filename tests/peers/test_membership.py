"""Test the choice of links from the settings and the platform's host list."""

from collections.abc import Iterable

from turmericproxy.core import DomainName, HostName, ResultCode, refuse
from turmericproxy.peers import PeerAddress
from turmericproxy.peers.membership import MembershipController, choose_peers
from turmericproxy.tables import HostEntry, HostList, HostState

HOST, DOMAIN = HostName("h0"), DomainName("d0")


def create_entry(number: int, state: HostState = HostState.LIVE, port: int = 1) -> HostEntry:
    host, domain = HostName(f"h{number}"), DomainName(f"d{number % 3}")
    return HostEntry(host, domain, "", f"127.0.0.1:{port}", state, 0.0)


def create_configured(number: int) -> PeerAddress:
    return PeerAddress(HostName(f"h{number}"), DomainName(f"d{number % 3}"), "127.0.0.1:9")


def get_names(peers: Iterable[PeerAddress]) -> set[str]:
    return {peer.host for peer in peers}


class FakePlatform:
    def __init__(self) -> None:
        self.result = refuse(ResultCode.PLATFORM_UNAVAILABLE, "unreachable")

    def list_hosts(self):
        return self.result


class FakeLinks:
    def __init__(self) -> None:
        self.peer_lists: list[list[PeerAddress]] = []

    def set_peers(self, peers):
        self.peer_lists.append(list(peers))

    def set_directory(self, peers):
        self.directory = list(peers)


def test_hosts_from_the_platform_are_linked_even_if_they_are_gone():
    listed = [create_entry(0), create_entry(1), create_entry(2, HostState.GONE)]
    chosen = choose_peers(HOST, DOMAIN, [create_configured(3)], listed)
    assert get_names(chosen) == {"h1", "h2", "h3"}


def test_the_platform_takes_precedence_over_the_settings():
    chosen = choose_peers(HOST, DOMAIN, [create_configured(1)], [create_entry(1, port=7)])
    assert [peer.address for peer in chosen] == ["127.0.0.1:7"]


def test_a_large_fleet_has_few_links_and_none_to_gone_hosts():
    listed = [create_entry(n, HostState.GONE if n % 4 == 3 else HostState.LIVE) for n in range(60)]
    chosen = choose_peers(HOST, DOMAIN, [], listed)
    assert 4 <= len(chosen) <= 8
    assert not get_names(chosen) & {f"h{n}" for n in range(3, 60, 4)}


def test_links_follow_the_host_list_and_stay_during_a_platform_outage():
    platform, links = FakePlatform(), FakeLinks()
    membership = MembershipController(platform, links, HOST, DOMAIN, [create_configured(1)])
    refusal = platform.result
    membership.start()
    membership.close()
    platform.result = HostList((create_entry(0), create_entry(1), create_entry(2)), 0.0)
    membership.run_once()
    platform.result = refusal
    membership.run_once()
    assert [get_names(peers) for peers in links.peer_lists] == [{"h1"}, {"h1", "h2"}]
