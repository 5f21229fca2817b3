"""Load the weights that the configuration sets into the engines."""

from turmericproxy.weights.controller import WeightController
from turmericproxy.weights.orders import EngineReport, LoadOrder, plan_orders

__all__ = ["EngineReport", "LoadOrder", "WeightController", "plan_orders"]
