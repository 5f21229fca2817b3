"""Call the platform's metadata store."""

import base64
import binascii
import json
from typing import Any
from urllib.parse import urlencode

from turmericproxy.core import Refusal, ResultCode, refuse
from turmericproxy.edge import AnswerHead, fetch
from turmericproxy.logs import Part, log_event
from turmericproxy.platform import names
from turmericproxy.platform.calls import CLOSE, write_call
from turmericproxy.store.interfaces import ChangedRow, Changes, HistoryGone, TableState
from turmericproxy.tables.messages import (
    AnswerLost,
    Committed,
    Conflict,
    Row,
    Transaction,
    Write,
)

# Seconds to connect: a round trip and one resent packet.
CONNECT_SECONDS = 0.5
# Seconds for a call to be answered; the store takes some milliseconds on a good day.
CALL_SECONDS = 1.0
OK = 200
CONDITION_FAILED = 412
GONE = 410
TOO_MANY = 429
AWAY = 503


class PlatformStore:
    """Read, follow and change rows; the partition of all of them is the empty one."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table."""
        rows: list[Row] = []
        start = ""
        while True:
            query = {"table": table, "part": ""} | ({"start_key": start} if start else {})
            body = await self._get(names.READ_PATH, query, CALL_SECONDS)
            if isinstance(body, Refusal):
                return body
            if isinstance(body, HistoryGone):
                return _refuse_store("the store has no such call")
            page = [changed.row for changed in _read_rows(body)]
            rows += page
            if not body.get("has_more") or not page:
                return TableState(tuple(rows), body["row_version"], body["now_ms"] / 1000)
            # The range begins with its start key; no key sorts between a key and this one.
            start = page[-1].key + "\0"

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return what changed since a version, waiting some seconds for the first change."""
        query = {"table": table, "after": version, "wait_ms": int(seconds * 1000)}
        body = await self._get(names.FEED_PATH, query, seconds + CALL_SECONDS)
        if isinstance(body, Refusal | HistoryGone):
            return body
        return Changes(tuple(_read_rows(body)), body["row_version"])

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction; one without an answer may have been applied, or yet be."""
        content = json.dumps(
            {
                "expected": [
                    {"table": c.table, "part": "", "key": c.key, "row_version": c.version or 0}
                    for c in transaction.conditions
                ],
                "writes": [_describe(w) for w in transaction.writes if not w.delete],
                "remove": [
                    {"table": w.table, "part": "", "key": w.key}
                    for w in transaction.writes
                    if w.delete
                ],
            }
        ).encode()
        answer = await self._call("POST", names.COMMIT_PATH, content, CALL_SECONDS)
        if isinstance(answer, str):
            return AnswerLost(answer)
        head, body = answer
        if head.status == CONDITION_FAILED:
            return Conflict(())
        if head.status in (TOO_MANY, AWAY):
            return _refuse_store(f"status {head.status}")
        version = _read_body(body).get("row_version") if head.status == OK else None
        if not isinstance(version, int):
            return AnswerLost(f"status {head.status}")
        return Committed({f"{w.table}/{w.key}": version for w in transaction.writes})

    async def _get(
        self, path: str, query: dict[str, Any], timeout: float
    ) -> dict[str, Any] | HistoryGone | Refusal:
        answer = await self._call("GET", f"{path}?{urlencode(query)}", b"", timeout)
        if isinstance(answer, str):
            return _refuse_store(answer)
        head, body = answer
        if head.status == GONE:
            return HistoryGone()
        content = _read_body(body)
        is_whole = isinstance(content.get("row_version"), int) and "now_ms" in content
        if head.status != OK or not is_whole:
            return _refuse_store(f"status {head.status}")
        return content

    async def _call(
        self, method: str, target: str, content: bytes, timeout: float
    ) -> tuple[AnswerHead, bytes] | str:
        data = write_call(method, target, self._address, CLOSE, content=content)
        return await fetch(self._address, data, connect_timeout=CONNECT_SECONDS, timeout=timeout)


def _refuse_store(reason: str) -> Refusal:
    return refuse(ResultCode.PLATFORM_UNAVAILABLE, reason)


def _describe(write: Write) -> dict[str, str]:
    value = base64.b64encode(write.value).decode()
    return {"table": write.table, "part": "", "key": write.key, "value": value}


def _read_body(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _read_rows(body: dict[str, Any]) -> list[ChangedRow]:
    changed = []
    for raw in body.get("rows", ()):
        try:
            if raw.get("part"):
                continue
            is_deleted = bool(raw.get("deleted"))
            value = b"" if is_deleted else base64.b64decode(raw["value"], validate=True)
            row = Row(raw["key"], value, raw["row_version"])
        except (KeyError, TypeError, AttributeError, binascii.Error) as error:
            log_event(Part.PLATFORM, "row can't be read", reason=repr(error))
            continue
        changed.append(ChangedRow(row, is_deleted))
    return changed
