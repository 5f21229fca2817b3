"""Stand in for the store of the users' platform: tables of rows over HTTP."""

import asyncio
import base64
import json
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from turmericproxy.edge import AnswerWriter, ClientRequest, EdgeServer

PAGE_ROWS = 500


@dataclass(frozen=True)
class StoredRow:
    """Row, or the tombstone of a deleted row."""

    table: str
    key: str
    value: bytes
    version: int
    is_deleted: bool = False


@dataclass(frozen=True)
class StoreCopy:
    """All rows of the store at one version."""

    rows: Mapping[tuple[str, str], StoredRow]
    version: int


class WireStore:
    """Keep rows in memory and publish their changes; tests set the faults.

    ``refusal`` is the status that every call is answered with; ``lost_answers`` is how many of
    the next commits are applied but not answered. ``era`` counts the restorations. Each call is
    handled after ``silence_seconds``. While ``running`` is not set, calls get no answer; calls
    that ``abandon_calls`` concerns never get one.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self._server = EdgeServer(address, self._answer)
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.oldest = 0
        self.refusal: int | None = None
        self.lost_answers = 0
        self.silence_seconds = 0.0
        self.running = asyncio.Event()
        self.running.set()
        self.era = 1
        self.calls: list[str] = []
        self._handlers: set[asyncio.Task[None]] = set()
        self._is_silent = False
        self._silent_tables: frozenset[str] = frozenset()

    @property
    def address(self) -> str:
        """Return the address that the stand-in listens on."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as an operator or a server does, as JSON unless the value is bytes."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        self._rows[(table, key)] = StoredRow(table, key, content, self._version)
        self._notify()

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._version += 1
        self._rows[(table, key)] = StoredRow(table, key, b"", self._version, is_deleted=True)
        self._notify()

    def list_keys(self) -> list[tuple[str, str]]:
        """Return the tables and keys of all rows."""
        return [key for key, row in self._rows.items() if not row.is_deleted]

    def discard_history(self) -> None:
        """Discard past changes: a feed gets 410 until its reader has read the table again."""
        self.oldest = self._version + 1
        self._version += 1
        self._notify()

    def copy(self) -> StoreCopy:
        """Return a copy of all rows."""
        return StoreCopy(dict(self._rows), self._version)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later rows are lost, and their versions will be given out again."""
        self._rows, self._version = dict(copy.rows), copy.version
        self.era += 1
        self._notify()

    def abandon_calls(self) -> None:
        """Never answer the calls that are open now, and leave their connections open."""
        for handler in self._handlers:
            handler.cancel()

    def fall_silent(self) -> None:
        """Never answer the calls that are open now, nor those made until ``end_silence``."""
        self._is_silent = True
        self.abandon_calls()

    def end_silence(self, *silent_tables: str) -> None:
        """Answer the calls that are made from now on, but not those for some tables."""
        self._is_silent = False
        self._silent_tables = frozenset(silent_tables)

    def find(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None`` if there is none."""
        row = self._rows.get((table, key))
        return None if row is None or row.is_deleted else row.value

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: ClientRequest, writer: AnswerWriter) -> None:
        self.calls.append(request.path)
        handler = asyncio.get_running_loop().create_task(self._handle(request, writer))
        self._handlers.add(handler)
        if self._is_silent or self._silent_tables.intersection(_read_query(request)["table"]):
            handler.cancel()
        try:
            await asyncio.wait([handler])
            if handler.cancelled():
                await asyncio.Event().wait()
            handler.result()
        finally:
            handler.cancel()
            self._handlers.discard(handler)

    async def _handle(self, request: ClientRequest, writer: AnswerWriter) -> None:
        await asyncio.sleep(self.silence_seconds)
        await self.running.wait()
        if self.refusal:
            writer.send(self.refusal, [self._era_field])
            return
        query = {name: values[0] for name, values in _read_query(request).items()}
        if request.path == "/api/rows-get":
            self._send_rows(query, writer)
        elif request.path == "/api/rows-feed":
            await self._send_feed(query, writer)
        elif request.path == "/api/rows-tx":
            self._commit(json.loads(request.body), writer)
        else:
            writer.send(404, ())

    def _send_rows(self, query: dict[str, str], writer: AnswerWriter) -> None:
        start = query.get("start_key", "")
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == query["table"] and not row.is_deleted and row.key >= start
            ),
            key=lambda row: row.key,
        )
        content = {
            "rows": [_describe(row) for row in rows[:PAGE_ROWS]],
            "has_more": len(rows) > PAGE_ROWS,
        }
        self._send(writer, 200, content)

    async def _send_feed(self, query: dict[str, str], writer: AnswerWriter) -> None:
        after = int(query["after"])
        wait = int(query.get("wait_ms", 0)) / 1000
        last = asyncio.get_running_loop().time() + wait
        while True:
            if after < self.oldest or after > self._version:
                writer.send(410, [self._era_field])
                return
            rows = [
                row
                for row in self._rows.values()
                if row.table == query["table"] and row.version > after
            ]
            remaining = last - asyncio.get_running_loop().time()
            if not self.running.is_set():
                await self.running.wait()
                continue
            if rows or remaining <= 0:
                rows.sort(key=lambda row: row.version)
                self._send(writer, 200, {"rows": [_describe(row) for row in rows]})
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue

    def _commit(self, content: dict[str, Any], writer: AnswerWriter) -> None:
        for expected in content["expected"]:
            row = self._rows.get((expected["table"], expected["key"]))
            version = 0 if row is None or row.is_deleted else row.version
            if version != expected["row_version"]:
                self._send(writer, 412, {"rows": []})
                return
        for write in content["writes"]:
            self.put(write["table"], write["key"], base64.b64decode(write["value"]))
        for removed in content["remove"]:
            self.delete(removed["table"], removed["key"])
        if self.lost_answers:
            self.lost_answers -= 1
            writer.abort()
            return
        self._send(writer, 200, {})

    def _send(self, writer: AnswerWriter, status: int, content: dict[str, Any]) -> None:
        now = int(asyncio.get_running_loop().time() * 1000)
        envelope = {**content, "row_version": self._version, "now_ms": now}
        fields = [("Content-Type", "application/json"), self._era_field]
        writer.send(status, fields, json.dumps(envelope).encode())

    @property
    def _era_field(self) -> tuple[str, str]:
        return "Store-Era", str(self.era)


def _read_query(request: ClientRequest) -> defaultdict[str, list[str]]:
    return defaultdict(list, parse_qs(request.target.partition("?")[2]))


def _describe(row: StoredRow) -> dict[str, object]:
    registration: dict[str, object] = {
        "table": row.table,
        "part": "",
        "key": row.key,
        "row_version": row.version,
    }
    if row.is_deleted:
        return {**registration, "deleted": True}
    return {**registration, "value": base64.b64encode(row.value).decode()}
