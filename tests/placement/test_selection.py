"""Check the choice of an engine under the patterns of load and trouble that it answers."""

import pytest

from tests.placement.support import (
    MODEL,
    PROMPT,
    SERVICE,
    STORE,
    create_entry,
    create_registry,
    create_scene,
)
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement import PrefixTracker, UpstreamRegistry
from turmericproxy.placement.engines import EngineCandidate
from turmericproxy.placement.health import HealthSignal
from turmericproxy.placement.registry import Work
from turmericproxy.placement.selection import (
    SelectionContext,
    build_cache_space,
    list_available,
    list_keys,
    select_engine,
)

ONE, TWO = InstanceId("one"), InstanceId("two")


def select(
    registry: UpstreamRegistry, context: SelectionContext | None = None
) -> EngineCandidate | None:
    return select_engine(
        registry.list_ready(SERVICE), PROMPT, context or create_scene(), frozenset()
    )


def place(
    registry: UpstreamRegistry, instance: InstanceId, version: int = 1, ready_at: float = 0.0
) -> None:
    keys = list_keys(build_cache_space("", MODEL, version), PROMPT)
    state = registry.find(instance)
    assert state is not None
    tokens = [part.tokens for part in PROMPT.shared_parts]
    state.prefixes.add(zip(keys, tokens, strict=True), ready_at)


@pytest.mark.parametrize("holder", [ONE, TWO])
def test_prompt_goes_where_its_parts_are_cached(holder: InstanceId) -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    place(registry, holder)
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == holder
    assert chosen.view.cached_parts == 2
    assert chosen.pending_prefill_tokens == 2_700


def test_hot_key_spreads_by_fetching_from_the_busy_holder() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    place(registry, ONE)
    registry.add_work(ONE, Work(8, 20_000, 60_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == TWO
    assert chosen.fetch_from == registry.find(ONE).entry.address  # type: ignore[union-attr]
    assert chosen.pending_prefill_tokens == 2_700


def test_parts_that_are_still_being_read_are_no_source() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    place(registry, ONE, ready_at=11.0)
    registry.add_work(ONE, Work(1, 4_000, 9_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == ONE


def test_walls_and_versions_separate_caches() -> None:
    registry = create_registry(create_entry("one", version=2), create_entry("two", version=2))
    place(registry, TWO, version=1)
    chosen = select(registry, create_scene(wanted_version=2))
    assert chosen is not None
    assert chosen.view.cached_parts == 0
    place(registry, TWO, version=2)
    walled = select(registry, create_scene(wanted_version=2, isolation_key="alone"))
    assert walled is not None
    assert walled.view.cached_parts == 0


def test_engine_of_another_version_is_no_source() -> None:
    registry = create_registry(create_entry("one", version=1), create_entry("two", version=2))
    place(registry, ONE, version=1)
    chosen = select(registry, create_scene(wanted_version=2))
    assert chosen is not None
    assert chosen.view.instance == TWO
    assert chosen.fetch_from is None


def test_kept_store_is_the_source_when_no_engine_holds_the_parts() -> None:
    kept = PrefixTracker(800_000)
    keys = list_keys(build_cache_space("", MODEL, 1), PROMPT)
    kept.add(zip(keys, [2_500, 3_800], strict=True))
    context = create_scene(kept_prefixes=kept, kept_store=STORE)
    chosen = select(create_registry(create_entry("one")), context)
    assert chosen is not None
    assert chosen.fetch_from == STORE.address


def test_source_beyond_a_cut_is_not_used() -> None:
    kept = PrefixTracker(800_000)
    kept.add(zip(list_keys(build_cache_space("", MODEL, 1), PROMPT), [2_500, 3_800], strict=True))
    context = create_scene(
        kept_prefixes=kept, kept_store=STORE, is_unreachable=lambda domain: domain == "b"
    )
    chosen = select(create_registry(create_entry("one")), context)
    assert chosen is not None
    assert chosen.fetch_from is None


def test_zone_cut_leaves_the_engines_of_the_own_side() -> None:
    registry = create_registry(create_entry("one", domain="b"), create_entry("two", domain="a"))
    registry.add_work(TWO, Work(30, 30_000, 90_000))
    chosen = select(registry, create_scene(is_unreachable=lambda domain: domain == "b"))
    assert chosen is not None
    assert chosen.view.instance == TWO


def test_engines_that_were_lost_are_tried_when_nothing_else_is_left() -> None:
    registry = create_registry(create_entry("one"))
    registry.record_health_signal(ONE, HealthSignal.UNREACHABLE, 9.9)
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == ONE


def test_engine_is_tried_with_one_request_after_a_pause() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    registry.record_health_signal(ONE, HealthSignal.UNREACHABLE, 9.0)
    states = registry.list_ready(SERVICE)

    def list_names(now: float) -> list[str]:
        return [s.entry.instance for s in list_available(states, lambda domain: False, now)]

    assert list_names(9.2) == [TWO]
    assert list_names(9.8) == [ONE, TWO]
    registry.add_work(ONE, Work(1, 100, 100))
    assert list_names(9.8) == [TWO]
    registry.record_health_signal(ONE, HealthSignal.ANSWERED, 9.9)
    assert list_names(9.9) == [ONE, TWO]


def test_older_weights_are_left_in_time() -> None:
    registry = create_registry(create_entry("one", version=1), create_entry("two", version=2))
    registry.add_work(TWO, Work(60, 80_000, 90_000))
    early = select(registry, create_scene(wanted_version=2, wanted_age=1.0))
    late = select(registry, create_scene(wanted_version=2, wanted_age=4.6))
    assert early is not None
    assert early.view.instance == ONE
    assert late is not None
    assert late.view.instance == TWO
    registry.remove(TWO)
    assert select(registry, create_scene(wanted_version=2, wanted_age=4.6)) is None


def test_full_memory_sends_prompts_elsewhere() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    place(registry, ONE)
    registry.add_work(ONE, Work(20, 0, 89_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == TWO


def test_hosts_agree_on_the_home_of_a_new_prompt() -> None:
    forth = create_registry(create_entry("one"), create_entry("two"))
    back = create_registry(create_entry("two"), create_entry("one"))
    assert select(forth).view.instance == select(back).view.instance  # type: ignore[union-attr]
