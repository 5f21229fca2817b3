"""Stream the answer to one chat, retrying at other engines after failures."""

import hashlib
import itertools
import time
from collections.abc import Generator, Iterator
from dataclasses import dataclass, replace

from turmericproxy.cache.blocks import hash_blocks
from turmericproxy.callers.attempts import Attempt, AttemptFailure, ProbeResult
from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.choices import EngineChooser
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.events import (
    ExpectedEvent,
    InvalidEvent,
    KeepAlive,
    Piece,
    StreamEnd,
)
from turmericproxy.callers.exchange import Exchange
from turmericproxy.core import (
    AccountName,
    Refusal,
    RequestId,
    ResultCode,
    RunState,
    read_boottime,
    refuse,
)
from turmericproxy.crashes.evidence import BrokenPrompt
from turmericproxy.keys import KeyController
from turmericproxy.logs import Part, log_event
from turmericproxy.metrics import Metrics
from turmericproxy.routing import (
    AttemptOutcome,
    EngineChoice,
    RetryBudget,
    RoutingRequest,
    Selector,
    Usage,
)
from turmericproxy.routing.crash_guard import list_message_parts
from turmericproxy.settings.schema import UpstreamSettings

MAX_ATTEMPTS_WITHOUT_PROGRESS = 4
# Engines that end before the first piece of one chat, after which it isn't repeated.
MAX_ENDED_ENGINES = 2
STARTED_STREAM_WAIT_SECONDS = 10.0
UNSTARTED_STREAM_WAIT_SECONDS = 1.5
# Longest silence of the engines of a started stream; engines send a comment every half second.
STARTED_STREAM_SILENCE_SECONDS = 30.0
ENGINE_POLL_SECONDS = 0.1
RETRY_AFTER_SECONDS = 1.0
SALT_BYTES = 8

KEY_REFUSAL_CODES = frozenset(
    {ResultCode.KEY_WITHDRAWN, ResultCode.KEY_UNKNOWN, ResultCode.KEYS_TOO_OLD}
)

StreamItem = Piece | StreamEnd | Refusal


@dataclass(frozen=True)
class ChatDependencies:
    """Name the components that a chat depends on."""

    selector: Selector
    keys: KeyController
    clients: UpstreamClients
    budget: RetryBudget
    metrics: Metrics
    settings: UpstreamSettings


def derive_salt(account: AccountName) -> str:
    """Return the salt of a client account, so that accounts do not share cache entries."""
    return hashlib.blake2b(account.encode(), digest_size=SALT_BYTES).hexdigest()


def is_final(refusal: Refusal, has_started: bool, seconds_left: float) -> bool:
    """Return whether waiting for an engine can't help after this refusal.

    ``has_started`` is whether the caller has received pieces; ``seconds_left`` limits the wait.
    """
    if refusal.code in KEY_REFUSAL_CODES:
        return True
    if has_started or refusal.code is ResultCode.NO_UPSTREAM:
        return False
    if refusal.code is ResultCode.OVERLOADED and refusal.retry_after is not None:
        return refusal.retry_after > seconds_left
    return True


