"""Claim bookings before their dispatch and store their outcomes."""

import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from turmericproxy.bookings.batch import Batcher, RowConflict, Written
from turmericproxy.bookings.claims import (
    Claim,
    ClaimRecord,
    ClaimState,
    ClaimWrite,
    Outcome,
    StoredClaim,
    StoredOutcome,
    answer_repeated_request,
    confirm_claim,
    create_row_key,
    finish_claim,
    give_up_claim,
    is_claimable,
    mark_claim_unknown,
    release_claim,
    write_claim,
)
from turmericproxy.bookings.outcomes import MAX_ROW_BODY_BYTES, load_outcome
from turmericproxy.bookings.retention import Sweeper
from turmericproxy.bookings.settlement import SettlementWriter, read_stored
from turmericproxy.core import (
    AccountName,
    AttemptId,
    HostName,
    Incarnation,
    Refusal,
    ResultCode,
    RunState,
    create_id,
    refuse,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.settings.schema import BookingSettings
from turmericproxy.tables import AnswerLost
from turmericproxy.tables.client import PlatformClient

RETRY_PAUSE_SECONDS = 0.05
FINISH_TIMEOUT_SECONDS = 0.25
CLOSE_TIMEOUT_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_UNSTORED_RECORDS = 2000
DEFAULT_SETTINGS = BookingSettings()

IsAlive = Callable[[HostName, Incarnation], bool | None]


@dataclass
class _Attempt:
    """Progress of one attempt to claim a row; ``outstanding`` as in ``Settlement``."""

    row_key: str
    record: ClaimRecord
    deadline: float
    outstanding: set[int | None] = field(default_factory=set)


class ClaimController:
    """Grant each idempotency key of a client account to at most one attempt at a time.

    ``is_alive`` returns whether a host still runs under an incarnation, or ``None`` if unknown.
    """

    def __init__(
        self,
        platform: PlatformClient,
        host: HostName,
        incarnation: Incarnation,
        is_alive: IsAlive = lambda host, incarnation: None,
        settings: BookingSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._platform = platform
        self._host = host
        self._incarnation = incarnation
        self._is_alive = is_alive
        self._settings = settings
        self._batcher = Batcher(platform)
        self._settlement_writer = SettlementWriter(platform, self._batcher)
        self._sweeper = Sweeper(platform, settings.retention)
        self._open_attempts: dict[AttemptId, bool] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the background threads."""
        self._batcher.start()
        self._settlement_writer.start()
        self._sweeper.start()

    def close(self) -> None:
        """Store the remaining records for up to ``CLOSE_TIMEOUT_SECONDS`` and stop the threads."""
        self._sweeper.close()
        unstored = self._settlement_writer.close(CLOSE_TIMEOUT_SECONDS)
        self._batcher.close()
        if unstored:
            log_event(
                Part.BOOKINGS,
                "claim records not stored at shutdown",
                level=logging.ERROR,
                records=unstored,
            )

    def claim(
        self, account: AccountName, key: str, body_digest: str
    ) -> Claim | StoredOutcome | Refusal:
        """Claim an idempotency key, or return the earlier response or a refusal.

        The request may be dispatched only if a ``Claim`` is returned. Otherwise the row is released
        in the background if a late write of this attempt may still create it.
        """
        if self._settlement_writer.count_unstored() >= MAX_UNSTORED_RECORDS:
            return _refuse_claim("too many records wait for the platform", None)
        attempt = _Attempt(
            create_row_key(account, key),
            ClaimRecord(
                AttemptId(create_id()),
                self._host,
                self._incarnation,
                ClaimState.CLAIMED,
                body_digest,
                time.time(),
            ),
            time.monotonic() + self._settings.claim_timeout,
        )
        result = self._run_attempt(attempt)
        if isinstance(result, Claim):
            with self._lock:
                self._open_attempts[result.record.attempt] = False
        elif attempt.outstanding:
            self._give_up_claim(attempt)
        return result

    def look_up(
        self, account: AccountName, key: str, body_digest: str
    ) -> StoredOutcome | Refusal | None:
        """Return the outcome of an earlier request with this idempotency key.

        Returns ``None`` if no earlier request ran or the row can't be read.
        """
        stored = read_stored(self._platform, create_row_key(account, key))
        if stored is None or isinstance(stored, Refusal) or is_claimable(stored):
            return None
        return self._answer_repeated_request(body_digest, stored)

    def record_dispatch(self, claim: Claim) -> None:
        """Record that request bytes may have been sent, so that the claim can't be released."""
        with self._lock:
            if claim.record.attempt in self._open_attempts:
                self._open_attempts[claim.record.attempt] = True

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Store the outcome, in the background if that takes over ``FINISH_TIMEOUT_SECONDS``."""
        if self._close_attempt(claim) is None:
            return
        settlement = finish_claim(claim, outcome, time.time())
        if len(outcome.body) > MAX_ROW_BODY_BYTES:
            self._settlement_writer.add(settlement)
            return
        write = ClaimWrite(claim.row_key, claim.version, settlement.record)
        if not isinstance(self._batcher.submit(write, FINISH_TIMEOUT_SECONDS), Written):
            self._settlement_writer.add(settlement)

    def mark_unknown(self, claim: Claim) -> None:
        """Store in the background that the outcome of the request is unknown."""
        if self._close_attempt(claim) is not None:
            self._settlement_writer.add(mark_claim_unknown(claim, time.time()))

    def release(self, claim: Claim) -> None:
        """Release a claim in the background, before any byte of its request is sent.

        A claim whose dispatch was recorded is marked unknown instead.
        """
        was_dispatched = self._close_attempt(claim)
        if was_dispatched is None:
            return
        if was_dispatched:
            log_event(Part.BOOKINGS, "dispatched claim can't be released", level=logging.ERROR)
            self._settlement_writer.add(mark_claim_unknown(claim, time.time()))
        else:
            self._settlement_writer.add(release_claim(claim, time.time()))

    def count_unstored(self) -> int:
        """Return the number of records that are not stored yet."""
        return self._settlement_writer.count_unstored()

    def _close_attempt(self, claim: Claim) -> bool | None:
        with self._lock:
            return self._open_attempts.pop(claim.record.attempt, None)

    def _run_attempt(self, attempt: "_Attempt") -> Claim | StoredOutcome | Refusal:
        stored: StoredClaim | None = None
        while (remaining := attempt.deadline - time.monotonic()) > 0:
            write = write_claim(attempt.row_key, stored, attempt.record)
            result = self._batcher.submit(write, remaining)
            if isinstance(result, Written):
                return Claim(attempt.row_key, attempt.record, result.version)
            if isinstance(result, Refusal):
                if not attempt.outstanding:
                    return _refuse_claim(result.reason, result.retry_after)
                time.sleep(RETRY_PAUSE_SECONDS)
            elif isinstance(result, AnswerLost):
                attempt.outstanding.add(write.version)
            elif isinstance(result, RowConflict):
                read = read_stored(self._platform, attempt.row_key)
                if isinstance(read, Refusal):
                    return replace(
                        _refuse_claim(read.reason, read.retry_after), run=RunState.UNKNOWN
                    )
                if claim := confirm_claim(attempt.row_key, read, attempt.record.attempt):
                    return claim
                if read is not None and not is_claimable(read):
                    return self._answer_repeated_request(attempt.record.body_digest, read)
                stored = read
        return _refuse_claim("the platform did not confirm the claim in time", None)

    def _answer_repeated_request(
        self, body_digest: str, stored: StoredClaim
    ) -> StoredOutcome | Refusal:
        record = stored.record
        if record.host == self._host:
            is_alive: bool | None = record.incarnation == self._incarnation
        else:
            is_alive = self._is_alive(record.host, record.incarnation)
        answer = answer_repeated_request(stored, body_digest, time.time(), is_alive)
        return answer if isinstance(answer, Refusal) else load_outcome(self._platform, answer)

    def _give_up_claim(self, attempt: "_Attempt") -> None:
        log_event(
            Part.BOOKINGS,
            "claim given up",
            row=attempt.row_key,
            attempt=attempt.record.attempt,
        )
        outstanding = frozenset(attempt.outstanding)
        now = time.time()
        self._settlement_writer.add(
            give_up_claim(attempt.row_key, attempt.record, outstanding, now)
        )


def _refuse_claim(reason: str, retry_after: float | None) -> Refusal:
    return refuse(
        ResultCode.CLAIM_UNAVAILABLE,
        f"this request was not run, as its idempotency key could not be claimed: {reason}",
        retry_after=max(retry_after or 0.0, MIN_RETRY_AFTER_SECONDS),
    )
