"""Decide on claims: pure functions of the stored row, the attempt and the time."""

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
RETRY_SECONDS = 0.5


class ClaimState(Enum):
    """Tell how far a claim got; only ``RELEASED`` lets another attempt run."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Outcome:
    """Hold the answer of the upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class ClaimRecord:
    """Hold what the platform stores of a claim; ``written`` is in seconds of the wall clock.

    A large body lies in the object store under ``body_object``.
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
    """Hold a record with the version of its row."""

    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class Claim:
    """Hold a claim that is known to be ours."""

    row_key: str
    record: ClaimRecord
    version: int


@dataclass(frozen=True)
class StoredOutcome:
    """Hold the answer that an earlier request with the same key got."""

    outcome: Outcome


@dataclass(frozen=True)
class ClaimWrite:
    """Write a record over a row of this version; ``None`` stands for a row that is not there."""

    row_key: str
    version: int | None
    record: ClaimRecord


@dataclass(frozen=True)
class Settlement:
    """Hold the last record of an attempt, to be stored until it is in force.

    ``outstanding`` has the versions on which writes of the attempt without an answer depend:
    such a write may still take effect.
    """

    row_key: str
    record: ClaimRecord
    outstanding: frozenset[int | None]


def create_row_key(account: AccountName, key: str) -> str:
    """Return the row of an idempotency key, which counts within its client account only.

    >>> create_row_key(AccountName("a"), "bc") == create_row_key(AccountName("ab"), "c")
    False
    """
    scoped = f"{len(account)}:{account}{key}".encode()
    return hashlib.blake2b(scoped, digest_size=ROW_KEY_BYTES).hexdigest()


def read_record(value: Mapping[str, Any]) -> ClaimRecord:
    """Return the record in the value of a row."""
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
    """Return the write that claims a row which is not there or was released."""
    return ClaimWrite(row_key, stored.version if stored else None, record)


def confirm_claim(row_key: str, stored: StoredClaim | None, attempt: AttemptId) -> Claim | None:
    """Return the claim if the stored row is the attempt's own."""
    if stored is None or stored.record.attempt != attempt:
        return None
    if stored.record.state is not ClaimState.CLAIMED:
        return None
    return Claim(row_key, stored.record, stored.version)


def is_claimable(stored: StoredClaim | None) -> bool:
    """Return whether a new attempt may claim the row."""
    return stored is None or stored.record.state is ClaimState.RELEASED


def answer_repeat(
    stored: StoredClaim, body_digest: str, now: float, owner_alive: bool | None
) -> ClaimRecord | Refusal:
    """Return the finished record of a row that can't be claimed, or why there is none.

    ``owner_alive`` is ``None`` when it is not known; then the age of the claim decides.
    """
    record = stored.record
    if record.body_digest != body_digest:
        return refuse(ResultCode.CLAIM_OTHER_BODY, "the idempotency key was used with another body")
    if record.state is ClaimState.DONE:
        return record
    if record.state is ClaimState.CLAIMED and _is_owner_running(record, now, owner_alive):
        return refuse(
            ResultCode.CLAIM_IN_PROGRESS,
            "an earlier request with this idempotency key is in progress",
            RunState.UNKNOWN,
            RETRY_SECONDS,
        )
    return refuse(
        ResultCode.OUTCOME_UNKNOWN,
        "an earlier request with this idempotency key may have run; its answer is lost",
        RunState.UNKNOWN,
    )


def _is_owner_running(record: ClaimRecord, now: float, owner_alive: bool | None) -> bool:
    if owner_alive is None:
        return now - record.written < RUN_LIMIT_SECONDS
    return owner_alive


def finish_claim(claim: Claim, outcome: Outcome, now: float) -> Settlement:
    """Return how to store the answer of the upstream."""
    record = replace(claim.record, state=ClaimState.DONE, outcome=outcome, written=now)
    return Settlement(claim.row_key, record, frozenset({claim.version}))


def mark_claim_unknown(claim: Claim, now: float) -> Settlement:
    """Return how to store that a dispatched claim got no whole answer."""
    record = replace(claim.record, state=ClaimState.UNKNOWN, written=now)
    return Settlement(claim.row_key, record, frozenset({claim.version}))


def release_claim(claim: Claim, now: float) -> Settlement:
    """Return how to give a claim back before its dispatch."""
    return give_up_claim(claim.row_key, claim.record, frozenset({claim.version}), now)


def give_up_claim(
    row_key: str, record: ClaimRecord, outstanding: frozenset[int | None], now: float
) -> Settlement:
    """Return how to release a row that an attempt without a known claim may yet get."""
    released = replace(record, state=ClaimState.RELEASED, written=now)
    return Settlement(row_key, released, outstanding)


def settle_claim(settlement: Settlement, stored: StoredClaim | None) -> ClaimWrite | None:
    """Return the write that brings a settlement into force, or ``None`` if it is.

    A release is in force once no write of the attempt can take effect any more: it writes a
    released row where there is none yet, and renews a row of another attempt that an outstanding
    write of ours depends on.
    """
    record = settlement.record
    is_release = record.state is ClaimState.RELEASED
    if stored is None:
        fences = is_release and None in settlement.outstanding
        return ClaimWrite(settlement.row_key, None, record) if fences else None
    if stored.record.attempt == record.attempt:
        if stored.record.state is record.state:
            return None
        return ClaimWrite(settlement.row_key, stored.version, record)
    if is_release and stored.version in settlement.outstanding:
        return ClaimWrite(settlement.row_key, stored.version, stored.record)
    return None
