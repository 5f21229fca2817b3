"""Check that an address is accepted only if something can listen there."""

import pytest

from turmericproxy.core.addresses import split_address


@pytest.mark.parametrize("address", ["127.0.0.1:1", "10.0.0.1:65535", "[::1]:80"])
def test_address_is_split(address: str) -> None:
    ip, port = split_address(address)
    assert f"{ip}:{port}" == address


def test_port_0_is_valid_only_where_the_system_chooses_one() -> None:
    assert split_address("127.0.0.1:0", may_choose_port=True) == ("127.0.0.1", 0)
    with pytest.raises(ValueError):
        split_address("127.0.0.1:0")


@pytest.mark.parametrize(
    "address",
    ["", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1"]
    + ["127.0.0.1:²", "127.0.0.1:+80", "127.0.0.1: 80", "nowhere:80", "1.2.3.999:80"]
    + ["127.0.0.1:" + "9" * 5000],
)
def test_other_addresses_are_refused(address: str) -> None:
    with pytest.raises(ValueError):
        split_address(address)
