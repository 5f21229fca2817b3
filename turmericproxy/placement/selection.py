"""Select an engine for a request from the state of all upstreams that this host knows."""

import functools
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from turmericproxy.core import ModelName
from turmericproxy.core.ids import InstanceId
from turmericproxy.placement.engine_speeds import estimate_lasting_slowdown, estimate_slowdown
from turmericproxy.placement.engines import (
    CROSS_DOMAIN_TRANSFER_FACTOR,
    EngineCandidate,
    EngineView,
    FetchSource,
    PromptRequirements,
    choose_engine,
    score_engine,
)
from turmericproxy.placement.pauses import StreamRequirements
from turmericproxy.placement.plain import PlainView
from turmericproxy.placement.prefixes import PartKey, PrefixTracker
from turmericproxy.placement.registry import UpstreamState
from turmericproxy.traffic.requests import Prompt
from turmericproxy.traffic.site import EngineTraits, KeptStore

# Time after the announcement of a version from which requests on older weights are penalized.
OLD_WEIGHTS_GRACE_SECONDS = 1.5
# Expected loss of a request on older weights after that time, expressed as waiting time.
OLD_WEIGHTS_PENALTY_SECONDS = 0.15
# Factor of the expected time to the first token by which a request may begin later: an engine
# serves more urgent requests first, and hosts know of each other's only after they were sent.
WAIT_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """Hold the inputs that all engines share in a selection; times are of the event loop.

    ``is_unreachable`` returns whether a failure domain can't be reached. ``isolation_key``
    separates the cache of an isolated account. ``measure_age`` returns for how many seconds a
    version has been outdated; from ``oldest_age`` on, outdated weights are no longer used.
    ``stream`` is set if engines of the service report their speed.
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
    stream: StreamRequirements | None = None


def build_cache_space(isolation_key: str, model: ModelName, version: int) -> str:
    """Return the name of the cache space for an isolation key and a version of a model's weights.

    >>> build_cache_space("", "m", 3)
    '/m/3'
    """
    return f"{isolation_key}/{model}/{version}"


def list_keys(space: str, prompt: Prompt) -> tuple[PartKey, ...]:
    """Return the cache keys of a prompt's shared parts."""
    return tuple(PartKey(space, part.part_id) for part in prompt.shared_parts)


class ScoredEngines(NamedTuple):
    """Hold the available engines, and those of them whose weights won't be too old."""

    candidates: list[EngineCandidate]
    timely: list[EngineCandidate]
    requirements: PromptRequirements
    max_cached_parts: int


def select_engine(
    states: Sequence[UpstreamState],
    prompt: Prompt,
    context: SelectionContext,
    excluded: frozenset[InstanceId],
) -> EngineCandidate | None:
    """Return the engine with the lowest expected time to the first token.

    Return ``None`` if every engine is excluded or its weights are, or will be, too old.
    """
    scored = score_engines(states, prompt, context, excluded)
    if scored is None or not scored.timely:
        return None
    return choose_engine(scored.timely, scored.requirements, scored.max_cached_parts)


def score_engines(
    states: Sequence[UpstreamState],
    prompt: Prompt,
    context: SelectionContext,
    excluded: frozenset[InstanceId],
) -> ScoredEngines | None:
    """Return the scores of the engines, ``None`` if each is excluded or its weights are too old."""
    usable = [
        s for s in states if s.entry.instance not in excluded and _is_version_usable(s, context)
    ]
    if not usable:
        return None
    available = list_available(usable, context.is_unreachable, context.now)
    requirements = PromptRequirements(
        prompt_tokens=prompt.prompt_tokens,
        output_tokens=prompt.output_tokens,
        shared_parts=prompt.shared_parts,
        affinity_key=prompt.shared_parts[-1].part_id if prompt.shared_parts else prompt.model,
        stream=context.stream,
    )
    keys_by_version = {
        v: _list_keys_for_version(v, prompt, context)
        for v in {_get_version(s, context) for s in usable}
    }
    cached_prefixes = [_find_cached_prefix(state, keys_by_version, context) for state in usable]
    max_cached_parts = max(prefix.cached_parts for prefix in cached_prefixes)
    sources = [
        p for p in cached_prefixes if p.fetchable_parts and _can_serve_fetches(p.state, context)
    ]
    kept_parts_by_version = {
        v: _count_leading(keys, context.kept_prefixes.holds) for v, keys in keys_by_version.items()
    }
    available_instances = {state.entry.instance for state in available}
    candidates = [
        score_engine(
            _create_engine_view(
                prefix, _find_source(prefix, sources, kept_parts_by_version, context), context
            ),
            requirements,
            max_cached_parts,
        )
        for prefix in cached_prefixes
        if prefix.state.entry.instance in available_instances
    ]
    timely = [c for c in candidates if _begins_in_time(c, context)]
    return ScoredEngines(candidates, timely, requirements, max_cached_parts)


@dataclass(frozen=True, slots=True)
class _CachedPrefix:
    """Count the leading parts of a prompt that an engine has cached, and that others can fetch."""

    state: UpstreamState
    version: int
    cached_parts: int
    fetchable_parts: int


def _find_cached_prefix(
    state: UpstreamState,
    keys_by_version: Mapping[int, tuple[PartKey, ...]],
    context: SelectionContext,
) -> _CachedPrefix:
    version = _get_version(state, context)
    keys, tracker = keys_by_version[version], state.prefixes
    cached_parts = _count_leading(keys, tracker.holds)
    fetchable_parts = _count_leading(
        keys[:cached_parts], functools.partial(tracker.is_fetchable, now=context.now)
    )
    return _CachedPrefix(state, version, cached_parts, fetchable_parts)


