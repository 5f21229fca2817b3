"""Check the plan of loads: two at a time, half of the engines keep serving, and it completes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericproxy.configuration import Engine, Kind, Model, Snapshot, replace_resource
from turmericproxy.core import EngineName, ModelName, Revision
from turmericproxy.weights import EngineReport, LoadOrder, plan_orders

MODELS = ("verdict", "reply")


def build_snapshot(engines: dict[str, tuple[str, ...]], version: str = "2") -> Snapshot:
    snapshot = Snapshot()
    for name in MODELS:
        resource = Model(name=name, version=version)
        snapshot = replace_resource(snapshot, Kind.MODEL, name, resource, Revision(7))
    for name, models in engines.items():
        engine = Engine(name=name, domain="north", address="127.0.0.1:1", models=models)
        snapshot = replace_resource(snapshot, Kind.ENGINE, name, engine, Revision(7))
    return snapshot


def report_all(names: object, version: str) -> dict[EngineName, EngineReport]:
    return {EngineName(name): EngineReport({m: version for m in MODELS}) for name in names}


def test_at_most_two_engines_load_at_a_time_with_the_revision_as_fence() -> None:
    snapshot = build_snapshot({f"engine-{n}": ("verdict",) for n in range(6)})
    orders = plan_orders(snapshot, report_all([f"engine-{n}" for n in range(6)], "1"))
    assert [order.engine for order in orders] == ["engine-0", "engine-1"]
    assert {(order.version, order.fence) for order in orders} == {("2", 7)}
    assert plan_orders(snapshot, report_all([f"engine-{n}" for n in range(6)], "1"), orders) == ()


def test_last_serving_engine_waits_until_another_serves_again() -> None:
    snapshot = build_snapshot({"engine-0": ("verdict",), "engine-1": ("verdict",)})
    reports = report_all(["engine-0", "engine-1"], "1")
    (first,) = plan_orders(snapshot, reports)
    reports[EngineName("engine-0")] = EngineReport({"verdict": "1"}, frozenset({"verdict"}))
    assert plan_orders(snapshot, reports) == ()
    reports[EngineName("engine-0")] = EngineReport({"verdict": "2"})
    (second,) = plan_orders(snapshot, reports)
    assert (first.engine, second.engine) == ("engine-0", "engine-1")


def test_engine_counts_as_serving_only_after_the_settling_time() -> None:
    snapshot = build_snapshot({"engine-0": ("verdict",), "engine-1": ("verdict",)})
    reports = report_all(["engine-1"], "1")
    reports[EngineName("engine-0")] = EngineReport({"verdict": "2"})
    pair = (EngineName("engine-0"), ModelName("verdict"))
    assert plan_orders(snapshot, reports, settling=frozenset({pair})) == ()
    assert len(plan_orders(snapshot, reports)) == 1


def test_unreachable_engine_does_not_block_the_others() -> None:
    snapshot = build_snapshot({f"engine-{n}": ("verdict",) for n in range(4)})
    reports = report_all(["engine-2", "engine-3"], "1")
    assert [order.engine for order in plan_orders(snapshot, reports)] == ["engine-2"]


engine_models = st.lists(st.sets(st.sampled_from(MODELS), min_size=1), min_size=1, max_size=6)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(engine_models, st.data())
def test_rollout_completes_while_half_of_the_engines_keep_serving(
    models: list[set[str]], data: st.DataObject
) -> None:
    names = [EngineName(f"engine-{n}") for n in range(len(models))]
    snapshot = build_snapshot(
        {name: tuple(sorted(own)) for name, own in zip(names, models, strict=True)}
    )
    versions = {name: {m: "1" for m in own} for name, own in zip(names, models, strict=True)}
    loading: list[LoadOrder] = []
    for _ in range(4 * len(models) * len(MODELS)):
        reports = {
            name: EngineReport(
                versions[name], frozenset(o.model for o in loading if o.engine == name)
            )
            for name in names
        }
        loading += plan_orders(snapshot, reports)
        assert len(loading) <= 2
        for model in MODELS:
            capable = {name for name in names if model in versions[name]}
            busy = {order.engine for order in loading if order.model == model}
            assert len(capable) < 2 or 2 * len(capable - busy) >= len(capable)
        if not loading:
            break
        done = data.draw(st.sampled_from(loading))
        loading.remove(done)
        versions[done.engine][ModelName(done.model)] = done.version
    assert all(version == "2" for own in versions.values() for version in own.values())
