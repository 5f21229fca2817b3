"""Check which engines are chosen to load next."""

import pytest

from turmericproxy.core.ids import InstanceId
from turmericproxy.rollout.plan import MIN_LOADING_LIMIT, EngineStatus, choose_engines


def create_status(name: str, version: int = 1, requests: int = 0, **changes: bool) -> EngineStatus:
    fields = {"is_loading": False, "is_available": True} | changes
    return EngineStatus(InstanceId(name), version, requests, **fields)


def test_least_busy_engines_load_first_within_the_limit() -> None:
    engines = [
        create_status("a", requests=5),
        create_status("b", requests=1),
        create_status("c", requests=3),
    ]
    assert choose_engines(engines, 2) == ("b", "c")
    assert len(choose_engines(engines, 2)) == MIN_LOADING_LIMIT


def test_loading_engines_count_toward_the_limit() -> None:
    engines = [create_status("a", is_loading=True), create_status("b"), create_status("c")]
    assert choose_engines(engines, 2) == ("b",)


def test_unavailable_engines_are_skipped_and_do_not_count() -> None:
    engines = [
        create_status("a", is_available=False),
        create_status("b"),
        create_status("c", version=2),
        create_status("d"),
    ]
    assert choose_engines(engines, 2) == ("b", "d")


@pytest.mark.parametrize("count", [5, 6, 7, 8, 12, 14, 30, 45, 1200])
def test_number_of_rounds_does_not_grow_with_the_number_of_engines(count: int) -> None:
    engines = {InstanceId(f"e{n}"): create_status(f"e{n}") for n in range(count)}
    rounds = 0
    while chosen := choose_engines(list(engines.values()), 2):
        # In the users' figures, loads on two fifths of the engines slow each other down.
        assert len(chosen) <= max(MIN_LOADING_LIMIT, 0.4 * count)
        engines |= {instance: create_status(instance, version=2) for instance in chosen}
        rounds += 1
    assert rounds <= 4
