"""Choose the upstream of each attempt and record the attempts at each upstream."""

import random
from collections.abc import Callable

from turmericproxy.connections.limiter import ConnectionLimiter
from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.core.ids import InstanceId
from turmericproxy.crashes.controller import CrashController
from turmericproxy.edge.upstream import TIMED_OUT
from turmericproxy.limits.controller import LimitController
from turmericproxy.limits.permits import Applicant
from turmericproxy.logs import Part, log_decision
from turmericproxy.placement.domains import DomainMonitor
from turmericproxy.placement.health import HealthSignal
from turmericproxy.placement.plain import choose_plain, estimate_load_factor, estimate_seconds
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
from turmericproxy.placement.stream_gaps import StreamGaps
from turmericproxy.rollout.wanted import WantedVersions
from turmericproxy.traffic.attempts import AnswerPhase, Attempt, Outcome
from turmericproxy.traffic.crash_evidence import record_crash_evidence
from turmericproxy.traffic.isolation import NO_ISOLATION
from turmericproxy.traffic.optional_controllers import AdmissionController, ReleaseController
from turmericproxy.traffic.pacing import create_stream_requirements
from turmericproxy.traffic.placement_logs import log_engine
from turmericproxy.traffic.placements import Placement, PromptPlacement
from turmericproxy.traffic.requests import Dispatch, ParsedAnswer, Prompt, Verdict
from turmericproxy.traffic.routed_request import (
    RoutedRequest,
    build_private_space,
    create_applicant,
)
from turmericproxy.traffic.site import EngineTraits

# Range of Retry-After while no upstream is available; values are random so that the refused clients
# don't all retry at the same time.
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 0.8
# Delay for which a limited upstream that takes one more request is preferred to others: what it
# takes is lost if no request comes, and the others may need their room later.
UNUSED_PERMIT_DELAY_SECONDS = 0.03
# Wait for a permit of a limited upstream: at least the time in which hosts tell each other of a
# waiting request and a permit, else a share of the target latency and of the time that is left.
MIN_PERMIT_WAIT_SECONDS = 0.3
PERMIT_WAIT_SHARE = 0.5
# Requests are no longer sent to superseded weights after this share of the allowed time; the rest
# covers queueing and transport.
OLD_WEIGHTS_AGE_SHARE = 0.75


