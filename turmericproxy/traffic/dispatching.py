"""Place requests at upstreams, and keep account of what was sent where."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.core.ids import InstanceId
from turmericproxy.edge.upstream import TIMED_OUT
from turmericproxy.logs import Part, log_decision
from turmericproxy.placement.domains import DomainMonitor
from turmericproxy.placement.engines import EngineCandidate
from turmericproxy.placement.plain import choose_plain, estimate_seconds
from turmericproxy.placement.prefixes import PartKey, PrefixTracker
from turmericproxy.placement.registry import UpstreamRegistry, UpstreamState, Work
from turmericproxy.placement.selection import (
    SelectionContext,
    build_cache_space,
    create_plain_view,
    list_available,
    list_keys,
    select_engine,
)
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.traffic.attempts import Attempt, Outcome
from turmericproxy.traffic.passage import Passage
from turmericproxy.traffic.requests import Dispatch, Prompt
from turmericproxy.traffic.site import EngineTraits

# Advice to come back while no upstream is known or all are full, in seconds; spread at random so
# that refused clients don't return together.
SHORTEST_RETRY = 0.2
LONGEST_RETRY = 0.8
# Share of the time in which older weights may still be used; the rest covers queue and transport.
OLD_WEIGHTS_SHARE = 0.75


@dataclass(frozen=True)
class Placement:
    """Say which upstream takes an attempt, and what it is expected to cost there."""

    instance: InstanceId
    address: str
    dispatch: Dispatch
    expected_seconds: float
    work: Work
    prompt: Prompt | None = None
    keys: tuple[PartKey, ...] = ()
    queued_tokens: float = 0.0


PlacedKeys = tuple[InstanceId, tuple[PartKey, ...], Prompt, float]


class Dispatcher:
    """Choose upstreams; ``version_seconds`` bounds the use of older weights."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        domains: DomainMonitor,
        domain: str,
        version_seconds: float,
        read_clock: Callable[[], float],
    ) -> None:
        self._registry = registry
        self._wanted = wanted
        self._domain = domain
        self._domains = domains
        self._is_store_reachable: Callable[[], bool] = lambda: True
        self._oldest_age = OLD_WEIGHTS_SHARE * version_seconds
        self._read_clock = read_clock
        self._random = random.Random()
        self.kept_prefixes = PrefixTracker(0)
        self._placed: list[PlacedKeys] = []
        self._saved: list[PartKey] = []

    def place(
        self,
        passage: Passage,
        excluded: frozenset[InstanceId] = frozenset(),
        resume_after: str | None = None,
    ) -> Placement | Refusal:
        """Return the upstream that takes the next attempt, or say why none can."""
        states = self._registry.list_ready(passage.service.name)
        traits, prompt = passage.service.engine, passage.inquiry.prompt
        if traits is not None and prompt is not None:
            placed = self._place_at_engine(passage, states, traits, prompt, excluded, resume_after)
        else:
            placed = self._place_plain(passage, states, excluded, resume_after)
        if placed is None:
            reason = f"no upstream of {passage.service.name} takes the request"
            return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=self._spread_retry())
        left = passage.deadline - self._read_clock()
        if placed.expected_seconds > left:
            reason = f"the first token is expected in {placed.expected_seconds:.2f} s"
            return refuse(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=self._spread_retry())
        return placed

    def set_kept_store_check(self, is_reachable: Callable[[], bool]) -> None:
        """Use the kept store only while it can be reached."""
        self._is_store_reachable = is_reachable

    def record_start(self, placement: Placement) -> None:
        """Count an attempt that is about to be sent."""
        self._registry.add_work(placement.instance, placement.work)
        state = self._registry.find(placement.instance)
        if state and placement.prompt and placement.keys:
            seconds = placement.expected_seconds
            ready_at = self._read_clock() + seconds
            _remember(state.prefixes, placement.keys, placement.prompt, ready_at)
            self._placed.append((placement.instance, placement.keys, placement.prompt, seconds))

    def record_first_event(self, placement: Placement, seconds: float) -> None:
        """Record that the first event came, ``seconds`` after the attempt was sent."""
        work = placement.work
        self._registry.add_work(placement.instance, Work(0, -work.pending_prefill_tokens, 0))
        queued = placement.queued_tokens + work.pending_prefill_tokens
        self._registry.record_prefill_rate(placement.instance, int(queued), seconds)
        if placement.dispatch.save_to and placement.prompt:
            _remember(self.kept_prefixes, placement.keys, placement.prompt, 0.0)
            self._saved += placement.keys

    def record_end(
        self, placement: Placement, attempt: Attempt | None, seconds: float, *, had_event: bool
    ) -> None:
        """Take an ended attempt off; ``attempt`` is ``None`` if the client has left."""
        work = placement.work
        unread = 0 if had_event else -work.pending_prefill_tokens
        self._registry.add_work(placement.instance, Work(-1, unread, -work.reserved_tokens))
        if attempt is None:
            return
        self._record_reach(placement, attempt)
        is_plain_answer = attempt.outcome is Outcome.ANSWERED and placement.prompt is None
        now = self._read_clock()
        self._registry.record_health_signal(
            placement.instance, attempt.health_signal, now, seconds if is_plain_answer else None
        )
        self._learn_answer(placement, attempt)

    def take_placements(self) -> tuple[list[PlacedKeys], list[PartKey]]:
        """Return the prompts placed and the parts saved since the last call."""
        placed, self._placed = self._placed, []
        saved, self._saved = self._saved, []
        return placed, saved

    def _record_reach(self, placement: Placement, attempt: Attempt) -> None:
        state = self._registry.find(placement.instance)
        if state is None:
            return
        if attempt.outcome is Outcome.NOT_SENT and attempt.reason == TIMED_OUT:
            self._domains.record_timeout(state.entry.domain)
        elif attempt.reading is not None:
            self._domains.record_answer(state.entry.domain)

    def _learn_answer(self, placement: Placement, attempt: Attempt) -> None:
        reading, prompt = attempt.reading, placement.prompt
        if reading is None or prompt is None:
            return
        if reading.version is not None:
            self._registry.record_version(placement.instance, prompt.model, reading.version)

    def _place_plain(
        self,
        passage: Passage,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        now = self._read_clock()
        usable = [state for state in states if state.entry.instance not in excluded]
        awake = list_available(usable, self._domains.is_unreachable, now)
        if not awake:
            return None
        views = [create_plain_view(state, self._domain, now) for state in awake]
        view = choose_plain(views)
        expected = estimate_seconds(view)
        log_decision(
            Part.ROUTING,
            "upstream chosen",
            request_id=passage.inquiry.request_id,
            upstream=view.instance,
            expected=round(expected, 4),
            requests=view.requests,
            candidates=len(views),
        )
        dispatch = Dispatch(
            instance=view.instance,
            seconds_left=passage.deadline - now,
            account=passage.account.name if passage.account else None,
            priority=passage.priority,
            resume_after=resume_after,
        )
        return Placement(view.instance, view.address, dispatch, expected, Work(1))

    def _place_at_engine(
        self,
        passage: Passage,
        states: list[UpstreamState],
        traits: EngineTraits,
        prompt: Prompt,
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        context = self._create_context(passage, traits, prompt)
        chosen = select_engine(states, prompt, context, excluded)
        if chosen is None:
            return None
        view = chosen.view
        space = build_cache_space(context.isolation_key, prompt.model, view.version)
        keys = list_keys(space, prompt)
        _log_engine(passage, chosen, context, len(states))
        store = context.kept_store
        if store and view.domain != store.domain and self._domains.is_unreachable(store.domain):
            store = None
        is_kept = all(self.kept_prefixes.holds(key) for key in keys)
        dispatch = Dispatch(
            instance=view.instance,
            seconds_left=passage.deadline - context.now,
            account=passage.account.name if passage.account else None,
            priority=passage.priority,
            version=view.version or None,
            cache_space=space if view.version else f"{space}/{passage.inquiry.request_id}",
            # A miss at the store costs a millisecond, and the cache may hold less than predicted.
            fetch_from=chosen.fetch_from or (store.address if store and keys else None),
            save_to=store.address if store and keys and not is_kept and view.version else None,
            resume_after=resume_after,
        )
        work = Work(
            1, chosen.pending_prefill_tokens, chosen.pending_prefill_tokens + prompt.output_tokens
        )
        return Placement(
            instance=view.instance,
            address=view.address,
            dispatch=dispatch,
            expected_seconds=chosen.expected_seconds,
            work=work,
            prompt=prompt,
            keys=keys if view.version else (),
            queued_tokens=view.pending_prefill_tokens,
        )

    def _create_context(
        self, passage: Passage, traits: EngineTraits, prompt: Prompt
    ) -> SelectionContext:
        now = self._read_clock()
        account = passage.account
        return SelectionContext(
            traits=traits,
            model=prompt.model,
            domain=self._domain,
            isolation_key=account.name if account and account.is_isolated else "",
            kept_store=passage.site.kept_store if self._is_store_reachable() else None,
            kept_prefixes=self.kept_prefixes,
            is_unreachable=self._domains.is_unreachable,
            wanted_version=self._wanted.find(prompt.model),
            measure_age=lambda version: self._wanted.measure_age(prompt.model, version, now),
            oldest_age=self._oldest_age,
            now=now,
        )

    def _spread_retry(self) -> float:
        return round(self._random.uniform(SHORTEST_RETRY, LONGEST_RETRY), 2)


def _remember(
    memory: PrefixTracker, keys: tuple[PartKey, ...], prompt: Prompt, ready_at: float
) -> None:
    parts = [(key, part.tokens) for key, part in zip(keys, prompt.shared_parts, strict=True)]
    memory.add(parts, ready_at)


def _log_engine(
    passage: Passage, chosen: EngineCandidate, context: SelectionContext, candidates: int
) -> None:
    view, prompt = chosen.view, passage.inquiry.prompt
    assert prompt is not None
    log_decision(
        Part.ROUTING,
        "engine chosen",
        request_id=passage.inquiry.request_id,
        engine=view.instance,
        version=view.version,
        wanted_version=context.wanted_version,
        expected=round(chosen.expected_seconds, 4),
        queue=round(chosen.queue_seconds, 4),
        read=round(chosen.prefill_seconds, 4),
        memory=round(chosen.memory_seconds, 4),
        shared=[f"{p.part_id}:{p.tokens}" for p in prompt.shared_parts],
        cached_parts=view.cached_parts,
        source_parts=view.source.held_parts if view.source else 0,
        fetch_from=chosen.fetch_from,
        candidates=candidates,
    )
