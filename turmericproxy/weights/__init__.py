"""Bring the engines to the weights that the configuration asks for."""

from turmericproxy.weights.controller import WeightController
from turmericproxy.weights.orders import EngineReport, LoadOrder, plan_orders

__all__ = ["EngineReport", "LoadOrder", "WeightController", "plan_orders"]
