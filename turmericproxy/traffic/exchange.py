"""Forward a request to an upstream and relay the answer, with retries where they are allowed."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass, field

from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.core.budget import RetryBudget
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.core.memory import HeldKind, MemoryAccount
from turmericproxy.crashes.controller import CrashController
from turmericproxy.edge import UpstreamCall
from turmericproxy.edge.upstream import EndKind
from turmericproxy.logs import Part, log_decision, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.placement.stream_gaps import UNOBSERVED, StreamGaps
from turmericproxy.traffic.attempts import (
    AnswerPhase,
    Attempt,
    AttemptCounts,
    NextAction,
    Obstacle,
    Outcome,
    decide_next_action,
    find_obstacle,
)
from turmericproxy.traffic.continuation import BegunStream, create_begun_stream, is_continued
from turmericproxy.traffic.dispatching import Dispatcher, Placement
from turmericproxy.traffic.events import Events, EventSplitter
from turmericproxy.traffic.handover import OpenAttempt, open_replacement
from turmericproxy.traffic.interfaces import MessageCodec, VersionResolver
from turmericproxy.traffic.requests import ParsedAnswer, Verdict, list_header_fields
from turmericproxy.traffic.routed_request import RoutedRequest
from turmericproxy.traffic.sending import open_call, read_answer, read_head
from turmericproxy.traffic.silence import (
    SilenceHandlers,
    SilenceWatch,
    compute_gap_limits,
    compute_start_limits,
)

# Retry-After when no attempt has run: about the time for which an upstream is paused.
OVERLOADED_RETRY_AFTER_SECONDS = 0.5


@dataclass(frozen=True)
class ExchangeDependencies:
    """Objects shared by all exchanges; ``get_budget`` returns the retry budget of a service."""

    codec: MessageCodec
    dispatcher: Dispatcher
    version_resolver: VersionResolver
    get_budget: Callable[[ServiceName], RetryBudget]
    metrics: Metrics
    crashes: CrashController
    memory: MemoryAccount = field(default_factory=MemoryAccount)


@dataclass(frozen=True)
class CompletedAnswer:
    """An answer that has been relayed completely, with its HTTP status."""

    status: int


class Exchange:
    """Run the attempts of one request."""

    def __init__(self, request: RoutedRequest, dependencies: ExchangeDependencies) -> None:
        self._request = request
        self._dependencies = dependencies
        self._clock = asyncio.get_running_loop().time
        self._excluded: frozenset[InstanceId] = frozenset()
        # Left only for their silence: used again if no other upstream takes the request.
        self._silent: frozenset[InstanceId] = frozenset()
        self._replacement: OpenAttempt | None = None
        self._handover: asyncio.Task[None] | None = None
        self._logged_obstacle: Obstacle | None = None
        self._watch: SilenceWatch | None = None
        self._refreshed: frozenset[InstanceId] = frozenset()
        self._last_id: str | None = request.parsed.last_event_id
        self._event_parts = 0
        self._received_at = 0.0
        self._head_at: float | None = None
        self._is_blocked = False
        self._begun: BegunStream | None = None
        self._gap_limits = compute_gap_limits(request.route)

    async def run(self) -> CompletedAnswer | Refusal:
        """Answer the client; return a refusal if no attempt gave an answer."""
        try:
            return await self._run_attempts()
        finally:
            self._end_handover()

    async def _run_attempts(self) -> CompletedAnswer | Refusal:
        request = self._request
        budget = self._dependencies.get_budget(request.service.name)
        budget.record_request()
        while True:
            replacement, self._replacement = self._replacement, None
            placement = replacement.placement if replacement else await self._place_or_wait()
            if isinstance(placement, Refusal):
                return self._adjust_refusal(placement)
            attempt = await self._attempt(placement, replacement)
            self._count(attempt)
            obstacle = None
            if self._is_blocked:
                obstacle = Obstacle.PROMPT_BLOCKED
            elif self._replacement is None:
                obstacle = self._find_obstacle(attempt, request.attempt_counts)
                if obstacle is None and await self._has_ended_engine(placement, attempt):
                    obstacle = Obstacle.UPSTREAM_ENDED
                needs_no_budget = attempt.outcome is Outcome.NOT_SENT
                if obstacle is None and not needs_no_budget and not budget.take():
                    obstacle = Obstacle.NO_BUDGET
            action = decide_next_action(attempt, obstacle)
            self._log_attempt(placement, attempt, action, obstacle)
            await self._exclude_upstream(placement, attempt)
            if action is not NextAction.RETRY:
                return self._finish(attempt, action)

    async def _has_ended_engine(self, placement: Placement, attempt: Attempt) -> bool:
        """Return whether the engine ended when it began this answer, as the next one might."""
        if attempt.outcome is not Outcome.BROKEN or self._phase is not AnswerPhase.BEGUN:
            return False
        return await self._dependencies.crashes.await_end(placement.engine)

    async def _place_or_wait(self) -> Placement | Refusal:
        """Choose the next upstream; wait for a short time if limits leave none for now."""
        dispatcher, request = self._dependencies.dispatcher, self._request
        placement = self._place()
        if isinstance(placement, Refusal) and placement.code is ResultCode.UPSTREAMS_LIMITED:
            try:
                if await dispatcher.wait_for_permit(request, self._excluded):
                    placement = self._place()
            finally:
                if not isinstance(placement, Placement):
                    dispatcher.release_permit(request)
        return placement

    def _place(self) -> Placement | Refusal:
        """Choose the next upstream; one that was only silent is the last choice."""
        dispatcher, request = self._dependencies.dispatcher, self._request
        placement = dispatcher.place(request, self._excluded | self._silent, self._last_id)
        if isinstance(placement, Refusal) and self._silent:
            placement = dispatcher.place(request, self._excluded, self._last_id)
        return placement

    def _find_obstacle(self, attempt: Attempt, attempt_counts: AttemptCounts) -> Obstacle | None:
        request = self._request
        return find_obstacle(
            attempt,
            attempt_counts,
            is_repeatable=request.route.is_repeatable,
            max_runs=request.route.max_attempts,
            seconds_left=request.deadline - self._clock(),
        )

    async def _attempt(self, placement: Placement, replacement: OpenAttempt | None) -> Attempt:
        dispatcher = self._dependencies.dispatcher
        started = replacement.sent_at if replacement else self._clock()
        self._event_parts = 0
        self._received_at = started
        self._head_at = None
        self._watch = None
        attempt: Attempt | None = None
        memory = self._dependencies.memory
        self._request.hold(memory.open(HeldKind.ANSWERS, placement.instance))
        if replacement is None:
            dispatcher.record_start(placement)
        try:
            attempt = await self._send(placement, replacement)
        except asyncio.CancelledError:
            if self._clock() >= self._request.deadline:
                attempt = Attempt(
                    Outcome.TIMED_OUT, reason="no complete answer before the deadline"
                )
            raise
        finally:
            seconds = self._clock() - started
            dispatcher.record_end(
                placement,
                None if self._is_blocked else attempt,
                seconds,
                phase=self._phase,
                head_seconds=self._measure_head_seconds(),
                is_suspected=self._watch is not None and self._watch.is_suspected,
            )
        return attempt

    async def _send(self, placement: Placement, replacement: OpenAttempt | None) -> Attempt:
        opened = (
            replacement.call
            if replacement
            else await open_call(self._request, placement, self._dependencies.codec)
        )
        if isinstance(opened, Attempt):
            return opened
        with opened as call:
            self._watch = self._start_watch(placement, call)
            try:
                with self._watch_blocks(placement, call):
                    attempt = await self._receive(placement, call)
            finally:
                if self._watch:
                    self._watch.close()
                if not call.is_given_up:
                    self._end_handover()
        if call.is_given_up and attempt.outcome is Outcome.BROKEN:
            return Attempt(Outcome.TIMED_OUT, reason=call.reason)
        return attempt

    def _watch_blocks(
        self, placement: Placement, call: UpstreamCall
    ) -> AbstractContextManager[None]:
        """Give the call up before its answer begins if its prompt becomes blocked."""
        prompt = placement.prompt
        if prompt is None:
            return nullcontext()

        def abandon() -> None:
            if self._head_at is None:
                self._is_blocked = True
                call.give_up("engines have ended on prompts with parts of this one")

        return self._dependencies.crashes.watch(prompt.model, prompt.shared_part_ids, abandon)

    async def _receive(self, placement: Placement, call: UpstreamCall) -> Attempt:
        answer = await read_head(self._request, placement, self._dependencies.codec, call)
        self._received_at = self._clock()
        if isinstance(answer, ParsedAnswer):
            self._head_at = self._received_at
        parsed = answer.answer if isinstance(answer, Attempt) else answer
        # Before the answer is relayed: a stream may last for longer than its upstream stays.
        self._record_answer_head(placement, parsed)
        if isinstance(answer, Attempt):
            return answer
        if self._request.route.is_stream and answer.verdict is Verdict.SUCCESS:
            return await self._relay(placement, call, answer)
        return await read_answer(call, answer, self._request.holding)

    def _record_answer_head(self, placement: Placement, answer: ParsedAnswer | None) -> None:
        if answer is not None:
            self._dependencies.dispatcher.record_answer_head(placement, answer)

    async def _relay(
        self, placement: Placement, call: UpstreamCall, answer: ParsedAnswer
    ) -> Attempt:
        """Relay complete events as they arrive; the client's answer starts with the first one."""
        writer, started = self._request.writer, self._clock()
        splitter = EventSplitter(self._request.holding)
        if self._begun and (fault := self._begun.find_fault(answer.head)):
            return Attempt(Outcome.BROKEN, answer, reason=fault)
        gaps: StreamGaps = UNOBSERVED
        while isinstance(part := await call.read_part(), bytes):
            self._received_at = self._clock()
            events = splitter.feed(part)
            if fault := splitter.find_fault():
                return Attempt(Outcome.BROKEN, answer, reason=fault)
            if not events.data:
                continue
            if self._event_parts == 0:
                if self._begun and not is_continued(self._last_id, events):
                    reason = "the events don't continue the stream"
                    return Attempt(Outcome.BROKEN, answer, reason=reason)
                seconds = self._clock() - started
                gaps = self._dependencies.dispatcher.record_first_event(placement, seconds)
            gaps.record_event(self._received_at)
            self._event_parts += 1
            await self._write_events(answer, events)
        if part is not EndKind.COMPLETE or splitter.has_partial_event:
            return Attempt(
                Outcome.BROKEN, answer, reason=call.reason or "the stream ended within an event"
            )
        if not self._event_parts and not call.is_framed:
            # Only its events could show that such a stream is whole.
            return Attempt(Outcome.BROKEN, answer, reason="the connection ended before any event")
        if not writer.is_started:
            writer.start(answer.head.status, list_header_fields(answer), None)
        gaps.close()
        return Attempt(Outcome.ANSWERED, answer)

    async def _write_events(self, answer: ParsedAnswer, events: Events) -> None:
        writer = self._request.writer
        if not writer.is_started:
            self._begun = create_begun_stream(answer.head)
            writer.start(answer.head.status, list_header_fields(answer), None)
        self._last_id = events.last_id or self._last_id
        writer.write(events.data)
        await writer.drain()
        if self._watch:
            self._watch.record_progress(self._gap_limits)

    def _start_watch(self, placement: Placement, call: UpstreamCall) -> SilenceWatch | None:
        """Watch a call whose request may be sent once more."""
        if not self._request.route.is_repeatable or not self._may_run_again():
            return None
        dispatcher = self._dependencies.dispatcher
        handlers = SilenceHandlers(
            suspect=lambda: dispatcher.record_silence(placement),
            clear=lambda: dispatcher.record_progress(placement),
            replace=lambda: self._seek_replacement(placement, call),
        )
        limits = compute_start_limits(self._request.route, placement.expected_seconds)
        return SilenceWatch(call, limits, handlers)

    def _seek_replacement(self, silent: Placement, call: UpstreamCall) -> None:
        """Start to hand the request over to another upstream if one can be had."""
        if self._handover and not self._handover.done():
            return
        chosen = self._choose_replacement(silent)
        self._log_silence(silent, chosen)
        if isinstance(chosen, Placement):
            handover = self._hand_over(call, chosen)
            self._handover = asyncio.get_running_loop().create_task(handover)
            self._handover.add_done_callback(_log_handover_error)

    def _choose_replacement(self, silent: Placement) -> Placement | Obstacle:
        """Return the next upstream and take a retry, or return what prevents that."""
        request, ended = self._request, Attempt(Outcome.TIMED_OUT)
        if request.writer.is_paused:
            return Obstacle.SLOW_CLIENT
        obstacle = self._find_obstacle(ended, request.attempt_counts.add(ended))
        if obstacle:
            return obstacle
        budget = self._dependencies.get_budget(request.service.name)
        if not budget.has_retry():
            return Obstacle.NO_BUDGET
        excluded = self._excluded | self._silent | {silent.instance}
        placement = self._dependencies.dispatcher.place_replacement(
            request, excluded, self._last_id
        )
        if placement is None:
            return Obstacle.NO_UPSTREAM
        budget.take()
        return placement

    async def _hand_over(self, silent_call: UpstreamCall, placement: Placement) -> None:
        """Give the silent call up once another upstream has taken the request.

        The silent call stays if the other upstream refuses, or if it goes on meanwhile.
        """
        dispatcher, request = self._dependencies.dispatcher, self._request
        sent_at = self._clock()
        progress = self._event_parts, silent_call.has_head
        dispatcher.record_start(placement)
        attempt: Attempt | None = None
        try:
            opened = await open_replacement(request, placement, self._dependencies.codec)
            is_unchanged = progress == (self._event_parts, silent_call.has_head)
            has_progressed = not is_unchanged or silent_call.has_unread_data
            if isinstance(opened, Attempt):
                attempt = opened
                self._record_answer_head(placement, attempt.answer)
            elif has_progressed or silent_call.has_ended:
                opened.close()
                self._count(Attempt(Outcome.BROKEN))
            else:
                self._replacement = OpenAttempt(placement, opened, sent_at)
                silent_call.give_up("the upstream was silent, and another one took the request")
        finally:
            if self._replacement is None:
                seconds = self._clock() - sent_at
                dispatcher.record_end(
                    placement,
                    attempt,
                    seconds,
                    phase=AnswerPhase.WAITING,
                    head_seconds=None,
                    is_suspected=False,
                )
        if attempt is not None:
            self._count(attempt)
            self._log_attempt(placement, attempt, NextAction.WAIT, None)
            await self._exclude_upstream(placement, attempt)

    @property
    def _phase(self) -> AnswerPhase:
        if self._head_at is None:
            return AnswerPhase.WAITING
        return AnswerPhase.STREAMING if self._event_parts else AnswerPhase.BEGUN

    def _count(self, attempt: Attempt) -> None:
        self._request.attempt_counts = self._request.attempt_counts.add(attempt)

    def _end_handover(self) -> None:
        """Cancel a handover that is under way, and close a call that isn't used."""
        if self._handover and not self._handover.done():
            self._handover.cancel()
            # The other upstream may have started to execute the request.
            self._count(Attempt(Outcome.BROKEN))
        unused, self._replacement = self._replacement, None
        if unused:
            unused.call.close()
            self._dependencies.dispatcher.record_end(
                unused.placement,
                None,
                0.0,
                phase=AnswerPhase.WAITING,
                head_seconds=None,
                is_suspected=False,
            )

    def _may_run_again(self) -> bool:
        return self._request.attempt_counts.possible_runs + 1 < self._request.route.max_attempts

    async def _exclude_upstream(self, placement: Placement, attempt: Attempt) -> None:
        """Exclude the upstream from further attempts, unless only its version was not known."""
        sent_to, answered_by = placement.instance, None
        if attempt.outcome is Outcome.WRONG_INSTANCE and attempt.answer is not None:
            answered_by = attempt.answer.instance
        if answered_by == sent_to and sent_to not in self._refreshed:
            # The instance is right, so its weights differ from those expected; it may accept the
            # request once its version is known.
            self._refreshed |= {sent_to}
            await self._dependencies.version_resolver.refresh_versions(sent_to)
            return
        if attempt.outcome is Outcome.TIMED_OUT:
            self._silent |= {sent_to}
            return
        self._excluded |= {sent_to}
        if answered_by and answered_by != sent_to:
            self._dependencies.version_resolver.supersede_upstream(sent_to, placement.address)

    def _adjust_refusal(self, refusal: Refusal) -> Refusal:
        """Change a refusal to "may have run" if an earlier attempt may have run."""
        if self._request.attempt_counts.possible_runs == 0:
            return refusal
        return refuse(ResultCode.UPSTREAM_FAILED, refusal.reason, RunState.UNKNOWN)

    def _finish(self, attempt: Attempt, action: NextAction) -> CompletedAnswer | Refusal:
        writer = self._request.writer
        if action is NextAction.ANSWER:
            assert attempt.answer is not None
            if writer.is_started:
                if attempt.is_failure:
                    return refuse(ResultCode.STREAM_BROKEN, attempt.reason, RunState.UNKNOWN)
                writer.finish()
            else:
                writer.send(
                    attempt.answer.head.status, list_header_fields(attempt.answer), attempt.body
                )
            return CompletedAnswer(attempt.answer.head.status)
        if self._request.attempt_counts.possible_runs:
            code = ResultCode.STREAM_BROKEN if writer.is_started else ResultCode.UPSTREAM_FAILED
            return refuse(code, attempt.reason, RunState.UNKNOWN)
        return refuse(
            ResultCode.OVERLOADED, attempt.reason, retry_after=OVERLOADED_RETRY_AFTER_SECONDS
        )

    def _log_silence(self, silent: Placement, chosen: Placement | Obstacle) -> None:
        obstacle = chosen if isinstance(chosen, Obstacle) else None
        if obstacle and obstacle is self._logged_obstacle:
            return
        self._logged_obstacle = obstacle
        step = "wait" if obstacle else "replace"
        self._dependencies.metrics.count("silent_attempts", step=step)
        log_decision(
            Part.CALLERS,
            "upstream silent",
            request_id=self._request.parsed.request_id,
            upstream=silent.instance,
            silent_seconds=round(self._clock() - self._received_at, 3),
            event_parts=self._event_parts,
            step=step,
            obstacle=obstacle.value if obstacle else None,
            replacement=chosen.instance if isinstance(chosen, Placement) else None,
        )

    def _measure_head_seconds(self) -> float | None:
        return None if self._head_at is None else self._clock() - self._head_at

    def _log_attempt(
        self,
        placement: Placement,
        attempt: Attempt,
        action: NextAction,
        obstacle: Obstacle | None,
    ) -> None:
        prompt, head_seconds = self._request.parsed.prompt, self._measure_head_seconds()
        if attempt.outcome is Outcome.BROKEN:
            self._dependencies.metrics.count("broken_attempts", phase=self._phase.value)
        self._dependencies.metrics.count(
            "attempts",
            outcome=attempt.outcome.value,
            step=action.value,
            obstacle=obstacle.value if obstacle else "",
        )
        log_decision(
            Part.CALLERS,
            "attempt ended",
            request_id=self._request.parsed.request_id,
            upstream=placement.instance,
            outcome=attempt.outcome.value,
            status=attempt.answer.head.status if attempt.answer else None,
            reason=attempt.reason,
            tries=self._request.attempt_counts.total,
            runs=self._request.attempt_counts.possible_runs,
            step=action.value,
            obstacle=obstacle.value if obstacle else None,
            event_parts=self._event_parts,
            head_seconds=None if head_seconds is None else round(head_seconds, 3),
            shared=prompt.shared_part_ids if prompt else None,
            silent_seconds=round(self._clock() - self._received_at, 3),
            revision=self._request.site.revision,
            seconds_left=round(self._request.deadline - self._clock(), 3),
        )


def _log_handover_error(handover: asyncio.Task[None]) -> None:
    if not handover.cancelled() and (error := handover.exception()):
        log_event(Part.CALLERS, "handover failed", reason=repr(error))
