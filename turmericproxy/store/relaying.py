"""Let one host of a failure domain follow the store for all of them."""

import asyncio
import contextlib
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Refusal
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Transaction

# Hosts of a failure domain from which on one follows for all: with fewer, the calls that it saves
# cost less than what a lost reader delays.
LARGE_DOMAIN_HOSTS = 8
# Seconds beyond a call's own wait after which a host asks the store itself: a merged batch, a
# round trip and a busy reader.
PATIENCE_SECONDS = 0.5
# Longest wait of a reader's call, in seconds. A reader whose link to the store is silent is noticed
# after this and the patience, well within the time in which a configuration is in force.
READER_WAIT_SECONDS = 1.0
# Seconds between two looks at who reads; a reader that is lost is noticed after 1.3 s.
LOOK_SECONDS = 0.3
# Seconds for which a host that has lost the store is passed over, unless it reaches it before.
PASSED_OVER_SECONDS = 20.0
# Answers that are kept for a host that handles an earlier one.
KEPT_ANSWERS = 64


@dataclass(frozen=True, slots=True)
class ReaderUpdate:
    """Hold what a reader learned of a table; no changes say that it has lost the store."""

    table: str
    after: int
    changes: Changes | None


def join_answers(answers: Sequence[ReaderUpdate], version: int) -> Changes | None:
    """Return what changed since a version, or nothing if a part of it is missing.

    >>> first = ReaderUpdate("t", 1, Changes((), 4))
    >>> join_answers([first, ReaderUpdate("t", 4, Changes((), 6))], 3)
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
    """Hold who follows a table, and what was told of it since this host last looked.

    ``passed_over`` has the hosts that lost the store or fell silent, and until when.
    """

    reader: HostName | None = None
    passed_over: dict[HostName, float] = field(default_factory=dict)
    answers: deque[ReaderUpdate] = field(default_factory=lambda: deque(maxlen=KEPT_ANSWERS))
    has_come: asyncio.Event = field(default_factory=asyncio.Event)

    def pass_over(self, host: HostName) -> None:
        """Let others follow the table for some time."""
        self.passed_over[host] = asyncio.get_running_loop().time() + PASSED_OVER_SECONDS

    def is_passed_over(self, host: HostName) -> bool:
        """Return whether a host does not follow the table for now."""
        return self.passed_over.get(host, 0.0) > asyncio.get_running_loop().time()


class RelayedStore:
    """Follow tables through the reader of this failure domain, and through the store without one.

    ``list_local_peers`` returns the other hosts of the domain that are heard;
    ``send_to_domain`` sends to them.
    """

    def __init__(
        self,
        store: TableStore,
        own: HostName,
        list_local_peers: Callable[[], list[HostName]],
        send_to_domain: Callable[[ReaderUpdate], None],
    ) -> None:
        self._store = store
        self._own = own
        self._list_near = list_local_peers
        self._tell_near = send_to_domain
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
        reader_wait = min(seconds, READER_WAIT_SECONDS)
        if reader is None:
            return await self._ask_store(table, version, seconds)
        if reader != self._own:
            answer = await self._wait_for_reader(table, version, reader_wait, reader)
            if answer is not None:
                return answer
        return await self._ask_store(table, version, reader_wait)

    def receive_update(self, sender: HostName, news: ReaderUpdate) -> None:
        """Take in what a host of the domain has learned; hosts may differ on who reads."""
        known = self._tables[news.table]
        if news.changes is None:
            log_event(
                Part.CONFIGURATION, "reader has lost the store", table=news.table, reader=sender
            )
            known.pass_over(sender)
        else:
            known.passed_over.pop(sender, None)
            known.answers.append(news)
        known.has_come.set()

    def _find_reader(self, table: str) -> HostName | None:
        """Return who follows a table for this domain; nobody in a small one."""
        near = self._list_near()
        known = self._tables[table]
        reader = None
        if len(near) + 1 >= LARGE_DOMAIN_HOSTS:
            hosts = [host for host in (*near, self._own) if not known.is_passed_over(host)]
            reader = choose_by_hash(table, hosts) if hosts else None
        if reader != known.reader:
            known.reader = reader
            log_event(Part.CONFIGURATION, "reader chosen", table=table, reader=reader)
        return reader

    async def _wait_for_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | None:
        """Return the next answer that is told, or nothing if the store is to be asked now.

        All hosts ask once when a reader is lost, so that an outage is noticed by all at once.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + seconds + PATIENCE_SECONDS
        known = self._tables[table]
        while self._find_reader(table) == reader:
            if known.answers:
                answers = tuple(known.answers)
                known.answers.clear()
                return join_answers(answers, version)
            left = give_up_at - loop.time()
            if left <= 0:
                log_event(Part.CONFIGURATION, "reader is silent", table=table, reader=reader)
                known.pass_over(reader)
                return None
            known.has_come.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(known.has_come.wait(), min(LOOK_SECONDS, left))
        return None

    async def _ask_store(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        changes = await self._store.wait_for_changes(table, version, seconds)
        if isinstance(changes, HistoryGone):
            return changes
        known = self._tables[table]
        is_reader = self._find_reader(table) == self._own
        if isinstance(changes, Changes):
            if is_reader or known.is_passed_over(self._own):
                known.passed_over.pop(self._own, None)
                self._tell_near(ReaderUpdate(table, version, changes))
        elif is_reader:
            known.pass_over(self._own)
            self._tell_near(ReaderUpdate(table, version, None))
        return changes
