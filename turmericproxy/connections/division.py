"""Decide how many of the connections that a server accepts each host may open.

A part of them is guaranteed to each host, whatever the others do. The rest is a pool from which the
hosts that need more borrow, as far as the others' reports show it free.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

# Hosts that may join before the others have heard of them, as a divisor of the running ones. At
# least one host is reserved for.
HOSTS_PER_RESERVED_HOST = 8
# Part of the connections that is guaranteed. The larger it is, the less can be borrowed from idle
# hosts; the smaller it is, the sooner a host depends on what it has heard of the others.
GUARANTEED_FRACTION = 0.5


class HostRank(NamedTuple):
    """Hold the position of a host among the reachable ones, and the number of all running hosts."""

    rank: int
    reachable: int
    running: int


@dataclass(frozen=True, slots=True)
class Division:
    """Hold one host's part of a server's connections.

    ``guaranteed`` is what the host may always use. ``pool`` is what the reachable hosts may use
    together beyond ``lowest_guaranteed``, which each of them has at least.
    """

    guaranteed: int
    lowest_guaranteed: int
    pool: int


def divide(limit: int, rank: HostRank) -> Division:
    """Return the part of a host of the ``limit`` connections that a server accepts.

    Hosts that run but can't be reached keep their part. If there are more hosts than connections,
    only those with a low rank have a guaranteed one.

    >>> divide(90, HostRank(0, 8, 8))
    Division(guaranteed=5, lowest_guaranteed=5, pool=40)
    """
    running = max(rank.running, rank.reachable)
    reserved = max(1, running // HOSTS_PER_RESERVED_HOST)
    usable = max(1, limit * rank.reachable // (running + reserved))
    guaranteed = max(int(usable * GUARANTEED_FRACTION), min(usable, rank.reachable))
    lowest = guaranteed // rank.reachable
    return Division(_take_part(guaranteed, rank), lowest, usable - guaranteed)


def may_open(
    division: Division, rank: HostRank, own: int, own_before: int, peers: Iterable[int]
) -> bool:
    """Return whether a host with ``own`` connections to a server may open one more.

    ``own_before`` is the lowest number of its connections within the time that reports take, and
    ``peers`` are those of the others. All hosts may see the same free connections, so each takes
    only its part of them until the others have heard of it.
    """
    if own < division.guaranteed:
        return True
    lowest = division.lowest_guaranteed
    borrowed = sum(max(0, count - lowest) for count in (own_before, *peers))
    free = max(0, division.pool - borrowed)
    return own < max(own_before, division.guaranteed) + _take_part(free, rank)


def _take_part(count: int, rank: HostRank) -> int:
    """Return a host's part of ``count``; those with the lowest ranks share the remainder."""
    part, remainder = divmod(count, rank.reachable)
    return part + (rank.rank < remainder)
