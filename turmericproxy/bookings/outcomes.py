"""Store large response bodies in the platform's object store."""

from dataclasses import replace

from turmericproxy.bookings.claims import ClaimRecord, StoredOutcome
from turmericproxy.core import Refusal, ResultCode, RunState, refuse
from turmericproxy.tables.client import PlatformClient

MAX_ROW_BODY_BYTES = 32 * 1024
RETRY_AFTER_SECONDS = 1.0


def store_body(platform: PlatformClient, record: ClaimRecord) -> ClaimRecord | None:
    """Return the record with a large body moved to the object store, ``None`` if that failed."""
    if record.outcome is None or len(record.outcome.body) <= MAX_ROW_BODY_BYTES:
        return record
    name = f"bookings/{record.attempt}"
    if platform.put_object(name, record.outcome.body) is not None:
        return None
    return replace(record, outcome=replace(record.outcome, body=b""), body_object=name)


def load_outcome(platform: PlatformClient, record: ClaimRecord) -> StoredOutcome | Refusal:
    """Return the response of a finished claim with its complete body."""
    if record.outcome is None:
        return _refuse_answer(ResultCode.OUTCOME_UNKNOWN, None)
    if record.body_object is None:
        return StoredOutcome(record.outcome)
    body = platform.get_object(record.body_object)
    if isinstance(body, Refusal):
        return _refuse_answer(ResultCode.PLATFORM_UNAVAILABLE, RETRY_AFTER_SECONDS)
    if body is None:
        return _refuse_answer(ResultCode.OUTCOME_UNKNOWN, None)
    return StoredOutcome(replace(record.outcome, body=body))


def _refuse_answer(code: ResultCode, retry_after: float | None) -> Refusal:
    reason = "an earlier request with this idempotency key ran; its answer can't be read"
    return refuse(code, reason, RunState.UNKNOWN, retry_after)
