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
        "has_room": True,
        "requests": 0,
        "own_tokens": 0.0,
        "other_tokens": 0.0,
        "tokens_per_second": 20_000.0,
        "overhead": 0.01,
        "distance": 0.001,
        "chances": (),
    }
    return EngineView(**{**values, **changes})


def take(policy, views, request=None, **kept) -> str:
    request = request or create_request(1, CHAIN)
    decision = decide(policy, views, request, 0.0, 1, **kept)
    assert isinstance(decision, Decision), decision
    return decision.taken.view.engine


def test_cached_prefix_is_left_when_its_queue_costs_more():
    holder = create_view(0, chances=(1.0, 1.0, 1.0), own_tokens=4_000.0)
    idle = create_view(1)
    assert take(ExpectedTime(waste_weight=0.0), [holder, idle]) == "engine-0"
    holder = create_view(0, chances=(1.0, 1.0, 1.0), own_tokens=9_000.0)
    assert take(ExpectedTime(waste_weight=0.0), [holder, idle]) == "engine-1"
    assert take(ExpectedTime(waste_weight=1.0), [holder, idle]) == "engine-0"


def test_import_is_taken_when_it_is_sooner_than_computing():
    kept = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.015)
    holder = create_view(0, chances=(1.0, 1.0, 1.0), own_tokens=9_000.0)
    decision = decide(
        ExpectedTime(), [holder, create_view(1)], create_request(1, CHAIN), 0.0, 1, kept
    )
    assert decision.taken.view.engine == "engine-1"
    assert decision.taken.imports == range(3)
    assert abs(decision.taken.expected_seconds - (0.05 + 0.05 + 0.011)) < 1e-9
    slow = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.2)
    decision = decide(ExpectedTime(), [create_view(1)], create_request(1, CHAIN), 0.0, 1, slow)
    assert not decision.taken.imports


def test_other_failure_domain_takes_over_when_it_is_sooner():
    near = create_view(0, distance=0.0005, own_tokens=2_000.0)
    far = create_view(1, distance=0.002, domain=DomainName("south"))
    request = create_request(1)
    assert take(ExpectedTime(near_seconds=0.0, near_share=0.0), [near, far], request) == "engine-1"
    near = create_view(0, distance=0.0005)
    assert take(ExpectedTime(near_seconds=0.0, near_share=0.0), [near, far], request) == "engine-0"


def test_hosts_agree_on_one_of_several_idle_engines_and_spread_prefixes():
    views = [create_view(number) for number in range(6)]
    requests = [create_request(n, create_chain(f"rules {n}")) for n in range(60)]
    taken = [take(ExpectedTime(), views, request) for request in requests]
    shuffled = random.Random(SEED).sample(views, len(views))
    assert taken == [take(ExpectedTime(), shuffled, request) for request in requests]
    assert len(set(taken)) == 6


def test_no_policy_takes_an_engine_that_can_not_serve():
    random_views = random.Random(SEED)
    request = create_request(1, CHAIN, excluded=frozenset({EngineName("engine-5")}))
    for policy in (ExpectedTime(), RoundRobin(), LeastLoaded(), HashFirst()):
        for turn in range(200):
            views = [
                create_view(
                    number,
                    is_ejected=random_views.random() < 0.3,
                    has_room=random_views.random() < 0.7,
                    version=random_views.choice(("v1", "v2", None)),
                    requests=random_views.randrange(5),
                )
                for number in range(6)
            ]
            decision = decide(policy, views, request, 0.0, turn)
            serving = [view for view in views[:5] if view.version != "v2"]
            usable = [view for view in serving if not view.is_ejected] or serving
            able = {view.engine for view in usable if view.has_room}
            if able:
                assert decision.taken.view.engine in able
            else:
                assert isinstance(decision, Refusal)
                assert decision.code in (ResultCode.NO_UPSTREAM, ResultCode.OVERLOADED)


def test_imports_of_one_prefix_at_the_same_moment_are_spread():
    kept = KeptChain((True, True, True), seconds_per_call=0.005, seconds_per_block=0.015)
    views = [create_view(number) for number in range(6)]
    requests = [create_request(n, CHAIN) for n in range(40)]
    taken = {take(ExpectedTime(), views, request, kept=kept) for request in requests}
    assert len(taken) >= 4
    taken = {take(ExpectedTime(), views, request) for request in requests}
    assert len(taken) == 1
