"""Check that accounts are limited to their rate and burst across all hosts."""

from dataclasses import replace

from turmericproxy.core import AccountName, HostName, Incarnation, Refusal, Revision
from turmericproxy.edge import EdgeLimits
from turmericproxy.fleet import QuotaController, QuotaTolerance
from turmericproxy.traffic.site import Account, Site

RATE, BURST, COST = 1_000.0, 1_000.0, 50
ACCOUNT = Account(AccountName("a"), ("k",), None, True, 200, False, RATE, BURST)


def create_site(account: Account = ACCOUNT) -> Site:
    return Site(Revision(1), (), {}, (account,), EdgeLimits(), None)


class Fleet:
    """Run quota controllers that exchange their spending."""

    def __init__(self, hosts: int, *, is_first_start: bool = True) -> None:
        self.now = 100.0
        self.hosts = [
            QuotaController(lambda: self.now, is_first_start=is_first_start) for _ in range(hosts)
        ]
        for host in self.hosts:
            host.apply_site(create_site())
        self.exchange_spending()

    def exchange_spending(self, groups: list[list[int]] | None = None) -> None:
        for group in groups or [list(range(len(self.hosts)))]:
            for sender in group:
                for receiver in group:
                    if receiver != sender:
                        self.hosts[receiver].record_peer_spending(
                            HostName(str(sender)),
                            Incarnation("i"),
                            self.hosts[sender].list_spent() or {ACCOUNT.name: 0},
                        )

    def send_overload(self, seconds: float, groups: list[list[int]] | None = None) -> int:
        """Ask for remote more than the rate at every host; return the tokens admitted."""
        admitted = 0
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            for host in self.hosts:
                for _ in range(2):
                    if host.admit(ACCOUNT, COST) is None:
                        admitted += COST
            self.exchange_spending(groups)
        return admitted


def test_overloading_account_gets_its_rate_and_burst_across_all_hosts() -> None:
    admitted = Fleet(8).send_overload(10.0)
    bound = RATE * 10 + BURST
    assert admitted <= bound * 1.1
    assert admitted >= bound * 0.85


def test_partitioned_fleet_keeps_to_the_rate_in_total() -> None:
    fleet = Fleet(8)
    fleet.send_overload(1.0)
    groups = [[0, 1], [2, 3, 4, 5, 6, 7]]
    for index, host in enumerate(fleet.hosts):
        host.set_share(0.25 if index < 2 else 0.75)
        for other in range(8):
            if (other < 2) is not (index < 2):
                host.forget_peer(HostName(str(other)))
    admitted = fleet.send_overload(10.0, groups)
    assert RATE * 10 * 0.8 <= admitted <= (RATE * 10 + BURST) * 1.1


def test_restarted_fleet_grants_no_second_burst() -> None:
    assert Fleet(8, is_first_start=False).send_overload(2.0) <= RATE * 2 * 1.1 + COST * 8


def test_started_host_admits_only_after_it_inherits_levels() -> None:
    fleet = Fleet(2)
    started = QuotaController(lambda: fleet.now, is_first_start=False)
    started.apply_site(create_site())
    assert isinstance(started.admit(ACCOUNT, COST), Refusal)
    started.inherit_levels(fleet.hosts[0].list_levels())
    assert started.admit(ACCOUNT, COST) is None


def test_refusal_has_the_time_until_a_retry_succeeds() -> None:
    fleet = Fleet(1)
    host = fleet.hosts[0]
    assert host.admit(ACCOUNT, 1_000) is None
    refusal = host.admit(ACCOUNT, 500)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after is not None
    fleet.now += refusal.retry_after + 0.001
    assert host.admit(ACCOUNT, 500) is None


def test_request_larger_than_the_burst_needs_a_full_bucket_and_leaves_debt() -> None:
    fleet = Fleet(1)
    assert fleet.hosts[0].admit(ACCOUNT, 3_000) is None
    fleet.now += 2.5
    assert fleet.hosts[0].admit(ACCOUNT, 600) is not None


