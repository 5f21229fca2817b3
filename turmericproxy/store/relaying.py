"""Let one host of a failure domain follow the store for all of them."""

import asyncio
import hashlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from turmericproxy.core import HostName, Refusal
from turmericproxy.logs import Part, log_event
from turmericproxy.store.ports import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Transaction

# Hosts of a failure domain from which on one follows for all: with fewer, the calls that it saves
# cost less than what a lost reader delays.
LEAST_HOSTS = 8
# Seconds beyond a call's own wait after which a host asks the store itself: a merged batch, a
# round trip and a busy reader.
PATIENCE_SECONDS = 0.5
# Seconds between two looks at who reads; a reader that is lost is noticed after 1.3 s.
LOOK_SECONDS = 0.3
# Answers that are kept for a host that handles an earlier one.
KEPT_ANSWERS = 64


@dataclass(frozen=True, slots=True)
class ReaderNews:
    """Hold what a reader learned of a table; no changes say that it has lost the store."""

    table: str
    after: int
    changes: Changes | None


class NoReader(ValueError):
    """Say that a choice was asked of no hosts."""


def choose_reader(table: str, hosts: Iterable[HostName]) -> HostName:
    """Return which of some hosts follows a table; a host that leaves changes only its own tables.

    >>> choose_reader("t", [HostName("a")])
    'a'
    """
    ranked = sorted(hosts, key=lambda host: _rank(table, host))
    if not ranked:
        raise NoReader("no host was given")
    return ranked[0]


def _rank(table: str, host: HostName) -> bytes:
    return hashlib.blake2b(f"{table}/{host}".encode(), digest_size=8).digest()


def join_answers(answers: Sequence[ReaderNews], version: int) -> Changes | None:
    """Return what changed since a version, or nothing if a part of it is missing.

    >>> first = ReaderNews("t", 1, Changes((), 4))
    >>> join_answers([first, ReaderNews("t", 4, Changes((), 6))], 3)
    Changes(rows=(), version=6)
    >>> join_answers([first], 0) is None
    True
    """
    rows: list[ChangedRow] = []
    reached = version
    for answer in answers:
        if answer.changes is None or answer.changes.version < reached:
            continue
        if answer.after > reached:
            return None
        # Older rows are in place already; to go through them again would undo newer ones.
        rows.extend(changed for changed in answer.changes.rows if changed.row.version > reached)
        reached = answer.changes.version
    return Changes(tuple(rows), reached)


class RelayedStore:
    """Follow tables through the reader of this failure domain, and through the store without one.

    ``list_near`` returns the other hosts of the domain that are heard; ``tell_near`` sends to them.
    """

    def __init__(
        self,
        store: TableStore,
        own: HostName,
        list_near: Callable[[], list[HostName]],
        tell_near: Callable[[ReaderNews], None],
    ) -> None:
        self._store = store
        self._own = own
        self._list_near = list_near
        self._tell_near = tell_near
        self._answers: dict[str, deque[ReaderNews]] = {}
        self._news: dict[str, asyncio.Event] = {}
        self._readers: dict[str, HostName | None] = {}
        # Readers that said they had lost the store, until they tell of changes again.
        self._lost_readers: dict[str, HostName] = {}

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table, from the store."""
        return await self._store.read_table(table)

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction."""
        return await self._store.commit(transaction)

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return what changed since a version, as this host or its reader learns it."""
        reader = self._find_reader(table)
        if reader is not None and reader not in (self._own, self._lost_readers.get(table)):
            answer = await self._wait_for_reader(table, version, seconds, reader)
            if answer is not None:
                return answer
        return await self._ask_store(table, version, seconds)

    def take_news(self, sender: HostName, news: ReaderNews) -> None:
        """Take in what a reader has learned."""
        if sender != self._find_reader(news.table):
            return
        if news.changes is None:
            self._lost_readers[news.table] = sender
        else:
            self._lost_readers.pop(news.table, None)
            self._answers.setdefault(news.table, deque(maxlen=KEPT_ANSWERS)).append(news)
        self._get_event(news.table).set()

    def _find_reader(self, table: str) -> HostName | None:
        """Return who follows a table for this domain; nobody in a small one."""
        near = self._list_near()
        is_large = len(near) + 1 >= LEAST_HOSTS
        reader = choose_reader(table, (*near, self._own)) if is_large else None
        if reader != self._readers.get(table):
            self._readers[table] = reader
            log_event(Part.CONFIGURATION, "reader chosen", table=table, reader=reader)
        return reader

    async def _wait_for_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | None:
        """Return the reader's next answer, or nothing if the store is to be asked."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds + PATIENCE_SECONDS
        event = self._get_event(table)
        while not event.is_set():
            left = give_up_at - loop.time()
            if left <= 0 or self._find_reader(table) != reader:
                return None
            try:
                await asyncio.wait_for(event.wait(), min(LOOK_SECONDS, left))
            except TimeoutError:
                continue
        event.clear()
        answers = tuple(self._answers.pop(table, ()))
        if self._lost_readers.get(table) == reader:
            log_event(Part.CONFIGURATION, "reader has lost the store", table=table, reader=reader)
            return None
        return join_answers(answers, version)

    async def _ask_store(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        changes = await self._store.wait_for_changes(table, version, seconds)
        is_reader = self._find_reader(table) == self._own
        if is_reader and not isinstance(changes, HistoryGone):
            told = changes if isinstance(changes, Changes) else None
            self._tell_near(ReaderNews(table, version, told))
        return changes

    def _get_event(self, table: str) -> asyncio.Event:
        return self._news.setdefault(table, asyncio.Event())
