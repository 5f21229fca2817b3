"""Check which engines load next."""

from turmericproxy.core.ids import InstanceId
from turmericproxy.rollout.plan import EMPTIED_AT_ONCE, LOADS_AT_ONCE, EngineStanding, choose_loads


def stand(name: str, version: int = 1, requests: int = 0, **more: bool) -> EngineStanding:
    fields = {"is_loading": False, "is_reachable": True} | more
    return EngineStanding(InstanceId(name), version, requests, **fields)


def test_few_load_at_once_the_least_busy_first() -> None:
    engines = [stand(name, requests=n) for name, n in zip("abcdefgh", range(8, 0, -1), strict=True)]
    assert choose_loads(engines, 2) == ("h", "g", "f")
    assert len(choose_loads(engines, 2)) == LOADS_AT_ONCE + EMPTIED_AT_ONCE


def test_half_of_the_engines_go_on_serving() -> None:
    engines = [stand("a", requests=5), stand("b", requests=1), stand("c", requests=3)]
    assert choose_loads(engines, 2) == ("b",)
    assert choose_loads([stand("a")], 2) == ("a",)


def test_loading_engines_take_their_room() -> None:
    engines = [stand("a", is_loading=True), stand("b"), stand("c"), stand("d")]
    assert choose_loads(engines, 2) == ("b",)


def test_lost_engines_take_no_room() -> None:
    lost = [stand(f"lost{n}", is_reachable=False) for n in range(4)]
    engines = [*lost, stand("b"), stand("c", version=2), stand("d"), stand("e")]
    assert choose_loads(engines, 2) == ("b", "d")
