"""Check that no change of a split allocates what another host holds."""

import random

import pytest

from turmericproxy.core import AccountName, HostName
from turmericproxy.rates import ledger
from turmericproxy.rates.ledger import LedgerRow, Limit, Member

MEMBERS = tuple(Member(HostName(f"h{n}"), f"d{n % 3}") for n in range(8))


def create_row() -> LedgerRow:
    holders = ledger.choose_holders(MEMBERS)
    return ledger.create_split(AccountName("a"), Limit(1000, 4000), 1, holders)


def sum_shares(row: LedgerRow) -> Limit:
    return Limit(sum(s.rate for s in row.shares), sum(s.burst for s in row.shares))


def settle(row: LedgerRow, members=MEMBERS, unreachable=frozenset()) -> LedgerRow:
    for _ in range(4):
        for member in members:
            row = ledger.rebalance(row, member, unreachable)
    return row


def test_a_new_split_allocates_the_whole_limit():
    assert sum_shares(create_row()) == Limit(1000, 4000)
    assert sum(s.unclaimed for s in create_row().shares) == 4000


@pytest.mark.parametrize("seed", range(40))
def test_no_change_raises_the_sum_of_shares_above_the_limit(seed):
    print("seed", seed)
    rng = random.Random(seed)
    row = create_row()
    for revision in range(2, 60):
        before = row
        member, other = rng.sample(MEMBERS, 2)
        unreachable = frozenset(m.host for m in MEMBERS if rng.random() < 0.2) - {member.host}
        kind = rng.choice(["rebalance", "regrant", "change_limit"])
        if kind == "rebalance":
            row = ledger.rebalance(row, member, unreachable)
            others = [s for s in row.shares if s.host != member.host]
            assert others == [s for s in before.shares if s.host != member.host]
        elif kind == "regrant":
            row = ledger.regrant(row, other.host, member)
            assert row.find_share(other.host) is None
        else:
            row = ledger.change_limit(row, Limit(rng.randrange(9, 2000), 3000), revision)
        held, earlier = sum_shares(row), sum_shares(before)
        assert held.rate <= max(earlier.rate, row.limit.rate)
        assert held.burst <= max(earlier.burst, row.limit.burst)
        assert sum(s.unclaimed for s in row.shares) <= sum(s.unclaimed for s in before.shares)


def test_reachable_hosts_lower_their_shares_to_a_lowered_limit():
    row = settle(ledger.change_limit(create_row(), Limit(100, 400), 2))
    assert sum_shares(row) == Limit(100, 400)
    assert {s.rate for s in row.shares} <= {12, 13}


def test_shares_of_an_unreachable_domain_stay_reserved_when_the_rate_is_lowered():
    unreachable = frozenset(m.host for m in MEMBERS if m.domain == "d0")
    row = ledger.change_limit(create_row(), Limit(600, 2400), 2)
    row = settle(row, [m for m in MEMBERS if m.host not in unreachable], unreachable)
    assert sum_shares(row) == Limit(600, 2400)
    assert {s.rate for s in row.shares if s.host in unreachable} == {125}
    row = settle(row)
    assert {s.rate for s in row.shares} == {75}


def test_an_older_revision_changes_nothing():
    row = ledger.change_limit(create_row(), Limit(5, 5), 7)
    assert ledger.change_limit(row, Limit(9, 9), 6) == row


def test_a_regranted_share_brings_no_tokens():
    row = ledger.regrant(create_row(), HostName("h0"), MEMBERS[3])
    assert sum_shares(row) == Limit(1000, 4000)
    assert sum(s.unclaimed for s in row.shares) == 3500


def test_a_new_host_gets_its_share_from_the_others():
    row = ledger.create_split(AccountName("a"), Limit(900, 900), 1, MEMBERS[:2])
    row = settle(row, MEMBERS[:3])
    assert [(s.host, s.rate) for s in row.shares] == [("h0", 300), ("h1", 300), ("h2", 300)]


def test_a_row_survives_encoding_and_decoding():
    assert ledger.decode_row(ledger.encode_row(create_row())) == create_row()
