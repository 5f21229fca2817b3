"""Check with loops of arrivals what admission control does to the answers within target."""

import itertools

import pytest

from tests.admission.support import (
    ENGINES,
    KINDS,
    LONG,
    SERVICE,
    SHORT,
    TOKENS_PER_SECOND,
    Fleet,
    Kind,
    Load,
    Totals,
    create_burst,
    create_request,
    create_site,
)
from turmericproxy.traffic.attempts import AttemptCounts

START, END = 103.0, 110.0


def count_in_target(totals: Totals) -> int:
    return sum(totals.in_target[kind] for kind in KINDS)


def test_burst_of_a_less_urgent_kind_does_not_lower_the_answers_in_target() -> None:
    """Load: long prompts at 2.1, 2.6 and 3 times the capacity for 7 s, short ones as usual.

    Guards against engines that prefill prompts which are late already.
    """
    reference = count_in_target(Fleet(create_burst(1.5)).run(13))
    for factor in (2.1, 2.6, 3.0):
        totals = Fleet(create_burst(factor)).run(13)
        assert count_in_target(totals) >= 0.9 * reference
        assert sum(totals.expired.values()) < 0.01 * totals.answered["long"]
        assert totals.get_share("short") >= 0.99


def test_same_burst_lowers_the_answers_in_target_without_admission_control() -> None:
    """Load: as above at 1.5 and 3 times. Guards against a loop that would show no effect."""
    reference = count_in_target(Fleet(create_burst(1.5)).run(13))
    assert count_in_target(Fleet(create_burst(3.0), is_on=False).run(13)) < 0.6 * reference


@pytest.mark.parametrize("factor", [2.1, 3.0])
def test_flood_of_the_only_kind_does_not_lower_the_answers_in_target(factor: float) -> None:
    """Load: one kind at 2.1 and 3 times the capacity, no other.

    Guards against a most urgent kind that is admitted until its deadline and is late as a whole.
    """
    site = create_site(kinds=(LONG,))
    reference = Fleet(create_burst(1.5), site=site).run(13).in_target["long"]
    assert Fleet(create_burst(factor), site=site).run(13).in_target["long"] >= 0.9 * reference


@pytest.mark.parametrize("factor", [0.5, 0.8, 0.9])
def test_nothing_is_refused_below_the_capacity(factor: float) -> None:
    """Load: both kinds at 0.5 to 0.9 times the capacity. Guards against refusals in calm."""
    totals = Fleet(lambda now, kind, account: factor).run(10)
    assert not totals.refused
    assert totals.transitions == 0


def test_kind_is_not_served_worse_than_a_less_urgent_one() -> None:
    """Load: both kinds at 0.8 to 4 times the capacity, and either kind alone so.

    Guards against an urgent kind that waits behind what was admitted of the others.
    """
    for factor, kinds in itertools.product((0.8, 1.2, 2.0, 3.0, 4.0), ((LONG, SHORT), (LONG,))):

        def load(
            now: float, kind: Kind, account: str, f: float = factor, k: tuple[Kind, ...] = kinds
        ) -> float:
            return f if START <= now < END and kind in k else 0.7

        totals = Fleet(load).run(13)
        assert totals.get_share("short") >= totals.get_share("long") - 0.05
        assert totals.get_share("short") >= 0.95


def test_flood_of_the_urgent_kind_makes_the_other_give_way_first() -> None:
    """Load: short prompts at 8 times their usual, 1.5 times the capacity together.

    Guards against urgent prompts that are refused while less urgent ones are admitted.
    """

    def load(now: float, kind: Kind, account: str) -> float:
        return 8.0 if kind is SHORT and START <= now < END else 0.7

    totals = Fleet(load).run(13)
    assert totals.get_share("short") >= 0.9 > totals.get_share("long")


def test_larger_flood_of_the_urgent_kind_does_not_lower_the_answers_in_target() -> None:
    """Load: short prompts at 8, 12 and 20 times their usual, alone up to 2.2 times the capacity.

    Guards against refused urgent requests that return when their target has passed.
    """

    def create_load(factor: float) -> Load:
        return lambda now, kind, account: (factor if kind is SHORT and START <= now < END else 0.7)

    reference = count_in_target(Fleet(create_load(8.0)).run(13))
    for factor in (12.0, 20.0):
        totals = Fleet(create_load(factor)).run(13)
        assert count_in_target(totals) >= 0.9 * reference


@pytest.mark.parametrize("lag", [0.04, 0.08])
def test_account_above_its_share_gives_way_before_the_others(lag: float) -> None:
    """Load: one of three accounts at 5.3 times its usual long prompts, within its quota.

    Guards against a flood that makes hosts refuse what other accounts send as usual.
    """

    def load(now: float, kind: Kind, account: str) -> float:
        return 0.8 * (5.3 if account == "a" and kind is LONG and START <= now < END else 1.0)

    totals = Fleet(load, lag=lag).run(13)
    assert min(totals.get_share("b"), totals.get_share("c")) >= 0.93
    assert totals.get_share("long/a") < 0.7
    assert totals.get_share("short/a") >= 0.99
    # The rest of the capacity is left to the account that asks for it.
    assert totals.in_target["long/a"] > 1.3 * totals.in_target["long/b"]


