"""Check whom a host asks for tokens."""

from turmericproxy.core import DomainName, HostName
from turmericproxy.rates.debits import order_holders
from turmericproxy.rates.ledger import Share

OWN, OTHER = DomainName("d0"), DomainName("d1")


def create_share(name: str, domain: DomainName) -> Share:
    return Share(HostName(name), domain, rate=1, burst=100)


def test_a_full_bucket_elsewhere_goes_before_a_half_empty_one_nearby():
    shares = (create_share("near", OWN), create_share("far", OTHER))
    levels = {HostName("near"): 50, HostName("far"): 99}
    assert order_holders(shares, OWN, levels) == ("far", "near")


def test_buckets_about_as_full_are_asked_in_the_own_domain_first():
    shares = (create_share("far", OTHER), create_share("near", OWN))
    levels = {HostName("near"): 80, HostName("far"): 95}
    assert order_holders(shares, OWN, levels) == ("near", "far")


def test_a_holder_without_any_depth_comes_last():
    shares = (Share(HostName("empty"), OWN, 0, 0), create_share("far", OTHER))
    levels = {HostName("empty"): 0, HostName("far"): 30}
    assert order_holders(shares, OWN, levels) == ("far", "empty")
