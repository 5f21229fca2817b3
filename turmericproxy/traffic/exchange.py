"""Bring a request to an upstream and its answer back, with retries where they are allowed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.core.budget import RetryBudget
from turmericproxy.core.ids import InstanceId, ServiceName
from turmericproxy.edge import UpstreamCall
from turmericproxy.edge.upstream import EndKind
from turmericproxy.logs import Part, log_decision
from turmericproxy.traffic.attempts import Attempt, Outcome, Step, decide_step
from turmericproxy.traffic.dispatching import Dispatcher, Placement
from turmericproxy.traffic.events import EventCutter
from turmericproxy.traffic.interfaces import MessageCodec, VersionResolver
from turmericproxy.traffic.passage import Passage
from turmericproxy.traffic.requests import ParsedAnswer, Verdict
from turmericproxy.traffic.sending import open_call, read_answer, read_head

# A plain call that may be repeated is given up after this many usual times, in seconds at least
# SHORTEST_SILENCE: slow calls take five times as long as usual ones.
SILENCE_FACTOR = 8.0
SHORTEST_SILENCE = 0.15
# Seconds beyond the expected ones after which a stream that may be resumed goes elsewhere.
FIRST_EVENT_PATIENCE = 0.7
# A stream that may be resumed is taken elsewhere after this many of its longest pauses.
PAUSE_FACTOR = 2.0
# Advice to come back after attempts that all did not run, in seconds: a pause of an upstream.
GIVEN_UP_RETRY = 0.5


@dataclass(frozen=True)
class ExchangeDependencies:
    """Hold what all exchanges of a host share; ``get_budget`` finds a service's retry budget."""

    codec: MessageCodec
    dispatcher: Dispatcher
    version_resolver: VersionResolver
    get_budget: Callable[[ServiceName], RetryBudget]


@dataclass(frozen=True)
class Finished:
    """Say that the whole answer has been passed on."""

    status: int


