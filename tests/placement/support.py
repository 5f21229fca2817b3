"""Create upstreams and prompts for tests of the selection."""

from dataclasses import replace

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.placement import EntryState, PrefixTracker, UpstreamEntry, UpstreamRegistry
from turmericproxy.placement.selection import SelectionContext
from turmericproxy.traffic.requests import Prompt, PromptPart
from turmericproxy.traffic.site import EngineTraits, KeptStore

MODEL = ModelName("m")
SERVICE = ServiceName("llm")
TRAITS = EngineTraits(64, 90_000, 163_840, 2.75e11, (MODEL,))
PROMPT = Prompt(
    MODEL, 9_000, 9, (PromptPart("r", 2_500), PromptPart("c", 3_800), PromptPart("own", 2_700))
)


def create_entry(
    name: str, *, domain: str = "a", version: int = 1, started_at: int = 1
) -> UpstreamEntry:
    return UpstreamEntry(
        InstanceId(name),
        SERVICE,
        f"10.0.0.1:{len(name)}",
        domain,
        64,
        EntryState.READY,
        started_at,
        {MODEL: version},
    )


def create_registry(*entries: UpstreamEntry) -> UpstreamRegistry:
    registry = UpstreamRegistry()
    for entry in entries:
        registry.update(entry)
    registry.set_capacity(SERVICE, TRAITS.capacity_tokens)
    return registry


def create_context(
    *, wanted_version: int = 1, wanted_age: float = 100.0, **changes: object
) -> SelectionContext:
    context = SelectionContext(
        traits=TRAITS,
        model=MODEL,
        domain="a",
        isolation_key="",
        kept_store=None,
        kept_prefixes=PrefixTracker(800_000),
        is_unreachable=lambda domain: False,
        wanted_version=wanted_version,
        measure_age=lambda version: wanted_age if version < wanted_version else 0.0,
        oldest_age=4.5,
        now=10.0,
    )
    return replace(context, **changes)  # type: ignore[arg-type]


STORE = KeptStore("172.0.0.1:1", "b", 2.6e10, 800_000)
