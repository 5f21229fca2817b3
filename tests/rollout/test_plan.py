"""Check which engines load next."""

from turmericproxy.core.ids import InstanceId
from turmericproxy.rollout.plan import LOADS_AT_ONCE, EngineStanding, choose_loads


def stand(name: str, version: int = 1, requests: int = 0, **more: bool) -> EngineStanding:
    fields = {"is_loading": False, "is_reachable": True} | more
    return EngineStanding(InstanceId(name), version, requests, **fields)


def test_few_load_at_once_the_least_busy_first() -> None:
    engines = [stand("a", requests=5), stand("b", requests=1), stand("c", requests=3)]
    assert choose_loads(engines, 2) == ("b", "c")
    assert len(choose_loads(engines, 2)) == LOADS_AT_ONCE


def test_loading_engines_take_their_room() -> None:
    engines = [stand("a", is_loading=True), stand("b"), stand("c")]
    assert choose_loads(engines, 2) == ("b",)


def test_lost_engines_take_no_room() -> None:
    engines = [stand("a", is_reachable=False), stand("b"), stand("c", version=2), stand("d")]
    assert choose_loads(engines, 2) == ("b", "d")
