"""Client for the platform's metadata store."""

import base64
import json
from typing import Any
from urllib.parse import urlencode

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.core.documents import decode_json
from turmericproxy.edge import AnswerHead, fetch
from turmericproxy.logs import Part, log_event
from turmericproxy.platform import names
from turmericproxy.platform.calls import CONNECTION_CLOSE, encode_request
from turmericproxy.store.interfaces import ChangedRow, Changes, HistoryGone, TableState
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Conflict,
    Row,
    Transaction,
    Write,
)

# Long enough for a round trip and one retransmitted packet.
CONNECT_TIMEOUT_SECONDS = 0.5
# The store normally answers within a few milliseconds, but may be silent for more than a second.
CALL_TIMEOUT_SECONDS = 2.0
# Time limit for the answer to a call for changes, in addition to its wait; it is at least that of
# other calls.
CHANGES_MARGIN_SECONDS = 1.0
OK = 200
PRECONDITION_FAILED = 412
GONE = 410
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503


class PlatformStore:
    """Read, follow and change rows; all rows are in the partition with the empty name."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table."""
        rows: list[Row] = []
        start, first_era = "", None
        while True:
            query = {"table": table, "part": ""} | ({"start_key": start} if start else {})
            answer = await self._get(names.READ_PATH, query, CALL_TIMEOUT_SECONDS)
            if isinstance(answer, Refusal):
                return answer
            if isinstance(answer, HistoryGone):
                return _refuse_unavailable("the store does not support this request")
            content, era = answer
            first_era = era if first_era is None else first_era
            if era != first_era:
                return _refuse_unavailable("the store was restored during the read")
            page = [changed.row for changed in _read_rows(content)]
            rows += page
            if not content.get("has_more") or not page:
                clock = content["now_ms"] / 1000
                return TableState(tuple(rows), content["row_version"], clock, era)
            # The start key belongs to the range. Appending a NUL gives the next possible key.
            start = page[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return the changes since a version, waiting up to ``seconds`` for the first one."""
        query = {"table": table, "after": version, "wait_ms": int(seconds * 1000)}
        timeout = max(CALL_TIMEOUT_SECONDS, seconds + CHANGES_MARGIN_SECONDS)
        answer = await self._get(names.FEED_PATH, query, timeout)
        if isinstance(answer, Refusal | HistoryGone):
            return answer
        content, era = answer
        return Changes(tuple(_read_rows(content)), content["row_version"], era)

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction; without an answer it may have been applied or may still be."""
        content = json.dumps(
            {
                "expected": [
                    {"table": c.table, "part": "", "key": c.key, "row_version": c.version or 0}
                    for c in transaction.conditions
                ],
                "writes": [_encode_write(w) for w in transaction.writes if not w.delete],
                "remove": [
                    {"table": w.table, "part": "", "key": w.key}
                    for w in transaction.writes
                    if w.delete
                ],
            }
        ).encode()
        answer = await self._call("POST", names.COMMIT_PATH, content, CALL_TIMEOUT_SECONDS)
        if isinstance(answer, str):
            return AnswerLost(answer)
        head, body = answer
        if head.status == PRECONDITION_FAILED:
            return Conflict(())
        if head.status in (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE):
            return _refuse_unavailable(f"status {head.status}")
        version = _decode_object(body).get("row_version") if head.status == OK else None
        if not isinstance(version, int):
            return AnswerLost(f"status {head.status}")
        versions = {f"{w.table}/{w.key}": version for w in transaction.writes}
        return Committed(versions, _read_era(head))

    async def _get(
        self, path: str, query: dict[str, Any], timeout: float
    ) -> tuple[dict[str, Any], int] | HistoryGone | Refusal:
        """Return the decoded body of an answer and the era of the store."""
        answer = await self._call("GET", f"{path}?{urlencode(query)}", b"", timeout)
        if isinstance(answer, str):
            return _refuse_unavailable(answer)
        head, body = answer
        if head.status == GONE:
            return HistoryGone(_read_era(head))
        content = _decode_object(body)
        is_complete = isinstance(content.get("row_version"), int) and "now_ms" in content
        if head.status != OK or not is_complete:
            return _refuse_unavailable(f"status {head.status}")
        return content, _read_era(head)

    async def _call(
        self, method: str, target: str, content: bytes, timeout: float
    ) -> tuple[AnswerHead, bytes] | str:
        data = encode_request(method, target, self._address, CONNECTION_CLOSE, content=content)
        return await fetch(
            self._address, data, connect_timeout=CONNECT_TIMEOUT_SECONDS, timeout=timeout
        )


def _refuse_unavailable(reason: str) -> Refusal:
    return refuse(ResultCode.PLATFORM_UNAVAILABLE, reason)


def _encode_write(write: Write) -> dict[str, str]:
    value = base64.b64encode(write.value).decode()
    return {"table": write.table, "part": "", "key": write.key, "value": value}


def _read_era(head: AnswerHead) -> int:
    text = (head.headers.get(names.STORE_ERA) or "0").strip()
    if not text.isdecimal():
        log_event(Part.PLATFORM, "unreadable era of the store", text=text[:40])
        return 0
    return int(text)


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        content = decode_json(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _read_rows(body: dict[str, Any]) -> list[ChangedRow]:
    changed = []
    rows = body.get("rows")
    if not isinstance(rows, list):
        log_event(Part.PLATFORM, "answer without rows", found=type(rows).__name__)
        return []
    for raw in rows:
        try:
            if raw.get("part"):
                continue
            is_deleted = bool(raw.get("deleted"))
            value = b"" if is_deleted else base64.b64decode(raw["value"], validate=True)
            row = Row(raw["key"], value, raw["row_version"])
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            log_event(Part.PLATFORM, "invalid row ignored", reason=repr(error))
            continue
        changed.append(ChangedRow(row, is_deleted))
    return changed
