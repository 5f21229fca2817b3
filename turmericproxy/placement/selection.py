"""Turn what the host knows into views of engines and plain upstreams for one request."""

import functools
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.engines import (
    FAR_TRANSFER,
    EngineCandidate,
    EngineView,
    FetchSource,
    PromptNeed,
    choose_engine,
    score_engine,
)
from turmericproxy.placement.plain import PlainView
from turmericproxy.placement.prefixes import PartKey, PrefixTracker
from turmericproxy.placement.registry import UpstreamState
from turmericproxy.traffic.requests import Prompt
from turmericproxy.traffic.site import EngineTraits, KeptStore

# Seconds after a version was named at which requests on older weights begin to lose credit.
OLD_WEIGHTS_SECONDS = 1.5
# Expected loss of a request on older weights after that time, as seconds of waiting.
OLD_WEIGHTS_PENALTY = 0.15


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Hold what all engines share in a choice; times are of the event loop.

    ``is_unreachable`` tells failure domains that can't be reached. ``isolation_key`` separates the
    cache of an isolated account. ``measure_age`` tells for how many seconds a version has
    been old, and from ``oldest_age`` on older weights are no longer used.
    """

    traits: EngineTraits
    model: ModelName
    domain: str
    isolation_key: str
    kept_store: KeptStore | None
    kept_prefixes: PrefixTracker
    is_unreachable: Callable[[str], bool]
    wanted_version: int
    measure_age: Callable[[int], float]
    oldest_age: float
    now: float


def build_cache_space(isolation_key: str, model: ModelName, version: int) -> str:
    """Return the cache space of an isolation key and a version of a model's weights.

    >>> build_cache_space("", "m", 3)
    '/m/3'
    """
    return f"{isolation_key}/{model}/{version}"


def list_keys(space: str, prompt: Prompt) -> tuple[PartKey, ...]:
    """Return the keys of the parts that a prompt may share."""
    return tuple(PartKey(space, part.part_id) for part in prompt.shared_parts)


def select_engine(
    states: Sequence[UpstreamState],
    prompt: Prompt,
    context: SelectionContext,
    excluded: frozenset[InstanceId],
) -> EngineCandidate | None:
    """Return the engine with the soonest first token, or ``None`` if none may take the request."""
    usable = [s for s in states if s.entry.instance not in excluded and _may_serve(s, context)]
    if not usable:
        return None
    awake = list_available(usable, context.is_unreachable, context.now)
    need = PromptNeed(
        prompt_tokens=prompt.prompt_tokens,
        output_tokens=prompt.output_tokens,
        shared=prompt.shared_parts,
        home_key=prompt.shared_parts[-1].part_id if prompt.shared_parts else prompt.model,
    )
    keys_at = {
        v: _list_keys_at(v, prompt, context) for v in {_get_version(s, context) for s in usable}
    }
    holdings = [_find_holding(state, keys_at, context) for state in usable]
    known = max(holding.held_parts for holding in holdings)
    sources = [h for h in holdings if h.offered_parts and _is_sound(h.state, context)]
    kept_parts = {
        v: _count_leading(keys, context.kept_prefixes.holds) for v, keys in keys_at.items()
    }
    chosen_from = {state.entry.instance for state in awake}
    candidates = [
        score_engine(
            _view_engine(holding, _find_source(holding, sources, kept_parts, context), context),
            need,
            known,
        )
        for holding in holdings
        if holding.state.entry.instance in chosen_from
    ]
    return choose_engine(candidates, need, known)


@dataclass(frozen=True, slots=True)
class _Holding:
    """Hold how many leading parts of a prompt an engine has, and how many of them to others."""

    state: UpstreamState
    version: int
    held_parts: int
    offered_parts: int


def _find_holding(
    state: UpstreamState, keys_at: Mapping[int, tuple[PartKey, ...]], context: SelectionContext
) -> _Holding:
    version = _get_version(state, context)
    keys, memory = keys_at[version], state.prefixes
    held = _count_leading(keys, memory.holds)
    offered = _count_leading(keys[:held], functools.partial(memory.offers, now=context.now))
    return _Holding(state, version, held, offered)


def list_available(
    states: Sequence[UpstreamState], is_unreachable: Callable[[str], bool], now: float
) -> Sequence[UpstreamState]:
    """Return the upstreams that are likely to answer, or all of them if none is."""
    reachable = [state for state in states if not is_unreachable(state.entry.domain)]
    return [state for state in reachable if not state.is_avoided(now)] or reachable or states


def create_plain_view(state: UpstreamState, domain: str, now: float) -> PlainView:
    """Return a plain upstream as it looks now."""
    return PlainView(
        instance=state.entry.instance,
        address=state.entry.address,
        is_local=state.entry.domain == domain,
        requests=state.requests,
        slots=state.entry.slots,
        call_seconds=state.call_seconds,
        failure_share=state.health.measure_failures(now),
    )


def _may_serve(state: UpstreamState, context: SelectionContext) -> bool:
    return context.measure_age(_get_version(state, context)) < context.oldest_age


def _get_version(state: UpstreamState, context: SelectionContext) -> int:
    return state.versions.get(context.model, 0)


def _list_keys_at(version: int, prompt: Prompt, context: SelectionContext) -> tuple[PartKey, ...]:
    return list_keys(build_cache_space(context.isolation_key, context.model, version), prompt)


def _count_leading(keys: Iterable[PartKey], is_there: Callable[[PartKey], bool]) -> int:
    """Return how many keys are there before the first one that is not."""
    return sum(1 for _ in itertools.takewhile(is_there, keys))


def _view_engine(
    holding: _Holding, source: FetchSource | None, context: SelectionContext
) -> EngineView:
    state, entry = holding.state, holding.state.entry
    changing = max(0.0, state.loading_until - context.now)
    if context.measure_age(holding.version) > OLD_WEIGHTS_SECONDS:
        changing += OLD_WEIGHTS_PENALTY
    return EngineView(
        instance=entry.instance,
        address=entry.address,
        domain=entry.domain,
        is_local=entry.domain == context.domain,
        version=holding.version,
        requests=state.requests,
        pending_prefill_tokens=state.pending_prefill_tokens,
        reserved_tokens=state.reserved_tokens,
        capacity_tokens=context.traits.capacity_tokens,
        cached_parts=holding.held_parts,
        tokens_per_second=state.tokens_per_second,
        failure_share=state.health.measure_failures(context.now),
        changing_seconds=changing,
        source=source,
    )


def _find_source(
    target: _Holding,
    sources: Sequence[_Holding],
    kept_parts: Mapping[int, int],
    context: SelectionContext,
) -> FetchSource | None:
    best: FetchSource | None = None
    for other in sources:
        domain = other.state.entry.domain
        is_equal = other.version == target.version and other.state is not target.state
        if not is_equal or other.offered_parts <= target.held_parts:
            continue
        if not _can_fetch(domain, target.state, context):
            continue
        price = _price_token(context.traits.link_bytes_per_second, domain, target.state, context)
        source = FetchSource(other.state.entry.address, other.offered_parts, price)
        best = min(best or source, source, key=lambda s: (-s.held_parts, s.seconds_per_token))
    return best or _find_kept(target, kept_parts[target.version], context)


def _find_kept(target: _Holding, count: int, context: SelectionContext) -> FetchSource | None:
    store = context.kept_store
    if store is None or count <= target.held_parts:
        return None
    if not _can_fetch(store.domain, target.state, context):
        return None
    seconds = _price_token(store.link_bytes_per_second, store.domain, target.state, context)
    return FetchSource(store.address, count, seconds)


def _is_sound(state: UpstreamState, context: SelectionContext) -> bool:
    return not state.health.is_paused(context.now) and context.now >= state.loading_until


def _can_fetch(domain: str, target: UpstreamState, context: SelectionContext) -> bool:
    # A source that can't be reached costs the engine some hundred milliseconds.
    return domain == target.entry.domain or not context.is_unreachable(domain)


def _price_token(
    link: float, domain: str, target: UpstreamState, context: SelectionContext
) -> float:
    """Return the seconds that a token takes over a link from a failure domain."""
    seconds = context.traits.bytes_per_token / link
    return seconds if domain == target.entry.domain else FAR_TRANSFER * seconds