class ChatStream:
    """Iterator over the pieces of one answer in order, across several attempts.

    The last item is a ``StreamEnd``, or a refusal if the answer could not be completed. Retries
    end at the latest when ``MAX_ATTEMPTS_WITHOUT_PROGRESS`` in a row have brought no piece.
    """

    def __init__(self, dependencies: ChatDependencies, exchange: Exchange) -> None:
        assert isinstance(exchange.call, ChatCall)
        assert exchange.identity is not None
        self._dependencies = dependencies
        self._exchange = exchange
        self._call = exchange.call
        self._identity = exchange.identity
        self._salt = derive_salt(exchange.identity.account)
        self._blocks = self._hash_blocks()
        self._next_index = 0
        self._chooser = EngineChooser(dependencies.selector, dependencies.keys, exchange.identity)
        self._parts = list_message_parts(self._call.messages)
        self._ended_engines = 0
        self._replacement: EngineChoice | None = None
        self._attempts_without_progress = 0
        self._last_event_at = exchange.received_at
        self._usage: Usage | None = None
        self._items = self._run_attempts()
        dependencies.budget.record_request()

    def __iter__(self) -> Iterator[StreamItem]:
        return self

    def __next__(self) -> StreamItem:
        return next(self._items)

    def close(self) -> None:
        """End the stream, and cancel the request if it still runs at an engine."""
        self._items.close()

    def is_caller_gone(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._exchange.request.is_client_gone()

    def count_seconds_left(self) -> float:
        """Return how long the engine may stay silent; negative once the time has passed."""
        if self._next_index:
            return self._last_event_at + STARTED_STREAM_SILENCE_SECONDS - read_boottime()
        return self._exchange.deadline - read_boottime()

    def secure_replacement(self, attempt: Attempt, probe: ProbeResult | None) -> bool:
        """Choose another engine and take a retry; return whether both succeed."""
        if not self._has_attempt_left(attempt) or self._check_block():
            return False
        request = self._create_request()
        choice = self._chooser.choose_replacement(request, attempt.choice, probe)
        if choice is None or not self._dependencies.budget.take():
            return False
        self._replacement = choice
        return True

    def _has_attempt_left(self, attempt: Attempt) -> bool:
        has_progressed = self._next_index > attempt.start
        return has_progressed or self._attempts_without_progress + 1 < MAX_ATTEMPTS_WITHOUT_PROGRESS

    def _run_attempts(self) -> Generator[StreamItem, None, None]:
        choice = self._check_block() or self._chooser.choose(self._create_request())
        for attempt_number in itertools.count():
            if isinstance(choice, Refusal):
                yield choice
                return
            start = self._next_index
            failure = yield from self._run_attempt(choice, attempt_number)
            if failure is None:
                return
            self._record_failure(choice, failure, has_progressed=self._next_index > start)
            has_attempt_left = self._attempts_without_progress < MAX_ATTEMPTS_WITHOUT_PROGRESS
            if self._ended_engines == MAX_ENDED_ENGINES or not has_attempt_left:
                yield self._refuse_broken(failure.reason)
                return
            choice = self._take_replacement() or self._choose_for_retry(failure)

    def _record_failure(
        self, choice: EngineChoice, failure: AttemptFailure, has_progressed: bool
    ) -> None:
        self._chooser.record_failure(choice, failure)
        self._report_failure(choice, failure)
        self._attempts_without_progress = (
            0 if has_progressed else self._attempts_without_progress + 1
        )

    def _take_replacement(self) -> EngineChoice | None:
        replacement, self._replacement = self._replacement, None
        return replacement

    def _choose_for_retry(self, failure: AttemptFailure) -> EngineChoice | Refusal:
        """Choose an engine for a retry, waiting a limited time if none is available.

        A stream that has started waits longer, as only this host can complete it.
        """
        if blocked := self._check_block():
            return self._refuse_broken(f"{failure.reason}; {blocked.reason}")
        if not self._dependencies.budget.take():
            return self._refuse_broken(f"{failure.reason}; the host's retry budget is used up")
        if failure.outcome is AttemptOutcome.WRONG_VERSION and not self._next_index:
            self._update_version()
        wait_deadline = self._compute_wait_deadline(read_boottime())
        while True:
            choice = self._chooser.choose(self._create_request())
            if isinstance(choice, EngineChoice):
                return choice
            seconds_left = wait_deadline - read_boottime()
            if seconds_left <= 0 or is_final(choice, self._next_index > 0, seconds_left):
                return self._refuse_broken(f"{failure.reason}; {choice.reason}")
            self._chooser.clear_failed()
            time.sleep(ENGINE_POLL_SECONDS)

    def _compute_wait_deadline(self, now: float) -> float:
        if self._next_index:
            return now + STARTED_STREAM_WAIT_SECONDS
        return min(now + UNSTARTED_STREAM_WAIT_SECONDS, self._exchange.deadline)

    def _update_version(self) -> None:
        """Choose the version anew; only allowed while no piece has been sent to the caller."""
        version = self._dependencies.selector.choose_version(
            self._call.model, self._exchange.request_id, self._chooser.failed
        )
        self._call = replace(self._call, version=version or self._call.version)
        self._blocks = self._hash_blocks()

    def _hash_blocks(self) -> tuple[str, ...]:
        call = self._call
        return hash_blocks(call.prompt, self._salt, call.model, call.version)

    def _create_request(self) -> RoutingRequest:
        deadline = self._exchange.deadline
        if self._next_index:
            # The exchange's deadline applies to the first token alone, which has been sent.
            deadline = read_boottime() + STARTED_STREAM_WAIT_SECONDS
        return RoutingRequest(
            request_id=self._exchange.request_id,
            account=self._identity.account,
            model=self._call.model,
            version=self._call.version,
            blocks=self._blocks,
            prompt_tokens=self._call.prompt_tokens,
            max_tokens=self._call.max_tokens,
            deadline=deadline,
        )

    def _run_attempt(
        self, choice: EngineChoice, attempt_number: int
    ) -> Generator[StreamItem, None, AttemptFailure | None]:
        attempt = self._create_attempt(choice, attempt_number)
        outcome = AttemptOutcome.CANCELLED
        self._dependencies.selector.record_dispatch(choice)
        try:
            failure = attempt.dispatch() or (yield from self._read_pieces(attempt))
            if failure is not None and self.is_caller_gone():
                yield self._refuse_gone()
                return None
            if failure is not None:
                failure = yield from self._resume(attempt, failure)
            outcome = failure.outcome if failure else AttemptOutcome.DONE
            return failure
        finally:
            attempt.close()
            self._dependencies.selector.record_finish(choice, outcome, self._usage)

    def _check_block(self) -> Refusal | None:
        return self._dependencies.selector.crashes.check(self._call.model, self._parts)

    def _resume(
        self, attempt: Attempt, failure: AttemptFailure
    ) -> Generator[StreamItem, None, AttemptFailure | None]:
        """Let the engine of a broken attempt go on if it still can; return the last failure."""
        broken = self._describe_broken(attempt, failure)
        is_ended = broken is not None and self._record_broken(attempt, broken)
        if failure.outcome is not AttemptOutcome.FAILED:
            return failure
        next_index = self._next_index
        last_failure = attempt.resume() or (yield from self._read_pieces(attempt))
        if last_failure and broken and not is_ended and self._next_index == next_index:
            # An engine may listen for a moment while it ends, or be back by now.
            self._record_broken(attempt, broken, is_forgotten=last_failure.is_forgotten)
        return last_failure

    def _describe_broken(self, attempt: Attempt, failure: AttemptFailure) -> BrokenPrompt | None:
        """Return the prompt of an attempt whose connection broke, ``None`` for other failures."""
        is_broken = failure.outcome in (AttemptOutcome.FAILED, AttemptOutcome.TIMEOUT)
        if not attempt.was_sent or failure.is_silent or not is_broken:
            return None
        return BrokenPrompt(
            attempt.request_id,
            self._call.model,
            self._parts,
            attempt.has_only_begun,
            attempt.measure_age(),
        )

    def _record_broken(
        self, attempt: Attempt, prompt: BrokenPrompt, *, is_forgotten: bool = False
    ) -> bool:
        """Record a broken prompt, and return whether its engine has ended."""
        choice, crashes = attempt.choice, self._dependencies.selector.crashes
        is_ended = crashes.record_broken(
            choice.engine, choice.address, prompt, is_forgotten=is_forgotten
        )
        # A stream that has brought pieces goes on at other engines until its message is blocked.
        self._ended_engines += is_ended and prompt.has_begun and not self._next_index
        return is_ended

    def _create_attempt(self, choice: EngineChoice, attempt_number: int) -> Attempt:
        return Attempt(
            self._dependencies.clients.get(choice.address),
            self._dependencies.settings,
            choice,
            self._call,
            RequestId(f"{self._exchange.request_id}-{attempt_number}"),
            self._salt,
            self._next_index,
            self,
        )

    def _read_pieces(self, attempt: Attempt) -> Generator[StreamItem, None, AttemptFailure | None]:
        """Yield the pieces that arrive on one connection.

        Returns ``None`` when the stream is complete or the caller has closed the connection.
        """
        is_first = True
        for event in attempt.read_events():
            self._last_event_at = read_boottime()
            if isinstance(event, KeepAlive):
                if self.is_caller_gone():
                    yield self._refuse_gone()
                    return None
                continue
            failure = self._check_event(event, attempt)
            if failure is not None:
                return failure
            if isinstance(event, Piece):
                if is_first:
                    self._dependencies.selector.record_first_token(
                        attempt.choice, attempt.measure_age()
                    )
                is_first = False
                self._record_piece()
                yield event
            elif isinstance(event, StreamEnd):
                self._usage = event.usage
                attempt.finish()
                self._dependencies.selector.crashes.record_answer(self._call.model, self._parts)
                yield replace(event, usage=replace(event.usage, completion_tokens=self._next_index))
                return None
        return AttemptFailure(AttemptOutcome.FAILED, "the stream ended before its last event")

    def _check_event(
        self, event: Piece | StreamEnd | InvalidEvent | AttemptFailure, attempt: Attempt
    ) -> AttemptFailure | None:
        if isinstance(event, AttemptFailure):
            return event
        if isinstance(event, InvalidEvent):
            return AttemptFailure(AttemptOutcome.MISMATCHED, event.reason)
        expected = ExpectedEvent(
            attempt.request_id, attempt.choice.version, self._next_index, attempt.start
        )
        mismatch = expected.find_mismatch(event)
        return AttemptFailure(AttemptOutcome.MISMATCHED, mismatch) if mismatch else None

    def _record_piece(self) -> None:
        if self._next_index == 0:
            seconds = read_boottime() - self._exchange.received_at
            self._dependencies.metrics.record_latency("first_token", seconds)
        self._next_index += 1
        self._exchange.usage.tokens = self._call.prompt_tokens + self._next_index

    def _report_failure(self, choice: EngineChoice, failure: AttemptFailure) -> None:
        self._dependencies.metrics.count("attempt_failures", kind=failure.outcome.value)
        log_event(
            Part.CALLERS,
            "attempt failed",
            request_id=self._exchange.request_id,
            engine=choice.engine,
            reason=failure.reason,
            pieces=self._next_index,
        )

    def _refuse_gone(self) -> Refusal:
        reason = "the caller closed the connection"
        return refuse(ResultCode.STREAM_BROKEN, reason, RunState.UNKNOWN)

    def _refuse_broken(self, reason: str) -> Refusal:
        """Return a refusal after a dispatch: the engine may have run the request."""
        code = ResultCode.STREAM_BROKEN if self._next_index else ResultCode.UPSTREAM_FAILED
        return refuse(code, reason, RunState.UNKNOWN, RETRY_AFTER_SECONDS)
