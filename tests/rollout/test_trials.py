"""Check when a version of weights is held back since engines end while they load it."""

from dataclasses import replace

from tests.placement.support import MODEL, create_entry, create_registry
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.registry import UpstreamRegistry
from turmericproxy.rollout.trials import FIRST_DELAY_SECONDS, VersionTrials

# Of different lengths, since their addresses follow from these.
ENGINES = ("a", "bb", "ccc", "dddd")
TARGET = (MODEL, 2)


def create_trials() -> tuple[UpstreamRegistry, VersionTrials]:
    registry = create_registry(*map(create_entry, ENGINES))
    return registry, VersionTrials(registry)


def observe(trials: VersionTrials, registry: UpstreamRegistry, now: float) -> None:
    trials.observe(TARGET, registry.list_states(), now)


def end_while_loading(
    trials: VersionTrials, registry: UpstreamRegistry, name: str, now: float
) -> None:
    """Announce the load of an engine, and let it start anew before it is over."""
    registry.mark_loading(InstanceId(name), now + 0.5)
    observe(trials, registry, now)
    state = registry.find(InstanceId(name))
    assert state is not None
    registry.update(replace(state.entry, started_at=state.entry.started_at + 1))
    observe(trials, registry, now + 0.1)


# A lease may pass to another host, which must not start from nothing: all hosts count the loads
# that are announced to them.
def test_version_is_held_back_after_three_engines_ended_while_they_loaded_it() -> None:
    registry, trials = create_trials()
    for number, name in enumerate(ENGINES[:3]):
        assert trials.limit_orders(False, float(number)) is None
        end_while_loading(trials, registry, name, float(number))
    assert trials.limit_orders(False, 3.0) == 1
    trials.record_order(3.0)
    assert trials.limit_orders(False, 3.0 + FIRST_DELAY_SECONDS / 2) == 0
    assert trials.limit_orders(False, 3.0 + FIRST_DELAY_SECONDS) == 1
    assert trials.limit_orders(True, 3.0 + FIRST_DELAY_SECONDS) == 0


# Engines that end for other reasons while they load must not be left on old weights.
def test_version_that_some_engine_has_loaded_is_not_held_back() -> None:
    registry, trials = create_trials()
    for name in ENGINES[:3]:
        end_while_loading(trials, registry, name, 1.0)
    assert trials.limit_orders(False, 3.0) == 1
    registry.record_version(InstanceId(ENGINES[3]), MODEL, 2)
    observe(trials, registry, 3.1)
    assert trials.limit_orders(False, 3.1) is None
    for name in ENGINES[:3]:
        end_while_loading(trials, registry, name, 4.0)
    assert trials.limit_orders(False, 5.0) is None


def test_engines_that_end_without_a_load_hold_no_version_back() -> None:
    registry, trials = create_trials()
    for number, name in enumerate(ENGINES):
        observe(trials, registry, float(number))
        state = registry.find(InstanceId(name))
        assert state is not None
        registry.update(replace(state.entry, started_at=state.entry.started_at + 1))
    observe(trials, registry, 9.0)
    assert trials.limit_orders(False, 9.0) is None


def test_newer_version_is_not_held_back_for_an_older_one() -> None:
    registry, trials = create_trials()
    for name in ENGINES[:3]:
        end_while_loading(trials, registry, name, 1.0)
    trials.observe((MODEL, 3), registry.list_states(), 2.0)
    assert trials.limit_orders(False, 2.0) is None