def test_refund_restores_the_level_up_to_the_depth() -> None:
    host = Fleet(1).hosts[0]
    assert host.admit(ACCOUNT, 1_000) is None
    host.refund(ACCOUNT, 1_000)
    assert host.admit(ACCOUNT, 1_000) is None
    host.refund(ACCOUNT, 1_000)
    host.refund(ACCOUNT, 1_000)
    assert host.admit(ACCOUNT, 1_000) is None
    assert host.admit(ACCOUNT, 1_000) is not None


def test_partition_divides_the_remaining_burst() -> None:
    """A partition must not let an overloading account spend its burst once on each side."""
    fleet = Fleet(8)
    groups = [[0, 1], [2, 3, 4, 5, 6, 7]]
    for index, host in enumerate(fleet.hosts):
        host.set_share(0.25 if index < 2 else 0.75)
    # Full buckets on both sides together hold one burst.
    assert fleet.send_overload(0.05, groups) <= BURST + RATE * 0.05 + COST


def test_tolerance_admits_large_requests_of_an_account_with_small_limits() -> None:
    """A limit may be lowered far below what the account sends."""
    tolerance = QuotaTolerance(window=8.0, overshoot=0.1, slack=40_000.0)
    host = QuotaController(lambda: 100.0, is_first_start=True, tolerance=tolerance)
    host.apply_site(create_site())
    admitted = 0
    while host.admit(ACCOUNT, 3_000) is None:
        admitted += 3_000
    bound = (RATE * 8 + BURST) * 1.1 + 40_000
    assert 9_000 <= admitted <= 0.5 * bound


def test_peer_is_not_charged_for_all_that_it_ever_spent_after_a_silence() -> None:
    """Guard against refusals within the rate: a peer that was lost for 1.3 s, or whose updates come
    by way of a hub, reports one account after the other, each with the total since its start.
    """
    other = replace(ACCOUNT, name=AccountName("b"), keys=("l",))
    peer, incarnation = HostName("peer"), Incarnation("i")
    quotas = QuotaController(lambda: 100.0, is_first_start=True)
    quotas.apply_site(Site(Revision(1), (), {}, (ACCOUNT, other), EdgeLimits(), None))
    for spent in (9_000, 9_050):
        for account in (ACCOUNT, other):
            quotas.record_peer_spending(peer, incarnation, {account.name: spent})
        quotas.forget_peer(peer)
    for account in (ACCOUNT, other):
        assert quotas.admit(account, COST) is None


def test_first_spending_of_a_peer_is_charged_once_its_state_is_known() -> None:
    """Guard against a second burst: what a peer spends first on an account must count."""
    peer, incarnation = HostName("peer"), Incarnation("i")
    quotas = QuotaController(lambda: 100.0, is_first_start=True)
    quotas.apply_site(create_site())
    quotas.record_peer_spending(peer, incarnation, {}, is_complete=True)
    quotas.record_peer_spending(peer, incarnation, {ACCOUNT.name: int(BURST)})
    assert isinstance(quotas.admit(ACCOUNT, COST), Refusal)


def test_fleet_spending_counts_what_peers_report_once() -> None:
    """Guards against a demand that jumps when a peer reports its totals for the first time."""
    fleet = Fleet(2)
    own, peer = fleet.hosts
    own.admit(ACCOUNT, COST)
    peer.admit(ACCOUNT, COST)
    fleet.exchange_spending()
    fleet.exchange_spending()
    assert own.list_fleet_spent() == {ACCOUNT.name: 2 * COST}
    peer.refund(ACCOUNT, COST)
    fleet.exchange_spending()
    assert own.list_fleet_spent() == {ACCOUNT.name: COST}
    own.record_peer_spending(HostName("9"), Incarnation("x"), {ACCOUNT.name: 70_000})
    assert own.list_fleet_spent() == {ACCOUNT.name: COST}
    own.record_peer_spending(HostName("9"), Incarnation("x"), {ACCOUNT.name: 70_050})
    assert own.list_fleet_spent() == {ACCOUNT.name: 2 * COST}
