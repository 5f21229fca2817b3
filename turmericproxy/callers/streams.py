"""Bring the stream of one chat to its end, over several attempts if need be."""

import hashlib
import itertools
import time
from collections.abc import Generator, Iterator
from dataclasses import dataclass, replace

from turmericproxy.cache.blocks import hash_blocks
from turmericproxy.callers.attempts import Attempt, AttemptFailure
from turmericproxy.callers.calls import ChatCall
from turmericproxy.callers.clients import UpstreamClients
from turmericproxy.callers.exchange import Exchange
from turmericproxy.callers.pieces import (
    BadEvent,
    Expectation,
    KeepAlive,
    Piece,
    StreamEnd,
)
from turmericproxy.core import (
    AccountName,
    EngineName,
    Refusal,
    RequestId,
    ResultCode,
    RunState,
    read_boottime,
    refuse,
)
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
from turmericproxy.settings.schema import UpstreamSettings

FRUITLESS_ATTEMPTS = 4
CONTINUE_SECONDS = 10.0
RETURN_SECONDS = 1.5
CHOICE_PAUSE_SECONDS = 0.1
RETRY_AFTER_SECONDS = 1.0
SALT_BYTES = 8

KEY_CODES = frozenset({ResultCode.KEY_WITHDRAWN, ResultCode.KEY_UNKNOWN, ResultCode.KEYS_TOO_OLD})

Item = Piece | StreamEnd | Refusal


@dataclass(frozen=True)
class ChatParts:
    """Name the parts that a chat needs."""

    selector: Selector
    keys: KeyController
    clients: UpstreamClients
    budget: RetryBudget
    metrics: Metrics
    settings: UpstreamSettings


def derive_salt(account: AccountName) -> str:
    """Return the salt that keeps the cache entries of client accounts apart."""
    return hashlib.blake2b(account.encode(), digest_size=SALT_BYTES).hexdigest()


def is_final(refusal: Refusal, has_begun: bool, seconds_left: float) -> bool:
    """Return whether it would not help a chat to wait for an engine.

    ``has_begun`` says whether the caller has got pieces; ``seconds_left`` is the longest wait.
    """
    if refusal.code in KEY_CODES:
        return True
    if has_begun or refusal.code is ResultCode.NO_UPSTREAM:
        return False
    if refusal.code is ResultCode.OVERLOADED and refusal.retry_after is not None:
        return refusal.retry_after > seconds_left
    return True


