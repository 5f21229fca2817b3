"""Plan which engines load which weights, as a function of wanted and reported versions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericproxy.configuration import Engine, Snapshot, UpstreamState
from turmericproxy.core import EngineName, ModelName, Revision

LOADS_AT_ONCE = 2

Place = tuple[EngineName, ModelName]


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
    loading: set[Place]
    settling: frozenset[Place]

    def is_serving(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether an engine takes requests for a model now."""
        return (
            model in self.reports[engine].versions
            and (engine, model) not in self.loading
            and self.engines[engine].state is UpstreamState.ACTIVE
        )

    def is_settled(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether every host can know that an engine takes requests for a model."""
        return self.is_serving(engine, model) and (engine, model) not in self.settling

    def is_needed(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether a load here would leave less than half of the engines serving."""
        if not self.is_serving(engine, model):
            return False
        able = [
            name
            for name, other in self.engines.items()
            if model in other.models and other.state is UpstreamState.ACTIVE
        ]
        if len(able) < 2:
            return False
        left = [name for name in able if name != engine and self.is_settled(name, model)]
        return 2 * len(left) < len(able)


def plan_orders(
    snapshot: Snapshot,
    reports: Mapping[EngineName, EngineReport],
    awaited: Iterable[LoadOrder] = (),
    settling: frozenset[Place] = frozenset(),
) -> tuple[LoadOrder, ...]:
    """Return the orders to send now, in the order of the engines' names.

    Engines without a report are out of reach and left out. ``awaited`` are orders whose effect the
    reports do not show yet; ``settling`` says where engines came to serve a model so recently that
    some host may not know. At most two engines load at a time, and half of the engines of a model
    go on serving it. All hosts plan alike, so that their orders double each other.
    """
    engines = {
        EngineName(engine.name): engine
        for engine in snapshot.list_engines()
        if EngineName(engine.name) in reports
    }
    loading = {(name, ModelName(model)) for name in engines for model in reports[name].loading} | {
        (order.engine, order.model) for order in awaited if order.engine in engines
    }
    fleet = _Fleet(engines, reports, loading, settling)
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
