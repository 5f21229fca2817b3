"""Choose among names so that all who know the same names choose alike."""

from collections.abc import Iterable
from hashlib import blake2b

from turmericproxy.core.ids import HostName


def compute_rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a name for a key in rendezvous hashing."""
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_by_hash(key: str, hosts: Iterable[HostName]) -> HostName:
    """Return which of some hosts does something for all; others keep theirs if one leaves.

    >>> choose_by_hash("t", [HostName("a")])
    'a'
    """
    return min(hosts, key=lambda host: compute_rendezvous_weight(key, host))
