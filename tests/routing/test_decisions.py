import random

from tests.routing.support import create_chain, create_request
from turmericproxy.core import DomainName, EngineName, Refusal, ResultCode
from turmericproxy.routing.decisions import Decision, decide
from turmericproxy.routing.policies import ExpectedTime, HashFirst, LeastLoaded, RoundRobin
from turmericproxy.routing.scoring import KeptChain
from turmericproxy.routing.views import EngineView

SEED = 11
CHAIN = create_chain("rules", "notes", "more")


def create_view(number: int, **changes) -> EngineView:
    values = {
        "engine": EngineName(f"engine-{number}"),
        "address": "127.0.0.1:1",
        "domain": DomainName("north"),
        "version": "v1",
        "is_ejected": False,
        "has_free_slot": True,
        "requests": 0,
        "own_tokens": 0.0,
        "other_tokens": 0.0,
        "tokens_per_second": 20_000.0,
        "overhead_seconds": 0.01,
        "round_trip_seconds": 0.001,
        "hit_probabilities": (),
    }
    return EngineView(**{**values, **changes})


def choose(policy, views, request=None, **kept) -> str:
    request = request or create_request(1, CHAIN)
    decision = decide(policy, views, request, 0.0, 1, **kept)
    assert isinstance(decision, Decision), decision
    return decision.chosen.view.engine


def test_engine_with_cached_prefix_is_avoided_when_its_queue_costs_more():
    holder = create_view(0, hit_probabilities=(1.0, 1.0, 1.0), own_tokens=4_000.0)
    idle = create_view(1)
    assert choose(ExpectedTime(recompute_weight=0.0), [holder, idle]) == "engine-0"
    holder = create_view(0, hit_probabilities=(1.0, 1.0, 1.0), own_tokens=9_000.0)
    assert choose(ExpectedTime(recompute_weight=0.0), [holder, idle]) == "engine-1"
    assert choose(ExpectedTime(recompute_weight=1.0), [holder, idle]) == "engine-0"


def test_import_is_chosen_when_it_is_faster_than_computing():
    kept = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.015)
    holder = create_view(0, hit_probabilities=(1.0, 1.0, 1.0), own_tokens=9_000.0)
    decision = decide(
        ExpectedTime(), [holder, create_view(1)], create_request(1, CHAIN), 0.0, 1, kept
    )
    assert decision.chosen.view.engine == "engine-1"
    assert decision.chosen.imports == range(3)
    assert abs(decision.chosen.expected_seconds - (0.05 + 0.05 + 0.011)) < 1e-9
    slow = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.2)
    decision = decide(ExpectedTime(), [create_view(1)], create_request(1, CHAIN), 0.0, 1, slow)
    assert not decision.chosen.imports


def test_remote_failure_domain_is_chosen_when_it_is_faster():
    local = create_view(0, round_trip_seconds=0.0005, own_tokens=2_000.0)
    remote = create_view(1, round_trip_seconds=0.002, domain=DomainName("south"))
    request = create_request(1)
    assert (
        choose(ExpectedTime(tie_seconds=0.0, tie_fraction=0.0), [local, remote], request)
        == "engine-1"
    )
    local = create_view(0, round_trip_seconds=0.0005)
    assert (
        choose(ExpectedTime(tie_seconds=0.0, tie_fraction=0.0), [local, remote], request)
        == "engine-0"
    )


def test_hosts_agree_on_one_of_several_idle_engines_and_spread_prefixes():
    views = [create_view(number) for number in range(6)]
    requests = [create_request(n, create_chain(f"rules {n}")) for n in range(60)]
    chosen = [choose(ExpectedTime(), views, request) for request in requests]
    shuffled = random.Random(SEED).sample(views, len(views))
    assert chosen == [choose(ExpectedTime(), shuffled, request) for request in requests]
    assert len(set(chosen)) == 6


def test_no_policy_selects_an_engine_that_can_not_serve():
    rng = random.Random(SEED)
    request = create_request(1, CHAIN, excluded=frozenset({EngineName("engine-5")}))
    for policy in (ExpectedTime(), RoundRobin(), LeastLoaded(), HashFirst()):
        for choice_number in range(200):
            views = [
                create_view(
                    number,
                    is_ejected=rng.random() < 0.3,
                    has_free_slot=rng.random() < 0.7,
                    version=rng.choice(("v1", "v2", None)),
                    requests=rng.randrange(5),
                )
                for number in range(6)
            ]
            decision = decide(policy, views, request, 0.0, choice_number)
            serving = [view for view in views[:5] if view.version != "v2"]
            usable = [view for view in serving if not view.is_ejected] or serving
            able = {view.engine for view in usable if view.has_free_slot}
            if able:
                assert decision.chosen.view.engine in able
            else:
                assert isinstance(decision, Refusal)
                assert decision.code in (ResultCode.NO_UPSTREAM, ResultCode.OVERLOADED)


def test_imports_of_one_prefix_at_the_same_moment_are_spread():
    kept = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.015)
    views = [create_view(number) for number in range(6)]
    requests = [create_request(n, CHAIN) for n in range(40)]
    chosen = {choose(ExpectedTime(), views, request, kept=kept) for request in requests}
    assert len(chosen) >= 4
    chosen = {choose(ExpectedTime(), views, request) for request in requests}
    assert len(chosen) == 1
