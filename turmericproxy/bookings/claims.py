"""Implement the claim protocol as pure functions of the stored row, the attempt and the time."""

import base64
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from turmericproxy.core import (
    AccountName,
    AttemptId,
    HostName,
    Incarnation,
    Refusal,
    ResultCode,
    RunState,
    refuse,
)

ROW_KEY_BYTES = 20
RUN_LIMIT_SECONDS = 90.0
RETRY_AFTER_SECONDS = 0.5


class ClaimState(Enum):
    """State of a claim; only a ``RELEASED`` row may be claimed by another attempt."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """Response of the upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class ClaimRecord:
    """Value of a claim's row; ``written`` is in seconds of the wall clock.

    A large body is stored in the object store under the name ``body_object``.
    """

    attempt: AttemptId
    host: HostName
    incarnation: Incarnation
    state: ClaimState
    body_digest: str
    written: float
    outcome: Outcome | None = None
    body_object: str | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the value of the row."""
        value: dict[str, Any] = {
            "attempt": self.attempt,
            "host": self.host,
            "incarnation": self.incarnation,
            "state": self.state.value,
            "body_digest": self.body_digest,
            "written": self.written,
        }
        if self.outcome:
            value["outcome"] = {
                "status": self.outcome.status,
                "headers": [list(header) for header in self.outcome.headers],
                "body": base64.b64encode(self.outcome.body).decode(),
            }
        if self.body_object:
            value["body_object"] = self.body_object
        return value


@dataclass(frozen=True)
class StoredClaim:
    """A record and the version of its row."""

    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class Claim:
    """A claim that the platform has confirmed for this host's attempt."""

    row_key: str
    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class StoredOutcome:
    """Response to an earlier request with the same idempotency key."""

    outcome: Outcome


@dataclass(frozen=True)
class ClaimWrite:
    """Write of a record, conditional on the row's version; ``None`` means that no row exists."""

    row_key: str
    version: int | None
    record: ClaimRecord


@dataclass(frozen=True)
class Settlement:
    """Final record of an attempt, which is written again until it has taken effect.

    ``outstanding`` contains the row versions required by the attempt's writes that may still take
    effect, as their responses are missing.
    """

    row_key: str
    record: ClaimRecord
    outstanding: frozenset[int | None]


def create_row_key(account: AccountName, key: str) -> str:
    """Return the row key of an idempotency key, which is scoped to its client account.

    >>> create_row_key(AccountName("a"), "bc") == create_row_key(AccountName("ab"), "c")
    False
    """
    scoped = f"{len(account)}:{account}{key}".encode()
    return hashlib.blake2b(scoped, digest_size=ROW_KEY_BYTES).hexdigest()


def read_record(value: Mapping[str, Any]) -> ClaimRecord:
    """Parse the value of a row."""
    stored = value.get("outcome")
    outcome = stored and Outcome(
        stored["status"],
        tuple((name, text) for name, text in stored["headers"]),
        base64.b64decode(stored["body"]),
    )
    return ClaimRecord(
        AttemptId(value["attempt"]),
        HostName(value["host"]),
        Incarnation(value["incarnation"]),
        ClaimState(value["state"]),
        value["body_digest"],
        value["written"],
        outcome or None,
        value.get("body_object"),
    )


def write_claim(row_key: str, stored: StoredClaim | None, record: ClaimRecord) -> ClaimWrite:
    """Return the write that claims a missing or released row."""
    return ClaimWrite(row_key, stored.version if stored else None, record)


def confirm_claim(row_key: str, stored: StoredClaim | None, attempt: AttemptId) -> Claim | None:
    """Return the claim if the stored row was written by the attempt and is still claimed."""
    if stored is None or stored.record.attempt != attempt:
        return None
    if stored.record.state is not ClaimState.CLAIMED:
        return None
    return Claim(row_key, stored.record, stored.version)


def is_claimable(stored: StoredClaim | None) -> bool:
    """Return whether a new attempt may claim the row."""
    return stored is None or stored.record.state is ClaimState.RELEASED


def answer_repeated_request(
    stored: StoredClaim, body_digest: str, now: float, is_owner_alive: bool | None
) -> ClaimRecord | Refusal:
    """Return the finished record of a row that can't be claimed, or a refusal if it has none.

    If ``is_owner_alive`` is ``None`` (unknown), a claim counts as running until it is
    ``RUN_LIMIT_SECONDS`` old.
    """
    record = stored.record
    if record.body_digest != body_digest:
        return refuse(ResultCode.CLAIM_OTHER_BODY, "the idempotency key was used with another body")
    if record.state is ClaimState.DONE:
        return record
    if record.state is ClaimState.CLAIMED and _is_owner_running(record, now, is_owner_alive):
        return refuse(
            ResultCode.CLAIM_IN_PROGRESS,
            "an earlier request with this idempotency key is in progress",
            RunState.UNKNOWN,
            RETRY_AFTER_SECONDS,
        )
    return refuse(
        ResultCode.OUTCOME_UNKNOWN,
        "an earlier request with this idempotency key may have run; its answer is lost",
        RunState.UNKNOWN,
    )


def _is_owner_running(record: ClaimRecord, now: float, is_owner_alive: bool | None) -> bool:
    if is_owner_alive is None:
        return now - record.written < RUN_LIMIT_SECONDS
    return is_owner_alive


def finish_claim(claim: Claim, outcome: Outcome, now: float) -> Settlement:
    """Return the settlement that stores the upstream's response."""
    record = replace(claim.record, state=ClaimState.DONE, outcome=outcome, written=now)
    return Settlement(claim.row_key, record, frozenset({claim.version}))


def mark_claim_unknown(claim: Claim, now: float) -> Settlement:
    """Return the settlement of a dispatched claim without a complete response."""
    record = replace(claim.record, state=ClaimState.UNKNOWN, written=now)
    return Settlement(claim.row_key, record, frozenset({claim.version}))


def release_claim(claim: Claim, now: float) -> Settlement:
    """Return the settlement that releases a claim which was not dispatched."""
    return give_up_claim(claim.row_key, claim.record, frozenset({claim.version}), now)


def give_up_claim(
    row_key: str, record: ClaimRecord, outstanding: frozenset[int | None], now: float
) -> Settlement:
    """Return the settlement that releases a row which outstanding writes may still claim."""
    released = replace(record, state=ClaimState.RELEASED, written=now)
    return Settlement(row_key, released, outstanding)


def settle_claim(settlement: Settlement, stored: StoredClaim | None) -> ClaimWrite | None:
    """Return the next write that a settlement needs, or ``None`` if it needs no more.

    A release is complete once no outstanding write of the attempt can take effect. If the row is
    missing, a released row is written as a fence. If a row of another attempt has a version that
    an outstanding write requires, it is rewritten unchanged to get a new version.
    """
    record = settlement.record
    is_release = record.state is ClaimState.RELEASED
    if stored is None:
        needs_fence = is_release and None in settlement.outstanding
        return ClaimWrite(settlement.row_key, None, record) if needs_fence else None
    if stored.record.attempt == record.attempt:
        if stored.record.state is record.state:
            return None
        return ClaimWrite(settlement.row_key, stored.version, record)
    if is_release and stored.version in settlement.outstanding:
        return ClaimWrite(settlement.row_key, stored.version, stored.record)
    return None
