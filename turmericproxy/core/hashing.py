"""Choose among names by rendezvous hashing: equal sets of names give equal choices."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from turmericproxy.core.ids import HostName

# More than the pairs of keys and hosts of a large fleet.
CACHED_WEIGHTS = 16_384


@lru_cache(CACHED_WEIGHTS)
def compute_rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of a name for a key, an unsigned 64-bit integer."""
    digest = blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_by_hash(key: str, hosts: Iterable[HostName]) -> HostName:
    """Return the host with the lowest weight for the key.

    If a host leaves, only its keys move to other hosts. Raises ``ValueError`` if ``hosts`` is
    empty.

    >>> choose_by_hash("t", [HostName("a")])
    'a'
    """
    return min(hosts, key=lambda host: compute_rendezvous_weight(key, host))