def list_available(
    states: Sequence[UpstreamState], is_unreachable: Callable[[str], bool], now: float
) -> Sequence[UpstreamState]:
    """Return the upstreams that are likely to answer.

    If requests to all reachable ones are suspended, return all reachable ones. If none is
    reachable, return all.
    """
    reachable = [state for state in states if not is_unreachable(state.entry.domain)]
    return [state for state in reachable if not state.is_suspended(now)] or reachable or states


def create_plain_view(state: UpstreamState, domain: str, now: float) -> PlainView:
    """Return the current state of an upstream of a plain service."""
    return PlainView(
        instance=state.entry.instance,
        address=state.entry.address,
        is_local=state.entry.domain == domain,
        requests=state.requests,
        slots=state.entry.slots,
        call_seconds=state.call_seconds,
        failure_share=state.health.estimate_failure_share(now),
    )


def _is_version_usable(state: UpstreamState, context: SelectionContext) -> bool:
    return context.measure_age(_get_version(state, context)) < context.oldest_age


def _begins_in_time(candidate: EngineCandidate, context: SelectionContext) -> bool:
    """Return whether a request is expected to begin before the engine's weights are too old.

    It waits in the engine's queue, and what counts is the age of the weights when it begins.
    """
    age = context.measure_age(candidate.view.version)
    return not age or age + WAIT_FACTOR * candidate.expected_seconds < context.oldest_age


def _get_version(state: UpstreamState, context: SelectionContext) -> int:
    return state.versions.get(context.model, 0)


def _list_keys_for_version(
    version: int, prompt: Prompt, context: SelectionContext
) -> tuple[PartKey, ...]:
    return list_keys(build_cache_space(context.isolation_key, context.model, version), prompt)


def _count_leading(keys: Iterable[PartKey], is_present: Callable[[PartKey], bool]) -> int:
    """Return the number of keys before the first one that isn't present."""
    return sum(1 for _ in itertools.takewhile(is_present, keys))


def _create_engine_view(
    prefix: _CachedPrefix, source: FetchSource | None, context: SelectionContext
) -> EngineView:
    state, entry = prefix.state, prefix.state.entry
    weights_delay = max(0.0, state.loading_until - context.now)
    if context.measure_age(prefix.version) > OLD_WEIGHTS_GRACE_SECONDS:
        weights_delay += OLD_WEIGHTS_PENALTY_SECONDS
    slowdown, lasting, rate = 1.0, 1.0, state.tokens_per_second
    if stream := context.stream:
        slowdown = estimate_slowdown(state.speed, stream.usual_slowdown, context.now)
        if state.speed is None or not state.speed.raised_reports:
            lasting = slowdown
        else:
            lasting = estimate_lasting_slowdown(state.speed, stream.usual_slowdown)
        rate = stream.tokens_per_second / slowdown
    return EngineView(
        instance=entry.instance,
        address=entry.address,
        domain=entry.domain,
        is_local=entry.domain == context.domain,
        version=prefix.version,
        requests=state.requests,
        pending_prefill_tokens=state.pending_prefill_tokens,
        reserved_tokens=state.reserved_tokens,
        capacity_tokens=context.traits.capacity_tokens,
        cached_parts=prefix.cached_parts,
        tokens_per_second=rate,
        failure_share=state.health.estimate_failure_share(context.now),
        weights_delay_seconds=weights_delay,
        source=source,
        slowdown=slowdown,
        lasting_slowdown=lasting,
    )


def _find_source(
    target: _CachedPrefix,
    sources: Sequence[_CachedPrefix],
    kept_parts_by_version: Mapping[int, int],
    context: SelectionContext,
) -> FetchSource | None:
    best: _CachedPrefix | None = None
    best_seconds = 0.0
    for other in sources:
        domain = other.state.entry.domain
        is_compatible = other.version == target.version and other.state is not target.state
        if not is_compatible or other.fetchable_parts <= target.cached_parts:
            continue
        if not _can_fetch(domain, target.state, context):
            continue
        seconds_per_token = _estimate_seconds_per_token(
            context.traits.link_bytes_per_second, domain, target.state, context
        )
        added_parts = other.fetchable_parts - (best.fetchable_parts if best else 0)
        if added_parts > 0 or (added_parts == 0 and seconds_per_token < best_seconds):
            best, best_seconds = other, seconds_per_token
    if best is None:
        return _find_kept_source(target, kept_parts_by_version[target.version], context)
    return FetchSource(best.state.entry.address, best.fetchable_parts, best_seconds)


def _find_kept_source(
    target: _CachedPrefix, kept_parts: int, context: SelectionContext
) -> FetchSource | None:
    store = context.kept_store
    if store is None or kept_parts <= target.cached_parts:
        return None
    if not _can_fetch(store.domain, target.state, context):
        return None
    seconds_per_token = _estimate_seconds_per_token(
        store.link_bytes_per_second, store.domain, target.state, context
    )
    return FetchSource(store.address, kept_parts, seconds_per_token)


def _can_serve_fetches(state: UpstreamState, context: SelectionContext) -> bool:
    return not state.health.is_paused(context.now) and context.now >= state.loading_until


def _can_fetch(domain: str, target: UpstreamState, context: SelectionContext) -> bool:
    # Fetching from an unreachable source delays the engine by some hundred milliseconds.
    return domain == target.entry.domain or not context.is_unreachable(domain)


def _estimate_seconds_per_token(
    bytes_per_second: float, domain: str, target: UpstreamState, context: SelectionContext
) -> float:
    """Return the seconds to transfer one token's KV cache from a failure domain to the engine."""
    seconds = context.traits.bytes_per_token / bytes_per_second
    return seconds if domain == target.entry.domain else CROSS_DOMAIN_TRANSFER_FACTOR * seconds
