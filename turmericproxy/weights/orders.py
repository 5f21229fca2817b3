"""Plan which engines load which weights, as a function of wanted and reported versions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericproxy.configuration import Engine, Snapshot, UpstreamState
from turmericproxy.core import EngineName, ModelName, Revision

LOADS_AT_ONCE = 2


@dataclass(frozen=True)
class EngineReport:
    """Hold what an engine last reported of its weights."""

    versions: Mapping[str, str]
    loading: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LoadOrder:
    """Tell an engine to load a version; the fence is the revision that asks for it."""

    engine: EngineName
    model: ModelName
    version: str
    fence: Revision


@dataclass
class _Fleet:
    """Hold the reachable engines while a plan is made."""

    engines: Mapping[EngineName, Engine]
    reports: Mapping[EngineName, EngineReport]
    loading: set[tuple[EngineName, ModelName]]

    def is_serving(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether an engine takes requests for a model now."""
        return (
            model in self.reports[engine].versions
            and (engine, model) not in self.loading
            and self.engines[engine].state is UpstreamState.ACTIVE
        )

    def is_needed(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether a load at this engine would leave none that serves the model."""
        others = [
            name
            for name, other in self.engines.items()
            if name != engine and model in other.models and other.state is UpstreamState.ACTIVE
        ]
        if not others or not self.is_serving(engine, model):
            return False
        return not any(self.is_serving(name, model) for name in others)


def plan_orders(
    snapshot: Snapshot,
    reports: Mapping[EngineName, EngineReport],
    awaited: Iterable[LoadOrder] = (),
) -> tuple[LoadOrder, ...]:
    """Return the orders to send now, in the order of the engines' names.

    Engines without a report are out of reach and left out. ``awaited`` are orders whose effect the
    reports do not show yet. At most two engines load at a time, and a model that several engines
    serve is never left without one. All hosts plan alike, so that their orders double each other.
    """
    engines = {
        EngineName(engine.name): engine
        for engine in snapshot.list_engines()
        if EngineName(engine.name) in reports
    }
    loading = {(name, ModelName(model)) for name in engines for model in reports[name].loading} | {
        (order.engine, order.model) for order in awaited if order.engine in engines
    }
    fleet = _Fleet(engines, reports, loading)
    orders = []
    for order in _list_differences(snapshot, fleet):
        if len(fleet.loading) >= LOADS_AT_ONCE:
            break
        if fleet.is_needed(order.engine, order.model):
            continue
        fleet.loading.add((order.engine, order.model))
        orders.append(order)
    return tuple(orders)


def _list_differences(snapshot: Snapshot, fleet: _Fleet) -> Iterable[LoadOrder]:
    for name, engine in fleet.engines.items():
        for model_name in engine.models:
            model, key = snapshot.find_model(model_name), ModelName(model_name)
            if model is None or (name, key) in fleet.loading:
                continue
            if fleet.reports[name].versions.get(key) != model.version:
                yield LoadOrder(name, key, model.version, snapshot.revision)
