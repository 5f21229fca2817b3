"""Let one host of a failure domain follow the store for all of them."""

import asyncio
import hashlib
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Refusal
from turmericproxy.logs import Part, log_event
from turmericproxy.store.ports import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Transaction

# Hosts of a failure domain from which on one follows for all: with fewer, the calls that it saves
# cost less than what a lost reader delays.
LARGE_DOMAIN_HOSTS = 8
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


def choose_reader(table: str, hosts: Iterable[HostName]) -> HostName:
    """Return which of some hosts follows a table; a host that leaves changes only its own tables.

    >>> choose_reader("t", [HostName("a")])
    'a'
    """
    return min(hosts, key=lambda host: _rank(table, host))


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


@dataclass
class _TableNews:
    """Hold who follows a table, and what it told since this host last looked.

    ``lost_reader`` has said that it lost the store, and has told of no changes since.
    """

    reader: HostName | None = None
    lost_reader: HostName | None = None
    answers: deque[ReaderNews] = field(default_factory=lambda: deque(maxlen=KEPT_ANSWERS))
    has_come: asyncio.Event = field(default_factory=asyncio.Event)


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
        self._tables: defaultdict[str, _TableNews] = defaultdict(_TableNews)

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
        if reader is not None and reader not in (self._own, self._tables[table].lost_reader):
            answer = await self._wait_for_reader(table, version, seconds, reader)
            if answer is not None:
                return answer
        return await self._ask_store(table, version, seconds)

    def take_news(self, sender: HostName, news: ReaderNews) -> None:
        """Take in what a reader has learned."""
        if sender != self._find_reader(news.table):
            return
        known = self._tables[news.table]
        if news.changes is None:
            known.lost_reader = sender
        else:
            known.lost_reader = None
            known.answers.append(news)
        known.has_come.set()

    def _find_reader(self, table: str) -> HostName | None:
        """Return who follows a table for this domain; nobody in a small one."""
        near = self._list_near()
        is_large = len(near) + 1 >= LARGE_DOMAIN_HOSTS
        reader = choose_reader(table, (*near, self._own)) if is_large else None
        known = self._tables[table]
        if reader != known.reader:
            known.reader = reader
            log_event(Part.CONFIGURATION, "reader chosen", table=table, reader=reader)
        return reader

    async def _wait_for_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | None:
        """Return the reader's next answer, or nothing if the store is to be asked."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds + PATIENCE_SECONDS
        known = self._tables[table]
        while not known.has_come.is_set():
            left = give_up_at - loop.time()
            if left <= 0 or self._find_reader(table) != reader:
                return None
            try:
                await asyncio.wait_for(known.has_come.wait(), min(LOOK_SECONDS, left))
            except TimeoutError:
                continue
        known.has_come.clear()
        answers = tuple(known.answers)
        known.answers.clear()
        if known.lost_reader == reader:
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