class Exchange:
    """Run the attempts of one request."""

    def __init__(self, passage: Passage, parts: ExchangeDependencies) -> None:
        self._passage = passage
        self._parts = parts
        self._clock = asyncio.get_running_loop().time
        self._excluded: frozenset[InstanceId] = frozenset()
        self._inquired: frozenset[InstanceId] = frozenset()
        self._last_id: str | None = passage.inquiry.last_event_id
        self._had_event = False

    async def run(self) -> Finished | Refusal:
        """Answer the client, or return why it can't be."""
        passage = self._passage
        budget = self._parts.get_budget(passage.service.name)
        budget.record_request()
        while True:
            placement = self._parts.dispatcher.place(passage, self._excluded, self._last_id)
            if isinstance(placement, Refusal):
                return self._judge_refusal(placement)
            attempt = await self._attempt(placement)
            passage.history = passage.history.add(attempt)
            step = decide_step(
                attempt,
                passage.history,
                is_repeatable=passage.route.is_repeatable,
                max_runs=passage.route.max_attempts,
                seconds_left=passage.deadline - self._clock(),
            )
            is_free = attempt.outcome is Outcome.NOT_SENT
            if step is Step.RETRY and not is_free and not budget.take():
                step = Step.ANSWER if attempt.outcome is Outcome.ANSWERED else Step.GIVE_UP
            self._log_attempt(placement, attempt, step)
            await self._learn_instance(placement, attempt)
            if step is not Step.RETRY:
                return self._conclude(attempt, step)

    async def _attempt(self, placement: Placement) -> Attempt:
        dispatcher = self._parts.dispatcher
        started = self._clock()
        self._had_event = False
        attempt: Attempt | None = None
        dispatcher.record_start(placement)
        try:
            attempt = await self._send(placement)
        except asyncio.CancelledError:
            if self._clock() >= self._passage.deadline:
                attempt = Attempt(Outcome.TIMED_OUT, reason="no answer until the deadline")
            raise
        finally:
            seconds = self._clock() - started
            dispatcher.record_end(placement, attempt, seconds, had_event=self._had_event)
        return attempt

    async def _send(self, placement: Placement) -> Attempt:
        opened = await open_call(self._passage, placement, self._parts.codec)
        if isinstance(opened, Attempt):
            return opened
        with opened as call:
            try:
                async with asyncio.timeout(self._bound_silence(placement)) as limit:
                    return await self._receive(placement, call, limit)
            except TimeoutError:
                return Attempt(Outcome.TIMED_OUT, reason="no answer in the usual time")

    async def _receive(
        self, placement: Placement, call: UpstreamCall, limit: asyncio.Timeout
    ) -> Attempt:
        reading = await read_head(self._passage, placement, self._parts.codec, call)
        if isinstance(reading, Attempt):
            return reading
        if self._passage.route.is_stream and reading.verdict is Verdict.SUCCESS:
            return await self._relay(placement, call, reading, limit)
        return await read_answer(call, reading)

    async def _relay(
        self,
        placement: Placement,
        call: UpstreamCall,
        reading: ParsedAnswer,
        limit: asyncio.Timeout,
    ) -> Attempt:
        """Pass on whole events as they come; the first one opens the client's answer."""
        writer, started = self._passage.writer, self._clock()
        cutter = EventCutter()
        while isinstance(part := await call.read_part(), bytes):
            events = cutter.feed(part)
            if not events.data:
                continue
            if not self._had_event:
                self._had_event = True
                self._parts.dispatcher.record_first_event(placement, self._clock() - started)
            if not writer.is_started:
                writer.start(reading.head.status, _list_fields(reading), None)
            self._last_id = events.last_id or self._last_id
            writer.write(events.data)
            self._bound_pause(limit)
            await writer.drain()
        if part is not EndKind.COMPLETE or cutter.has_rest:
            return Attempt(Outcome.BROKEN, reading, reason=call.reason or "event broke off")
        if not writer.is_started:
            writer.start(reading.head.status, _list_fields(reading), None)
        return Attempt(Outcome.ANSWERED, reading)

    def _bound_silence(self, placement: Placement) -> float | None:
        """Return the seconds until an attempt is given up for another one, if that is allowed."""
        passage = self._passage
        if not passage.route.is_repeatable or not self._may_run_again():
            return None
        if passage.route.is_stream:
            return placement.expected_seconds + FIRST_EVENT_PATIENCE
        return max(SHORTEST_SILENCE, SILENCE_FACTOR * placement.expected_seconds)

    def _bound_pause(self, limit: asyncio.Timeout) -> None:
        if limit.when() is not None:
            limit.reschedule(self._clock() + PAUSE_FACTOR * self._passage.route.target_event_gap)

    def _may_run_again(self) -> bool:
        return self._passage.history.runs + 1 < self._passage.route.max_attempts

    async def _learn_instance(self, placement: Placement, attempt: Attempt) -> None:
        sent_to, answered_by = placement.instance, None
        if attempt.outcome is Outcome.WRONG_INSTANCE and attempt.reading is not None:
            answered_by = attempt.reading.instance
        if answered_by == sent_to and sent_to not in self._inquired:
            # It has other weights than expected, and may take the request once they are known.
            self._inquired |= {sent_to}
            await self._parts.version_resolver.refresh_versions(sent_to)
            return
        self._excluded |= {sent_to}
        if answered_by and answered_by != sent_to:
            successor = InstanceId(answered_by)
            await self._parts.version_resolver.replace_upstream(
                sent_to, placement.address, successor
            )

    def _judge_refusal(self, refusal: Refusal) -> Refusal:
        """Never say that a request has not run after an attempt that may have."""
        if self._passage.history.runs == 0:
            return refusal
        return refuse(ResultCode.UPSTREAM_FAILED, refusal.reason, RunState.UNKNOWN)

    def _conclude(self, attempt: Attempt, step: Step) -> Finished | Refusal:
        writer = self._passage.writer
        if step is Step.ANSWER:
            assert attempt.reading is not None
            if writer.is_started:
                if attempt.is_failure:
                    return refuse(ResultCode.STREAM_BROKEN, attempt.reason, RunState.UNKNOWN)
                writer.finish()
            else:
                writer.send(
                    attempt.reading.head.status, _list_fields(attempt.reading), attempt.body
                )
            return Finished(attempt.reading.head.status)
        if self._passage.history.runs:
            code = ResultCode.STREAM_BROKEN if writer.is_started else ResultCode.UPSTREAM_FAILED
            return refuse(code, attempt.reason, RunState.UNKNOWN)
        return refuse(ResultCode.OVERLOADED, attempt.reason, retry_after=GIVEN_UP_RETRY)

    def _log_attempt(self, placement: Placement, attempt: Attempt, step: Step) -> None:
        log_decision(
            Part.CALLERS,
            "attempt ended",
            request_id=self._passage.inquiry.request_id,
            upstream=placement.instance,
            outcome=attempt.outcome.value,
            status=attempt.reading.head.status if attempt.reading else None,
            reason=attempt.reason,
            tries=self._passage.history.tries,
            runs=self._passage.history.runs,
            step=step.value,
            seconds_left=round(self._passage.deadline - self._clock(), 3),
        )


def _list_fields(reading: ParsedAnswer) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in reading.head.headers.list_end_to_end()
        if name.lower() != "content-length"
    ]
