"""Check the order in which holders are asked for tokens."""

from turmericproxy.core import DomainName, HostName
from turmericproxy.rates.debits import order_holders
from turmericproxy.rates.ledger import Share

OWN, OTHER = DomainName("d0"), DomainName("d1")


def create_share(name: str, domain: DomainName) -> Share:
    return Share(HostName(name), domain, rate=1, burst=100)


def test_a_full_remote_bucket_comes_before_a_half_empty_local_one():
    shares = (create_share("local", OWN), create_share("remote", OTHER))
    levels = {HostName("local"): 50, HostName("remote"): 99}
    assert order_holders(shares, OWN, levels) == ("remote", "local")


def test_local_buckets_come_first_among_similarly_full_ones():
    shares = (create_share("remote", OTHER), create_share("local", OWN))
    levels = {HostName("local"): 80, HostName("remote"): 95}
    assert order_holders(shares, OWN, levels) == ("local", "remote")


def test_a_holder_with_an_empty_share_comes_last():
    shares = (Share(HostName("empty"), OWN, 0, 0), create_share("remote", OTHER))
    levels = {HostName("empty"): 0, HostName("remote"): 30}
    assert order_holders(shares, OWN, levels) == ("remote", "empty")
