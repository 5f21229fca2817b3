"""Check which engine is selected, depending on caches, load, failures and versions."""

import pytest

from tests.placement.support import (
    MODEL,
    PROMPT,
    SERVICE,
    STORE,
    create_context,
    create_entry,
    create_registry,
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
        registry.list_ready(SERVICE), PROMPT, context or create_context(), frozenset()
    )


def cache_prompt(
    registry: UpstreamRegistry, instance: InstanceId, version: int = 1, ready_at: float = 0.0
) -> None:
    keys = list_keys(build_cache_space("", MODEL, version), PROMPT)
    state = registry.find(instance)
    assert state is not None
    tokens = [part.tokens for part in PROMPT.shared_parts]
    state.prefixes.add(zip(keys, tokens, strict=True), ready_at)


@pytest.mark.parametrize("engine", [ONE, TWO])
def test_prompt_is_sent_to_the_engine_that_has_its_parts_cached(engine: InstanceId) -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    cache_prompt(registry, engine)
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == engine
    assert chosen.view.cached_parts == 2
    assert chosen.pending_prefill_tokens == 2_700


def test_idle_engine_fetches_a_popular_prefix_from_a_busy_one() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    cache_prompt(registry, ONE)
    registry.add_work(ONE, Work(8, 20_000, 60_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == TWO
    assert chosen.fetch_from == registry.find(ONE).entry.address  # type: ignore[union-attr]
    assert chosen.pending_prefill_tokens == 2_700


def test_parts_are_not_fetched_before_they_are_prefilled() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    cache_prompt(registry, ONE, ready_at=11.0)
    registry.add_work(ONE, Work(1, 4_000, 9_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == ONE


def test_isolation_keys_and_versions_separate_caches() -> None:
    registry = create_registry(create_entry("one", version=2), create_entry("two", version=2))
    cache_prompt(registry, TWO, version=1)
    chosen = select(registry, create_context(wanted_version=2))
    assert chosen is not None
    assert chosen.view.cached_parts == 0
    cache_prompt(registry, TWO, version=2)
    isolated = select(registry, create_context(wanted_version=2, isolation_key="alone"))
    assert isolated is not None
    assert isolated.view.cached_parts == 0


def test_parts_are_not_fetched_from_an_engine_with_another_version() -> None:
    registry = create_registry(create_entry("one", version=1), create_entry("two", version=2))
    cache_prompt(registry, ONE, version=1)
    chosen = select(registry, create_context(wanted_version=2))
    assert chosen is not None
    assert chosen.view.instance == TWO
    assert chosen.fetch_from is None


def test_parts_that_no_engine_has_are_fetched_from_the_kept_store() -> None:
    kept_prefixes = PrefixTracker(800_000)
    keys = list_keys(build_cache_space("", MODEL, 1), PROMPT)
    kept_prefixes.add(zip(keys, [2_500, 3_800], strict=True))
    context = create_context(kept_prefixes=kept_prefixes, kept_store=STORE)
    chosen = select(create_registry(create_entry("one")), context)
    assert chosen is not None
    assert chosen.fetch_from == STORE.address


def test_parts_are_not_fetched_from_an_unreachable_domain() -> None:
    kept_prefixes = PrefixTracker(800_000)
    kept_prefixes.add(
        zip(list_keys(build_cache_space("", MODEL, 1), PROMPT), [2_500, 3_800], strict=True)
    )
    context = create_context(
        kept_prefixes=kept_prefixes, kept_store=STORE, is_unreachable=lambda domain: domain == "b"
    )
    chosen = select(create_registry(create_entry("one")), context)
    assert chosen is not None
    assert chosen.fetch_from is None


def test_engines_of_an_unreachable_domain_are_not_selected() -> None:
    registry = create_registry(create_entry("one", domain="b"), create_entry("two", domain="a"))
    registry.add_work(TWO, Work(30, 30_000, 90_000))
    chosen = select(registry, create_context(is_unreachable=lambda domain: domain == "b"))
    assert chosen is not None
    assert chosen.view.instance == TWO


def test_paused_engine_is_selected_if_there_is_no_other() -> None:
    registry = create_registry(create_entry("one"))
    registry.record_health_signal(ONE, HealthSignal.UNREACHABLE, 9.9)
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == ONE


def test_engine_gets_one_probe_request_after_a_pause() -> None:
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


def test_engine_with_older_weights_is_not_selected_after_the_limit() -> None:
    registry = create_registry(create_entry("one", version=1), create_entry("two", version=2))
    registry.add_work(TWO, Work(60, 80_000, 90_000))
    before_limit = select(registry, create_context(wanted_version=2, wanted_age=1.0))
    after_limit = select(registry, create_context(wanted_version=2, wanted_age=4.6))
    assert before_limit is not None
    assert before_limit.view.instance == ONE
    assert after_limit is not None
    assert after_limit.view.instance == TWO
    registry.remove(TWO)
    assert select(registry, create_context(wanted_version=2, wanted_age=4.6)) is None


def test_prompt_that_would_begin_on_too_old_weights_is_not_sent() -> None:
    """Guard against requests that begin too late after waiting in the queue of an old engine.

    A burst comes while engines have not carried out their orders yet. The weights are still allowed
    when the request is sent, and no longer when the engine begins it.
    """
    registry = create_registry(create_entry("one"))
    state = registry.find(ONE)
    assert state is not None
    context = create_context(wanted_version=2, wanted_age=3.0)
    assert select(registry, context) is not None
    registry.add_work(ONE, Work(20, int(1.6 * state.tokens_per_second), 0))
    assert select(registry, context) is None
    assert select(registry, create_context(wanted_version=2, wanted_age=0.5)) is not None
    registry.update(create_entry("two", version=2))
    registry.add_work(TWO, Work(40, int(9.0 * state.tokens_per_second), 0))
    chosen = select(registry, context)
    assert chosen is not None and chosen.view.instance == TWO


def test_engine_with_full_memory_is_avoided() -> None:
    registry = create_registry(create_entry("one"), create_entry("two"))
    cache_prompt(registry, ONE)
    registry.add_work(ONE, Work(20, 0, 89_000))
    chosen = select(registry)
    assert chosen is not None
    assert chosen.view.instance == TWO


def test_preferred_engine_does_not_depend_on_the_order_of_registration() -> None:
    forward = create_registry(create_entry("one"), create_entry("two"))
    backward = create_registry(create_entry("two"), create_entry("one"))
    assert select(forward).view.instance == select(backward).view.instance  # type: ignore[union-attr]
