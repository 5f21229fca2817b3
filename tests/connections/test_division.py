"""Check that the hosts' parts of a server's connections are within what the server accepts."""

import random

import pytest

from turmericproxy.connections.division import HostRank, divide, may_open

# Connections and hosts of deployments that have plenty, and of small ones.
DIVISIONS = [(6, 3), (1, 1), (1, 5), (40, 61), (370, 8), (480, 61), (110, 3)]
# Rounds within which a report may be under way.
DELAY = 2


def open_in_rounds(
    limit: int, hosts: int, running: int, wanted: list[int], rounds: int, seed: int
) -> list[int]:
    """Return what each host has open after some rounds, with reports that take up to ``DELAY``."""
    source, counts = random.Random(seed), [0] * hosts
    history = [counts.copy() for _ in range(DELAY + 1)]
    for _ in range(rounds):
        for number in source.sample(range(hosts), hosts):
            rank = HostRank(number, hosts, running)
            division = divide(limit, rank)
            before = min(entry[number] for entry in history)
            peers = [history[-DELAY][n] for n in range(hosts) if n != number]
            while counts[number] < wanted[number] and may_open(
                division, rank, counts[number], before, peers
            ):
                counts[number] += 1
        history = [*history[1:], counts.copy()]
    return counts


@pytest.mark.parametrize(("limit", "hosts"), DIVISIONS)
def test_hosts_that_all_want_more_stay_within_the_limit(limit: int, hosts: int) -> None:
    """Guard against connections that the server resets after their requests were sent."""
    for seed in range(5):
        assert sum(open_in_rounds(limit, hosts, hosts, [limit] * hosts, 12, seed)) <= limit


@pytest.mark.parametrize(("limit", "hosts"), DIVISIONS)
def test_hosts_that_want_more_later_find_their_guaranteed_part(limit: int, hosts: int) -> None:
    """Guard against a host that borrows what the others may use without asking."""
    wanted = [limit] + [0] * (hosts - 1)
    borrowed = open_in_rounds(limit, hosts, hosts, wanted, 50, 1)[0]
    others = sum(divide(limit, HostRank(n, hosts, hosts)).guaranteed for n in range(1, hosts))
    assert borrowed + others <= limit


@pytest.mark.parametrize(("limit", "halves"), [(6, (2, 1)), (370, (4, 4)), (480, (31, 30))])
def test_both_sides_of_a_partition_together_stay_within_the_limit(
    limit: int, halves: tuple[int, int]
) -> None:
    """Guard against hosts that take the part of those that they can't hear."""
    running = sum(halves)
    assert (
        sum(sum(open_in_rounds(limit, hosts, running, [limit] * hosts, 12, 1)) for hosts in halves)
        <= limit
    )


@pytest.mark.parametrize(("limit", "hosts", "burst"), [(370, 8, 36), (480, 61, 6)])
def test_one_host_may_open_its_part_at_once(limit: int, hosts: int, burst: int) -> None:
    """Guard against refusals in a burst on one host before the others' reports are in."""
    counts = open_in_rounds(limit, hosts, hosts, [limit] + [0] * (hosts - 1), 1, 1)
    assert counts[0] >= burst


@pytest.mark.parametrize(("limit", "hosts"), [(370, 8), (480, 61)])
def test_one_host_may_borrow_what_the_others_leave(limit: int, hosts: int) -> None:
    """Guard against refusals on a busy host while most connections are free."""
    counts = open_in_rounds(limit, hosts, hosts, [limit] + [0] * (hosts - 1), 200, 1)
    assert counts[0] >= limit // 4


@pytest.mark.parametrize("limit", range(1, 30))
def test_some_host_may_always_use_a_server(limit: int) -> None:
    """Guard against servers with few connections that get no requests at all."""
    assert divide(limit, HostRank(0, 61, 61)).guaranteed >= 1