class ChatStream:
    """Return the pieces of one answer in order, over as many attempts as bring pieces.

    The last item is a ``StreamEnd``, or a refusal if the answer could not be completed.
    """

    def __init__(self, parts: ChatParts, exchange: Exchange) -> None:
        assert isinstance(exchange.call, ChatCall)
        assert exchange.identity is not None
        self._parts = parts
        self._exchange = exchange
        self._call = exchange.call
        self._identity = exchange.identity
        self._salt = derive_salt(exchange.identity.account)
        self._blocks = self._chain_blocks()
        self._next_index = 0
        self._excluded: frozenset[EngineName] = frozenset()
        self._usage: Usage | None = None
        self._items = self._run_attempts()
        parts.budget.record_request()

    def __iter__(self) -> Iterator[Item]:
        return self

    def __next__(self) -> Item:
        return next(self._items)

    def close(self) -> None:
        """End the stream and cancel what still runs at an engine."""
        self._items.close()

    def _run_attempts(self) -> Generator[Item, None, None]:
        failure: AttemptFailure | None = None
        fruitless = 0
        for number in itertools.count():
            choice = self._choose_engine() if failure is None else self._choose_again(failure)
            if isinstance(choice, Refusal):
                yield choice
                return
            before = self._next_index
            failure = yield from self._run_attempt(choice, number)
            if failure is None:
                return
            self._excluded |= {choice.engine}
            self._report_failure(choice, failure)
            fruitless = 0 if self._next_index > before else fruitless + 1
            if fruitless == FRUITLESS_ATTEMPTS:
                yield self._refuse_broken(failure.reason)
                return

    def _choose_again(self, failure: AttemptFailure) -> EngineChoice | Refusal:
        """Choose for a further attempt, and wait for an engine to return if there is none.

        A stream that has begun waits longer, as only this host can complete it.
        """
        if not self._parts.budget.take():
            return self._refuse_broken(f"{failure.reason}; the host's retries are used up")
        if failure.kind is AttemptOutcome.WRONG_VERSION and not self._next_index:
            self._follow_version()
        give_up_at = self._limit_wait(read_boottime())
        while True:
            choice = self._choose_engine()
            if isinstance(choice, EngineChoice):
                return choice
            seconds_left = give_up_at - read_boottime()
            if seconds_left <= 0 or is_final(choice, self._next_index > 0, seconds_left):
                return self._refuse_broken(f"{failure.reason}; {choice.reason}")
            self._excluded = frozenset()
            time.sleep(CHOICE_PAUSE_SECONDS)

    def _limit_wait(self, now: float) -> float:
        if self._next_index:
            return now + CONTINUE_SECONDS
        return min(now + RETURN_SECONDS, self._exchange.deadline)

    def _follow_version(self) -> None:
        """Take the version that engines serve now; nothing of the old one was sent yet."""
        version = self._parts.selector.choose_version(
            self._call.model, self._exchange.request_id, self._excluded
        )
        self._call = replace(self._call, version=version or self._call.version)
        self._blocks = self._chain_blocks()

    def _chain_blocks(self) -> tuple[str, ...]:
        call = self._call
        return hash_blocks(call.prompt, self._salt, call.model, call.version)

    def _choose_engine(self) -> EngineChoice | Refusal:
        refusal = self._parts.keys.check(self._identity)
        if refusal:
            return refusal
        deadline = self._exchange.deadline
        if self._next_index:
            # The first token is out; the deadline for it no longer limits the rest.
            deadline = read_boottime() + CONTINUE_SECONDS
        request = RoutingRequest(
            request_id=self._exchange.request_id,
            account=self._identity.account,
            model=self._call.model,
            version=self._call.version,
            blocks=self._blocks,
            prompt_tokens=self._call.prompt_tokens,
            max_tokens=self._call.max_tokens,
            deadline=deadline,
            excluded=self._excluded,
        )
        return self._parts.selector.choose_engine(request)

    def _run_attempt(
        self, choice: EngineChoice, number: int
    ) -> Generator[Item, None, AttemptFailure | None]:
        attempt = self._create_attempt(choice, number)
        kind = AttemptOutcome.CANCELLED
        self._parts.selector.record_dispatch(choice)
        try:
            failure = attempt.dispatch()
            if failure is None:
                failure = yield from self._read_pieces(attempt)
            if failure is not None and failure.kind is AttemptOutcome.FAILED:
                failure = attempt.resume(self._next_index - 1) or (
                    yield from self._read_pieces(attempt)
                )
            kind = failure.kind if failure else AttemptOutcome.DONE
            return failure
        finally:
            attempt.close()
            self._parts.selector.record_finish(choice, kind, self._usage)

    def _create_attempt(self, choice: EngineChoice, number: int) -> Attempt:
        return Attempt(
            self._parts.clients.get(choice.address),
            self._parts.settings,
            choice,
            self._call,
            RequestId(f"{self._exchange.request_id}-{number}"),
            self._salt,
            self._next_index,
        )

    def _read_pieces(self, attempt: Attempt) -> Generator[Item, None, AttemptFailure | None]:
        """Pass on the pieces of one connection; return ``None`` when the stream is complete."""
        is_first = True
        for event in attempt.read_events():
            if isinstance(event, KeepAlive):
                if self._exchange.request.is_client_gone():
                    yield refuse(ResultCode.STREAM_BROKEN, "the caller has gone", RunState.UNKNOWN)
                    return None
                continue
            failure = self._find_failure(event, attempt)
            if failure is not None:
                return failure
            if isinstance(event, Piece):
                if is_first:
                    self._parts.selector.record_first_token(attempt.choice, attempt.measure_age())
                is_first = False
                self._record_piece()
                yield event
            elif isinstance(event, StreamEnd):
                self._usage = event.usage
                attempt.finish()
                yield replace(event, usage=replace(event.usage, completion_tokens=self._next_index))
                return None
        return AttemptFailure(AttemptOutcome.FAILED, "the stream ended early")

    def _find_failure(
        self, event: Piece | StreamEnd | BadEvent | AttemptFailure, attempt: Attempt
    ) -> AttemptFailure | None:
        if isinstance(event, AttemptFailure):
            return event
        if isinstance(event, BadEvent):
            return AttemptFailure(AttemptOutcome.MISMATCHED, event.reason)
        expectation = Expectation(
            attempt.request_id, attempt.choice.version, self._next_index, attempt.start
        )
        fault = expectation.find_fault(event)
        return AttemptFailure(AttemptOutcome.MISMATCHED, fault) if fault else None

    def _record_piece(self) -> None:
        if self._next_index == 0:
            seconds = read_boottime() - self._exchange.received
            self._parts.metrics.record_latency("first_token", seconds)
        self._next_index += 1
        self._exchange.usage.tokens = self._call.prompt_tokens + self._next_index

    def _report_failure(self, choice: EngineChoice, failure: AttemptFailure) -> None:
        self._parts.metrics.count("attempt_failures", kind=failure.kind.value)
        log_event(
            Part.CALLERS,
            "attempt failed",
            request_id=self._exchange.request_id,
            engine=choice.engine,
            reason=failure.reason,
            pieces=self._next_index,
        )

    def _refuse_broken(self, reason: str) -> Refusal:
        """Refuse after a dispatch: the engine may have done the work."""
        code = ResultCode.STREAM_BROKEN if self._next_index else ResultCode.UPSTREAM_FAILED
        return refuse(code, reason, RunState.UNKNOWN, RETRY_AFTER_SECONDS)