class Dispatcher:
    """Choose upstreams; ``version_seconds`` is how long superseded weights may be used."""

    def __init__(
        self,
        registry: UpstreamRegistry,
        wanted: WantedVersions,
        domains: DomainMonitor,
        domain: str,
        version_seconds: float,
        read_clock: Callable[[], float],
        crashes: CrashController,
        limits: LimitController,
    ) -> None:
        self._limits = limits
        self._registry = registry
        self._crashes = crashes
        self._wanted = wanted
        self._domain = domain
        self._domains = domains
        self._is_store_reachable: Callable[[], bool] = lambda: True
        self._max_weights_age = OLD_WEIGHTS_AGE_SHARE * version_seconds
        self._read_clock = read_clock
        self._random = random.Random()
        self.kept_prefixes = PrefixTracker(0)
        # That of the newest configuration, also for requests that arrived before it.
        self.isolation = NO_ISOLATION
        # Set where the deployment asks for admission control.
        self.admission: AdmissionController | None = None
        # Set where hosts share the connections of servers.
        self.connections: ConnectionLimiter | None = None
        # Set where rollouts of software are in force.
        self.releases: ReleaseController | None = None
        self._placements: list[PromptPlacement] = []
        self._saved_parts: list[PartKey] = []

    def place(
        self,
        request: RoutedRequest,
        excluded: frozenset[InstanceId] = frozenset(),
        resume_after: str | None = None,
    ) -> Placement | Refusal:
        """Choose the upstream of the next attempt; return a refusal if none is suitable."""
        if refusal := self._refuse_blocked(request):
            return refusal
        ready = self._list_ready(request, excluded)
        now = self._read_clock()
        states = [state for state in ready if not state.health.must_be_silent(now)]
        if ready and not states:
            return self._refuse_silent(request, ready, now)
        if not self._limits.is_loaded:
            reason = "the host has not heard yet which limits upstreams have named"
            return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=self._choose_retry_after())
        placed, limited = self._place_within_limits(request, states, excluded, resume_after)
        full = self.admission.find_full(request, placed, states) if self.admission else None
        if full:
            excluded |= full
            placed, limited = self._place_within_limits(request, states, excluded, resume_after)
        if placed is None and limited:
            return self._refuse_limited(request, limited)
        if placed is None and self.admission and full:
            return self.admission.refuse_full(request, len(full))
        if placed is None:
            reason = f"no upstream of {request.service.name} is available"
            return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=self._choose_retry_after())
        if self.admission and (refusal := self.admission.judge(request, placed, states)):
            return refusal
        seconds_left = request.deadline - self._read_clock()
        if placed.expected_seconds > seconds_left:
            reason = (
                f"the answer is expected in {placed.expected_seconds:.2f} s, after the deadline"
            )
            return refuse(
                ResultCode.DEADLINE_UNREACHABLE, reason, retry_after=self._choose_retry_after()
            )
        return placed

    def _list_ready(
        self, request: RoutedRequest, excluded: frozenset[InstanceId]
    ) -> list[UpstreamState]:
        """Return the ready upstreams of the version that a rollout chooses for the request."""
        ready = self._registry.list_ready(request.service.name)
        return self.releases.select(request, ready, excluded) if self.releases else ready

    def _place_within_limits(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> tuple[Placement | None, list[Placement]]:
        """Choose the best upstream that takes one more request of this host.

        Return also the better ones whose limit leaves no request for it.
        """
        applicant = create_applicant(request)
        limited: list[Placement] = []
        while True:
            placed = self._choose(request, states, excluded, resume_after)
            if placed is None:
                return None, limited
            if not self._may_connect(request, placed.instance):
                limited.append(placed)
                excluded |= {placed.instance}
                continue
            if self._limits.may_send(placed.instance, placed.started_at, applicant):
                permitted = self._place_with_permit(request, states, excluded, resume_after)
                if permitted and permitted.expected_seconds <= (
                    placed.expected_seconds + UNUSED_PERMIT_DELAY_SECONDS
                ):
                    return permitted, limited
                return placed, limited
            self._limits.turn_away(placed.instance, placed.started_at, applicant)
            log_decision(
                Part.ROUTING,
                "limit reached",
                request_id=request.parsed.request_id,
                upstream=placed.instance,
                **self._limits.describe(placed.instance, placed.started_at),
            )
            limited.append(placed)
            excluded |= {placed.instance}

    def _may_connect(self, request: RoutedRequest, instance: InstanceId) -> bool:
        """Return whether this host may open one more connection to an upstream."""
        state, limit = self._registry.find(instance), request.service.max_connections
        if self.connections is None or state is None:
            return True
        return self.connections.may_open(state, limit, request.parsed.request_id)

    def _choose(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        """Choose the best upstream among ``states``, whatever their limits."""
        traits, prompt = request.service.engine, request.parsed.prompt
        if traits is not None and prompt is not None:
            return self._place_at_engine(request, states, traits, prompt, excluded, resume_after)
        return self._place_plain(request, states, excluded, resume_after)

    def _place_with_permit(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        """Choose the best limited upstream for which this host holds a permit."""
        if not self._limits.has_limits:
            return None
        applicant, now, permitted = create_applicant(request), self._read_clock(), []
        for state in list_available(states, self._domains.is_unreachable, now):
            instance, started_at = state.entry.instance, state.entry.started_at
            if instance in excluded or self._limits.find_limit(instance, started_at) is None:
                continue
            if self._limits.may_send(instance, started_at, applicant):
                if self._may_connect(request, instance):
                    permitted.append(state)
            else:
                self._limits.record_work(instance, started_at)
        if not permitted:
            return None
        return self._choose(request, permitted, excluded, resume_after)

    def _refuse_limited(self, request: RoutedRequest, limited: list[Placement]) -> Refusal:
        """Refuse a request while the limits of all upstreams are reached."""
        upstreams = [(placement.instance, placement.started_at) for placement in limited]
        retry_after = self._limits.estimate_retry_after(upstreams)
        if self._list_full(request, upstreams):
            # A connection becomes free as soon as a running request ends.
            retry_after = self._choose_retry_after()
        reason = f"the limits of {len(limited)} upstreams of {request.service.name} are reached"
        return refuse(ResultCode.UPSTREAMS_LIMITED, reason, retry_after=retry_after)

    async def wait_for_permit(
        self, request: RoutedRequest, excluded: frozenset[InstanceId]
    ) -> bool:
        """Wait for a short time for a limited upstream; return whether one takes the request."""
        age = self._read_clock() - request.parsed.raw.received_at
        seconds = min(
            max(MIN_PERMIT_WAIT_SECONDS, PERMIT_WAIT_SHARE * request.route.target_latency - age),
            PERMIT_WAIT_SHARE * (request.deadline - self._read_clock()),
        )
        upstreams = self._list_starts(request, excluded)
        if self.connections and (states := self._list_full(request, upstreams)):
            limit, request_id = request.service.max_connections, request.parsed.request_id
            return await self.connections.wait(states, limit, request_id, seconds)
        return await self._limits.wait_for_permit(upstreams, create_applicant(request), seconds)

    def _list_full(
        self, request: RoutedRequest, upstreams: list[tuple[InstanceId, int]]
    ) -> list[UpstreamState]:
        """Return the upstreams to which this host may open no more connections for now."""
        states = [state for i, _ in upstreams if (state := self._registry.find(i))]
        limit, connections = request.service.max_connections, self.connections
        return connections.list_full(states, limit) if connections else []

    def release_permit(self, request: RoutedRequest) -> None:
        """Make the permit that was kept for a request available if it was not used."""
        if self.connections:
            self.connections.release(request.parsed.request_id)
        upstreams = self._list_starts(request, frozenset())
        self._limits.release(upstreams, create_applicant(request))

    def _list_starts(
        self, request: RoutedRequest, excluded: frozenset[InstanceId]
    ) -> list[tuple[InstanceId, int]]:
        now = self._read_clock()
        return [
            (state.entry.instance, state.entry.started_at)
            for state in self._registry.list_ready(request.service.name)
            if state.entry.instance not in excluded and not state.health.must_be_silent(now)
        ]

    def _refuse_blocked(self, request: RoutedRequest) -> Refusal | None:
        """Refuse a prompt with parts on which engines end."""
        prompt = request.parsed.prompt
        if prompt is None or request.service.engine is None:
            return None
        if not self._crashes.is_loaded:
            reason = "the host has not read yet which prompts it must not send"
            return refuse(ResultCode.NO_UPSTREAM, reason, retry_after=self._choose_retry_after())
        parts = prompt.shared_part_ids
        block = self._crashes.find_block(request.parsed.request_id, prompt.model, parts)
        if block is None:
            return None
        log_decision(
            Part.ROUTING,
            "prompt refused",
            request_id=request.parsed.request_id,
            block=block.name,
            failed_trials=block.failed_trials,
        )
        return refuse(
            ResultCode.PROMPT_BLOCKED,
            f"engines have ended on prompts with {block.name}",
            retry_after=round(self._crashes.estimate_block_seconds(block), 1),
        )

    def place_replacement(
        self, request: RoutedRequest, excluded: frozenset[InstanceId], resume_after: str | None
    ) -> Placement | None:
        """Choose an upstream that is expected to answer, in place of a silent one."""
        now = self._read_clock()
        trusted = {
            state.entry.instance
            for state in self._registry.list_ready(request.service.name)
            if not state.is_suspended(now) and not state.health.consecutive_timeouts
        }
        if not trusted - excluded:
            return None
        placed = self.place(request, excluded, resume_after)
        return placed if isinstance(placed, Placement) and placed.instance in trusted else None

    def record_silence(self, placement: Placement) -> None:
        """Record that an attempt has been silent for longer than expected."""
        self._record_signal(placement, HealthSignal.TIMED_OUT)

    def record_progress(self, placement: Placement) -> None:
        """Record that an upstream goes on after a silence."""
        self._record_signal(placement, HealthSignal.ANSWERED)

    def _record_signal(self, placement: Placement, health_signal: HealthSignal) -> None:
        now = self._read_clock()
        self._registry.record_health_signal(placement.instance, health_signal, now)

    def _refuse_silent(
        self, request: RoutedRequest, states: list[UpstreamState], now: float
    ) -> Refusal:
        """Refuse a request while all upstreams ask for a pause, until the first pause ends."""
        pause = min(state.health.silent_until for state in states) - now
        reason = f"all upstreams of {request.service.name} ask for a pause of {pause:.2f} s"
        return refuse(
            ResultCode.OVERLOADED, reason, retry_after=round(pause + self._choose_retry_after(), 2)
        )

    def record_answer_head(self, placement: Placement, answer: ParsedAnswer) -> None:
        """Record what the upstream that answered announces about itself."""
        answered_by, sent_at = placement.instance, placement.placed_at
        started_at: int | None = placement.started_at
        if answer.verdict is Verdict.WRONG_INSTANCE and answer.instance != answered_by:
            if answer.instance is None:
                return
            answered_by, started_at = InstanceId(answer.instance), None
        elif answer.verdict is not Verdict.FOREIGN and answer.instance in (None, answered_by):
            now, start = self._read_clock(), placement.started_at
            self._registry.record_load(answered_by, start, answer.load, now)
        # An answer that belongs to another request may be older than it looks.
        is_foreign = answer.verdict is Verdict.FOREIGN
        self._registry.record_notice(
            answered_by,
            answer.notice,
            self._read_clock(),
            sent_at=None if is_foreign else sent_at,
            started_at=started_at,
        )

    def set_kept_store_check(self, is_reachable: Callable[[], bool]) -> None:
        """Use the kept store only while ``is_reachable`` returns true."""
        self._is_store_reachable = is_reachable

    def record_start(self, placement: Placement) -> None:
        """Add the work of an attempt that is about to be sent."""
        applicant = Applicant(
            placement.request_id, placement.dispatch.priority, placement.dispatch.account
        )
        self._limits.record_sent(placement.instance, placement.started_at, applicant)
        self._registry.add_work(placement.instance, placement.work)
        if self.connections:
            self.connections.record_start(placement.instance, placement.request_id)
        if self.releases:
            self.releases.record_start(placement.instance)
        state = self._registry.find(placement.instance)
        if state and placement.prompt and placement.keys:
            seconds = placement.expected_seconds
            ready_at = self._read_clock() + seconds
            _add_prefixes(state.prefixes, placement.keys, placement.prompt, ready_at)
            self._placements.append((placement.instance, placement.keys, placement.prompt, seconds))

    def record_first_event(self, placement: Placement, seconds: float) -> StreamGaps:
        """Record the first event, ``seconds`` after the head; return what observes later ones."""
        if self.admission:
            self.admission.record_first_event(placement)
        work, now = placement.work, self._read_clock()
        self._registry.add_work(placement.instance, Work(0, -work.pending_prefill_tokens, 0))
        queued = placement.queued_tokens + work.pending_prefill_tokens
        self._registry.record_prefill_rate(
            placement.instance, int(queued), seconds, now, placement.placed_at
        )
        if placement.dispatch.save_to and placement.prompt:
            _add_prefixes(self.kept_prefixes, placement.keys, placement.prompt, 0.0)
            self._saved_parts += placement.keys
        return self._registry.open_gaps(placement.instance, work, placement.output_tokens)

    def record_end(
        self,
        placement: Placement,
        attempt: Attempt | None,
        seconds: float,
        *,
        phase: AnswerPhase,
        head_seconds: float | None,
        is_suspected: bool,
    ) -> None:
        """Remove the work of an ended attempt and record its outcome.

        ``attempt`` is ``None`` if the client disconnected. The head of the answer came
        ``head_seconds`` before the end. ``is_suspected`` tells whether the silence at the end has
        been recorded.
        """
        if self.admission:
            self.admission.record_end(placement)
        if self.connections:
            self.connections.record_end(placement.instance)
        work = placement.work
        if self.releases:
            self.releases.record_end(placement.instance, placement.route, attempt, seconds)
        sent_at = self._read_clock() - seconds
        record_crash_evidence(
            self._crashes, placement, attempt, sent_at, seconds, phase, head_seconds
        )
        prefill_change = 0 if phase is AnswerPhase.STREAMING else -work.pending_prefill_tokens
        self._registry.add_work(placement.instance, Work(-1, prefill_change, -work.reserved_tokens))
        if attempt is None:
            return
        self._record_reachability(placement, attempt)
        if is_suspected and attempt.outcome is Outcome.TIMED_OUT:
            return
        is_plain_answer = attempt.outcome is Outcome.ANSWERED and placement.prompt is None
        now, unloaded = self._read_clock(), seconds / placement.load_factor
        self._registry.record_health_signal(
            placement.instance, attempt.health_signal, now, unloaded if is_plain_answer else None
        )
        self._record_version(placement, attempt)

    def take_placements(self) -> tuple[list[PromptPlacement], list[PartKey]]:
        """Return and clear the prompts placed and the parts saved since the last call."""
        placed, self._placements = self._placements, []
        saved, self._saved_parts = self._saved_parts, []
        return placed, saved

    def _record_reachability(self, placement: Placement, attempt: Attempt) -> None:
        state = self._registry.find(placement.instance)
        if state is None:
            return
        if attempt.is_refused:
            self._registry.record_refused_connection(placement.instance)
        elif attempt.outcome is Outcome.NOT_SENT and attempt.reason == TIMED_OUT:
            self._domains.record_timeout(state.entry.domain)
        elif attempt.answer is not None:
            self._domains.record_answer(state.entry.domain)

    def _record_version(self, placement: Placement, attempt: Attempt) -> None:
        answer, prompt = attempt.answer, placement.prompt
        if answer is None or prompt is None or not answer.is_from(placement.instance):
            return
        if answer.version is not None:
            self._registry.record_version(placement.instance, prompt.model, answer.version)

    def _place_plain(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        now = self._read_clock()
        usable = [state for state in states if state.entry.instance not in excluded]
        available = list_available(usable, self._domains.is_unreachable, now)
        if not available:
            return None
        views = [create_plain_view(state, self._domain, now) for state in available]
        view = choose_plain(views)
        expected = estimate_seconds(view)
        log_decision(
            Part.ROUTING,
            "upstream chosen",
            request_id=request.parsed.request_id,
            upstream=view.instance,
            expected=round(expected, 4),
            requests=view.requests,
            candidates=len(views),
        )
        dispatch = Dispatch(
            instance=view.instance,
            seconds_left=request.deadline - now,
            account=request.account.name if request.account else None,
            priority=request.priority,
            cache_space=build_private_space(request),
            resume_after=resume_after,
        )
        return Placement(
            view.instance,
            view.address,
            dispatch,
            expected,
            Work(1),
            started_at=self._find_start(view.instance),
            request_id=request.parsed.request_id,
            placed_at=now,
            route=request.route.name,
            load_factor=estimate_load_factor(view),
        )

    def _place_at_engine(
        self,
        request: RoutedRequest,
        states: list[UpstreamState],
        traits: EngineTraits,
        prompt: Prompt,
        excluded: frozenset[InstanceId],
        resume_after: str | None,
    ) -> Placement | None:
        context = self._create_context(request, traits, prompt)
        chosen = select_engine(states, prompt, context, excluded)
        if chosen is None:
            return None
        view = chosen.view
        space = build_cache_space(context.isolation_key, prompt.model, view.version)
        keys = list_keys(space, prompt)
        log_engine(request, chosen, context, len(states))
        store = context.kept_store
        if store and view.domain != store.domain and self._domains.is_unreachable(store.domain):
            store = None
        is_saved = all(self.kept_prefixes.holds(key) for key in keys)
        dispatch = Dispatch(
            instance=view.instance,
            seconds_left=request.deadline - context.now,
            account=request.account.name if request.account else None,
            priority=request.priority,
            version=view.version or None,
            cache_space=space if view.version else f"{space}/{request.parsed.request_id}",
            # Also set if the engine should have all parts: its cache may hold less than predicted,
            # and a miss at the store costs only a millisecond.
            fetch_from=chosen.fetch_from or (store.address if store and keys else None),
            save_to=store.address if store and keys and not is_saved and view.version else None,
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
            started_at=self._find_start(view.instance),
            request_id=request.parsed.request_id,
            placed_at=context.now,
            route=request.route.name,
        )

    def _find_start(self, instance: InstanceId) -> int:
        return self._registry.find_start(instance) or 0

    def _create_context(
        self, request: RoutedRequest, traits: EngineTraits, prompt: Prompt
    ) -> SelectionContext:
        now = self._read_clock()
        return SelectionContext(
            traits=traits,
            model=prompt.model,
            domain=self._domain,
            isolation_key=self.isolation.find_key(request.account),
            kept_store=request.site.kept_store if self._is_store_reachable() else None,
            kept_prefixes=self.kept_prefixes,
            is_unreachable=self._domains.is_unreachable,
            wanted_version=self._wanted.find(prompt.model),
            measure_age=lambda version: self._wanted.measure_age(prompt.model, version, now),
            oldest_age=self._max_weights_age,
            now=now,
            stream=create_stream_requirements(
                request, traits, prompt, self._registry.find_speeds(request.service.name)
            ),
        )

    def _choose_retry_after(self) -> float:
        return round(self._random.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS), 2)


def _add_prefixes(
    tracker: PrefixTracker, keys: tuple[PartKey, ...], prompt: Prompt, ready_at: float
) -> None:
    parts = [(key, part.tokens) for key, part in zip(keys, prompt.shared_parts, strict=True)]
    tracker.add(parts, ready_at)
