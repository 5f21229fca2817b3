"""Check which links follow from the settings and the platform's list."""

from collections.abc import Iterable

from turmericproxy.core import DomainName, HostName, ResultCode, refuse
from turmericproxy.peers import PeerAddress
from turmericproxy.peers.membership import MembershipController, choose_peers
from turmericproxy.tables import HostEntry, HostList, HostState

ME, DOMAIN = HostName("h0"), DomainName("d0")


def create_entry(number: int, state: HostState = HostState.LIVE, port: int = 1) -> HostEntry:
    host, domain = HostName(f"h{number}"), DomainName(f"d{number % 3}")
    return HostEntry(host, domain, "", f"127.0.0.1:{port}", state, 0.0)


def create_configured(number: int) -> PeerAddress:
    return PeerAddress(HostName(f"h{number}"), DomainName(f"d{number % 3}"), "127.0.0.1:9")


def name_hosts(peers: Iterable[PeerAddress]) -> set[str]:
    return {peer.host for peer in peers}


class FakePlatform:
    def __init__(self) -> None:
        self.answer = refuse(ResultCode.PLATFORM_UNAVAILABLE, "away")

    def list_hosts(self):
        return self.answer


class FakeLinks:
    def __init__(self) -> None:
        self.settings: list[list[PeerAddress]] = []

    def set_peers(self, peers):
        self.settings.append(list(peers))

    def set_directory(self, peers):
        self.directory = list(peers)


def test_hosts_that_only_the_platform_names_are_linked_and_gone_ones_kept():
    listed = [create_entry(0), create_entry(1), create_entry(2, HostState.GONE)]
    chosen = choose_peers(ME, DOMAIN, [create_configured(3)], listed)
    assert name_hosts(chosen) == {"h1", "h2", "h3"}


def test_the_platform_goes_before_the_settings():
    chosen = choose_peers(ME, DOMAIN, [create_configured(1)], [create_entry(1, port=7)])
    assert [peer.address for peer in chosen] == ["127.0.0.1:7"]


def test_a_large_fleet_links_few_and_none_that_is_gone():
    listed = [create_entry(n, HostState.GONE if n % 4 == 3 else HostState.LIVE) for n in range(60)]
    chosen = choose_peers(ME, DOMAIN, [], listed)
    assert 4 <= len(chosen) <= 8
    assert not name_hosts(chosen) & {f"h{n}" for n in range(3, 60, 4)}


def test_links_follow_the_list_and_stay_while_the_platform_is_away():
    platform, links = FakePlatform(), FakeLinks()
    membership = MembershipController(platform, links, ME, DOMAIN, [create_configured(1)])
    away = platform.answer
    membership.start()
    membership.close()
    platform.answer = HostList((create_entry(0), create_entry(1), create_entry(2)), 0.0)
    membership.run_once()
    platform.answer = away
    membership.run_once()
    assert [name_hosts(peers) for peers in links.settings] == [{"h1"}, {"h1", "h2"}]
