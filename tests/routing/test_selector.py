from tests.routing.support import (
    Clock,
    create_chain,
    create_request,
    create_selector,
    create_snapshot,
    report_load,
)
from turmericproxy.cache.index import create_key
from turmericproxy.configuration import Kind, Route, Snapshot, Upstream, replace_resource
from turmericproxy.core import EngineName, Incarnation, Refusal, ResultCode, Revision
from turmericproxy.routing import AttemptOutcome, EngineChoice, Usage


def send(selector, request) -> EngineChoice:
    choice = selector.choose_engine(request)
    assert isinstance(choice, EngineChoice), choice
    selector.record_dispatch(choice)
    return choice


def test_repeated_prefix_returns_to_its_engine():
    clock = Clock()
    selector = create_selector(create_snapshot(), clock)
    chain = create_chain("rules", "notes", "more")
    first = send(selector, create_request(1, chain))
    selector.record_first_token(first, 0.35)
    selector.record_finish(first, AttemptOutcome.DONE, Usage(7000, 0, 20))
    second = send(selector, create_request(2, chain))
    assert second.engine == first.engine
    assert (first.cached_blocks, second.cached_blocks) == (0, 3)


def test_new_incarnation_forgets_its_blocks():
    clock = Clock()
    selector = create_selector(create_snapshot(engines=1), clock)
    report_load(selector, 0, clock)
    chain = create_chain("rules", "notes")
    send(selector, create_request(1, chain))
    assert send(selector, create_request(2, chain)).cached_blocks == 2
    report_load(selector, 0, clock, incarnation=Incarnation("second"))
    assert send(selector, create_request(3, chain)).cached_blocks == 0


def test_leaving_and_excluded_engines_get_no_requests():
    selector = create_selector(create_snapshot(engines=3, leaving=(0,)), Clock())
    excluded = frozenset({EngineName("engine-1")})
    for number in range(20):
        assert send(selector, create_request(number, excluded=excluded)).engine == "engine-2"


def test_other_version_is_not_served():
    clock = Clock()
    selector = create_selector(create_snapshot(engines=1), clock)
    report_load(selector, 0, clock, versions={"notes": "v2"})
    refusal = selector.choose_engine(create_request(1))
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.NO_UPSTREAM


def test_deadline_that_can_not_be_met_is_refused_with_retry_after():
    clock = Clock()
    selector = create_selector(create_snapshot(engines=1), clock)
    report_load(selector, 0, clock, queued=4, queued_tokens=100_000)
    refusal = selector.choose_engine(create_request(1, deadline=clock() + 1.0))
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert 1.55 < refusal.retry_after < 1.57


def test_full_slots_are_refused():
    selector = create_selector(create_snapshot(engines=1, slots=2), Clock())
    send(selector, create_request(1))
    send(selector, create_request(2))
    refusal = selector.choose_engine(create_request(3))
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.OVERLOADED


def test_unreachable_engine_is_ejected_and_ramps_up_slowly():
    clock = Clock()
    selector = create_selector(create_snapshot(engines=2, slots=10), clock)
    first = send(selector, create_request(1))
    selector.record_finish(first, AttemptOutcome.UNREACHABLE)
    for number in range(2, 12):
        assert send(selector, create_request(number)).engine != first.engine
    assert isinstance(selector.choose_engine(create_request(12)), Refusal)
    clock.now += 0.6
    assert send(selector, create_request(13)).engine == first.engine
    assert isinstance(selector.choose_engine(create_request(14)), Refusal)


def test_when_every_engine_is_ejected_each_gets_one_request_at_a_time():
    clock = Clock()
    selector = create_selector(create_snapshot(engines=1, slots=10), clock)
    selector.record_finish(send(selector, create_request(1)), AttemptOutcome.UNREACHABLE)
    trial = send(selector, create_request(2))
    refusal = selector.choose_engine(create_request(3))
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.OVERLOADED
    selector.record_finish(trial, AttemptOutcome.DONE)
    send(selector, create_request(4))


def test_when_every_service_is_ejected_each_gets_one_call_at_a_time():
    upstream = Upstream(name="booking-1", domain="north", address="127.0.0.1:1")
    route = Route(name="visits", upstreams=("booking-1",))
    snapshot = replace_resource(Snapshot(), Kind.UPSTREAM, "booking-1", upstream, Revision(1))
    selector = create_selector(snapshot, Clock())
    choice = selector.choose_upstream(route)
    selector.record_dispatch(choice)
    selector.record_finish(choice, AttemptOutcome.UNREACHABLE)
    trial = selector.choose_upstream(route)
    selector.record_dispatch(trial)
    refusal = selector.choose_upstream(route)
    assert isinstance(refusal, Refusal) and refusal.code is ResultCode.OVERLOADED
    assert isinstance(selector.choose_upstream(route, frozenset({trial.upstream})), Refusal)


def test_work_is_sent_at_once_but_blocks_only_after_their_import(monkeypatch):
    clock = Clock()
    selector = create_selector(create_snapshot(engines=1), clock)
    chain = create_chain("rules", "notes")
    keys = [create_key(block) for block in chain]
    selector._transfers.kept.add(keys)
    presence_during_import: list[list[float]] = []

    def import_blocks(choice) -> float:
        presence_during_import.append(
            selector.engines.index.estimate_presence(choice.engine, keys, clock())
        )
        batch = selector._sharing.create_batch()
        assert batch["work"] == {choice.engine: 1_000} and not batch["dispatches"]
        return 0.02

    monkeypatch.setattr(selector._transfers, "import_blocks", import_blocks)
    choice = send(selector, create_request(1, chain))
    assert choice.imports == range(2)
    assert presence_during_import == [[]]
    assert selector.engines.index.estimate_presence(choice.engine, keys, clock()) == [1.0, 1.0]