def test_streams_that_hold_slots_do_not_lower_the_answers_in_target() -> None:
    """Load: as in the first test, with streams that hold slots for 0.5 s: slots are the limit.

    Guards against prompts that are admitted by prefill alone and wait for a slot.
    """
    reference = count_in_target(Fleet(create_burst(1.5, usual=0.6), hold_seconds=0.5).run(13))
    for factor in (2.1, 3.0):
        totals = Fleet(create_burst(factor, usual=0.6), hold_seconds=0.5).run(13)
        assert count_in_target(totals) >= 0.9 * reference
        assert sum(totals.expired.values()) < 0.01 * totals.answered["long"]
        assert totals.get_share("short") >= 0.99


def test_slow_ramp_keeps_the_engines_busy() -> None:
    """Load: both kinds from 0.5 to 3 times the capacity within 25 s.

    Guards against refusals that begin late or take more than the excess.
    """
    totals = Fleet(lambda now, kind, account: 0.5 + (now - 100) / 10).run(25)
    tokens = sum(kind.tokens * totals.answered[kind.name] for kind in KINDS.values())
    # The capacity is exceeded for the last 20 s.
    assert tokens >= 0.85 * 20 * ENGINES * TOKENS_PER_SECOND
    assert totals.get_share("short") >= 0.99
    assert not totals.expired


def test_figures_that_are_seconds_old_do_not_starve_the_urgent_kind() -> None:
    """Load: long prompts at 2.6 times, while hosts hear of each other 2 s late.

    Guards against a host that depends on the news of the others.
    """
    totals = Fleet(create_burst(2.6), lag=2.0).run(13)
    assert totals.get_share("short") >= 0.99
    assert sum(totals.expired.values()) < 0.01 * totals.answered["long"]
    unmanaged = Fleet(create_burst(2.6), lag=2.0, is_on=False).run(13)
    assert count_in_target(totals) > count_in_target(unmanaged)


def test_lone_host_decides_by_what_it_sees() -> None:
    """Load: long prompts at 2.6 times at a single host."""
    totals = Fleet(create_burst(2.6), hosts=1).run(13)
    assert totals.get_share("short") >= 0.99
    assert not totals.expired


def test_restart_of_all_hosts_refuses_nothing_by_account_until_demand_is_known() -> None:
    """Load: one account at 5.3 times, when all hosts restart without any history.

    Guards against accounts that are refused because of a short sample.
    """

    def load(now: float, kind: Kind, account: str) -> float:
        return 0.8 * (5.3 if account == "a" and kind is LONG else 1.0)

    fleet = Fleet(load)
    fleet.run(3)
    fleet.restart()
    before = count_account_refusals(fleet)
    fleet.run_steps(0.9)
    assert count_account_refusals(fleet) == before
    fleet.run_steps(2.0)
    assert count_account_refusals(fleet) > before


def count_account_refusals(fleet: Fleet) -> int:
    return sum(
        count
        for (name, labels), count in fleet.metrics.list_counters().items()
        if name == "admission_refusals" and ("reason", "account_share") in labels
    )


@pytest.mark.parametrize("factor", [1.0, 1.02, 1.05, 1.1])
def test_load_at_the_threshold_does_not_flap(factor: float) -> None:
    """Load: both kinds at 1 to 1.1 times the capacity for 13 s.

    Guards against pressure that begins and ends with each batch, and refusals beyond the excess.
    """
    totals = Fleet(lambda now, kind, account: factor).run(13)
    assert totals.transitions <= 13
    assert totals.get_share("short") >= 0.99
    assert totals.get_share("long") >= 1 / factor - 0.05


def test_refused_clients_do_not_return_together() -> None:
    """Load: 200 long prompts at once in front of engines with a full queue.

    Guards against a Retry-After beyond what clients honour, and a second burst.
    """
    fleet = Fleet(lambda now, kind, account: 6.0 if kind is LONG else 0.7)
    fleet.run_steps(1.0)
    controller, registry = fleet.controllers[0], fleet.registries[0]
    waits = []
    for n in range(200):
        request = create_request(fleet.site, LONG, f"x{n}", fleet.now, None)
        refusal = controller.judge(request, fleet.place(0, request), registry.list_ready(SERVICE))
        if refusal and refusal.retry_after:
            waits.append(refusal.retry_after)
    assert len(waits) > 100
    assert max(waits) - min(waits) > 0.3
    assert max(waits) <= 4.0 / 3


def test_request_that_may_have_run_is_not_refused() -> None:
    """Load: a retry after a broken attempt, in front of engines with a full queue.

    Guards against a refusal whose client can't be told any more that nothing ran.
    """
    fleet = Fleet(lambda now, kind, account: 6.0 if kind is LONG else 0.7)
    fleet.run_steps(1.0)
    controller, states = fleet.controllers[0], fleet.registries[0].list_ready(SERVICE)
    refusals = []
    for counts in (AttemptCounts(), AttemptCounts(1, 1, 1)):
        request = create_request(fleet.site, LONG, "x", fleet.now - 2.0, None)
        request.attempt_counts = counts
        refusals.append(controller.judge(request, fleet.place(0, request), states))
    assert refusals[0] is not None
    assert refusals[1] is None
