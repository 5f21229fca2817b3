"""Stand in for a model engine with continuous batching and a prefix cache."""

from turmericproxy.standins.engine.generation import generate_piece, generate_text
from turmericproxy.standins.engine.http_api import EngineStandIn, create_engine
from turmericproxy.standins.engine.options import EngineOptions

__all__ = [
    "EngineOptions",
    "EngineStandIn",
    "create_engine",
    "generate_piece",
    "generate_text",
]
