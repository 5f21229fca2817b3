"""Plan which engines load which weights, from the configured and the reported versions."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from turmericproxy.configuration import Engine, Snapshot, UpstreamState
from turmericproxy.core import EngineName, ModelName, Revision

MAX_CONCURRENT_LOADS = 2

EngineModel = tuple[EngineName, ModelName]


@dataclass(frozen=True)
class EngineReport:
    """Represent an engine's reported versions by model, and the models that it is loading."""

    versions: Mapping[str, str]
    loading: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LoadOrder:
    """Represent an order to load a version; ``fence`` is the revision that configures it."""

    engine: EngineName
    model: ModelName
    version: str
    fence: Revision


@dataclass
class _PlanState:
    """Track the reachable engines and their loads while a plan is computed."""

    engines: Mapping[EngineName, Engine]
    reports: Mapping[EngineName, EngineReport]
    loading: set[EngineModel]
    settling: frozenset[EngineModel]

    def is_serving(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether an engine accepts requests for a model now."""
        return (
            model in self.reports[engine].versions
            and (engine, model) not in self.loading
            and self.engines[engine].state is UpstreamState.ACTIVE
        )

    def is_settled(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether an engine serves a model and every host has had time to detect it."""
        return self.is_serving(engine, model) and (engine, model) not in self.settling

    def is_required(self, engine: EngineName, model: ModelName) -> bool:
        """Return whether a load here would leave less than half of the model's engines serving."""
        if not self.is_serving(engine, model):
            return False
        capable = [
            name
            for name, other in self.engines.items()
            if model in other.models and other.state is UpstreamState.ACTIVE
        ]
        if len(capable) < 2:
            return False
        remaining = [name for name in capable if name != engine and self.is_settled(name, model)]
        return 2 * len(remaining) < len(capable)


def plan_orders(
    snapshot: Snapshot,
    reports: Mapping[EngineName, EngineReport],
    pending: Iterable[LoadOrder] = (),
    settling: frozenset[EngineModel] = frozenset(),
) -> tuple[LoadOrder, ...]:
    """Return the orders to send now, sorted by the engines' names.

    Engines without a report are unreachable and are left out. ``pending`` are orders whose effect
    the reports do not show yet; ``settling`` has the engine-model pairs that began to serve so
    recently that some hosts may not have detected it. At most two engines load at a time, and half
    of a model's engines keep serving it. The plan is deterministic, so that hosts which plan from
    the same reports send the same orders.
    """
    engines = {
        EngineName(engine.name): engine
        for engine in snapshot.list_engines()
        if EngineName(engine.name) in reports
    }
    loading = {(name, ModelName(model)) for name in engines for model in reports[name].loading} | {
        (order.engine, order.model) for order in pending if order.engine in engines
    }
    state = _PlanState(engines, reports, loading, settling)
    orders = []
    for order in _list_outdated(snapshot, state):
        if len(state.loading) >= MAX_CONCURRENT_LOADS:
            break
        if state.is_required(order.engine, order.model):
            continue
        state.loading.add((order.engine, order.model))
        orders.append(order)
    return tuple(orders)


def _list_outdated(snapshot: Snapshot, state: _PlanState) -> Iterable[LoadOrder]:
    for name, engine in state.engines.items():
        for model_name in engine.models:
            model, key = snapshot.find_model(model_name), ModelName(model_name)
            if model is None or (name, key) in state.loading:
                continue
            if state.reports[name].versions.get(key) != model.version:
                yield LoadOrder(name, key, model.version, snapshot.revision)
