"""Choose an upstream for each request from the state of all upstreams that this host knows."""

from turmericproxy.placement.engines import (
    EngineView,
    PromptRequirements,
    choose_engine,
    score_engine,
)
from turmericproxy.placement.entries import EntryState, UpstreamEntry
from turmericproxy.placement.plain import PlainView, choose_plain
from turmericproxy.placement.prefixes import PrefixTracker
from turmericproxy.placement.registry import UpstreamRegistry

__all__ = [
    "EngineView",
    "EntryState",
    "PlainView",
    "PrefixTracker",
    "PromptRequirements",
    "UpstreamEntry",
    "UpstreamRegistry",
    "choose_engine",
    "choose_plain",
    "score_engine",
]
