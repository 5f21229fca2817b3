"""Read the changes of a table on one host of a failure domain, the reader, for all hosts there.

A call for changes that will never be answered looks like a table that doesn't change. So the reader
makes short calls and tells the others after each that the table is confirmed. Hosts that hear
nothing from it query the store themselves. In a large domain they make no other calls; in a small
one each also has a long call of its own, so that a lost reader delays no change.
"""

import asyncio
import contextlib
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from turmericproxy.core import HostName, Refusal
from turmericproxy.core.hashing import choose_by_hash
from turmericproxy.logs import Part, log_event
from turmericproxy.store.eras import StoreEras
from turmericproxy.store.interfaces import ChangedRow, Changes, HistoryGone, TableState, TableStore
from turmericproxy.tables.messages import AnswerLost, Committed, Conflict, Transaction

# Hosts of a failure domain from which one host reads for all.
LARGE_DOMAIN_HOSTS = 8
# Seconds beyond the wait of a call after which a host queries the store itself: time for a merged
# batch, a round trip and a busy reader.
READER_GRACE_SECONDS = 0.5
# Bounds the wait of a reader's call. Hosts replace a reader whose link to the store has failed
# after this time and the grace, well within the time in which a configuration must be in force.
MAX_READER_WAIT_SECONDS = 1.0
# The same in a small domain, where only calls that fell silent depend on it. Tables for which no
# call waits longer have no reader there.
MAX_SMALL_DOMAIN_WAIT_SECONDS = 1.5
# Seconds between two checks for a change of the reader; a lost peer is detected after 1.3 s.
READER_CHECK_SECONDS = 0.3
# Seconds for which a host that timed out or can't reach the store is not chosen as reader,
# unless it reaches the store earlier.
READER_EXCLUDED_SECONDS = 20.0
# Updates that are queued while a host handles an earlier one; the oldest are dropped.
MAX_QUEUED_UPDATES = 64


@dataclass(frozen=True, slots=True)
class ReaderUpdate:
    """Hold the changes of a table that a reader received, starting after ``base_version``.

    Both versions are of the era of ``changes``, which is ``None`` if the reader can't reach the
    store.
    """

    table: str
    base_version: int
    changes: Changes | None


def merge_updates(updates: Sequence[ReaderUpdate], version: int, era: int = 0) -> Changes | None:
    """Return the changes since a version of an era, or ``None`` if some of them are missing.

    Updates of earlier eras are ignored. After one of a later era, the result has that era and no
    rows, since the version says nothing there.

    >>> first = ReaderUpdate("t", 1, Changes((), 4))
    >>> merge_updates([first, ReaderUpdate("t", 4, Changes((), 6))], 3)
    Changes(rows=(), version=6, era=0)
    >>> merge_updates([first], 0) is None
    True
    """
    rows: list[ChangedRow] = []
    current = version
    for update in updates:
        if update.changes is None or update.changes.era < era:
            continue
        if update.changes.era > era:
            return Changes((), update.changes.version, update.changes.era)
        if update.changes.version < current:
            continue
        if update.base_version > current:
            return None
        # Older rows were applied already; applying them again would overwrite newer ones.
        rows.extend(changed for changed in update.changes.rows if changed.row.version > current)
        current = update.changes.version
    return Changes(tuple(rows), current, era)


@dataclass
class _TableRelay:
    """Hold the reader of a table, and the updates received since the last call for changes.

    ``excluded_until`` holds the hosts that are not chosen as reader because they can't reach the
    store or timed out, and the event-loop time at which that ends. ``era`` is that of the last
    read of the whole table, ``wait_seconds`` the longest wait for changes that was asked for.
    ``call`` is this host's own call beside a reader, which stays open over confirmations.
    """

    reader: HostName | None = None
    era: int = 0
    wait_seconds: float = 0.0
    call: asyncio.Task[Changes | HistoryGone | Refusal] | None = None
    excluded_until: dict[HostName, float] = field(default_factory=dict)
    updates: deque[ReaderUpdate] = field(default_factory=lambda: deque(maxlen=MAX_QUEUED_UPDATES))
    update_received: asyncio.Event = field(default_factory=asyncio.Event)

    def exclude(self, host: HostName) -> None:
        """Exclude a host as reader of the table for some time."""
        self.excluded_until[host] = asyncio.get_running_loop().time() + READER_EXCLUDED_SECONDS

    def is_excluded(self, host: HostName) -> bool:
        """Return whether a host is excluded as reader of the table."""
        return self.excluded_until.get(host, 0.0) > asyncio.get_running_loop().time()

    def close_call(self) -> None:
        """Cancel this host's own call, if one is open."""
        if self.call:
            self.call.cancel()
        self.call = None


class RelayedStore:
    """Follow tables through the reader of this failure domain, or directly if there is none.

    ``list_local_peers`` returns the other reachable hosts of the domain, and ``send_to_domain``
    sends an update to them.
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
        self._list_local_peers = list_local_peers
        self._send_to_domain = send_to_domain
        self._tables: defaultdict[str, _TableRelay] = defaultdict(_TableRelay)
        self.eras = StoreEras()

    async def read_table(self, table: str) -> TableState | Refusal:
        """Return all rows of a table, from the store."""
        self._tables[table].close_call()
        state = await self._store.read_table(table)
        if isinstance(state, TableState):
            self._tables[table].era = state.era
            self.eras.record(state.era)
        return state

    async def commit(self, transaction: Transaction) -> Committed | Conflict | AnswerLost | Refusal:
        """Apply a transaction."""
        result = await self._store.commit(transaction)
        if isinstance(result, Committed):
            self.eras.record(result.era)
        return result

    async def wait_for_changes(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        """Return the changes since a version, from the reader or from the store."""
        relay = self._tables[table]
        relay.wait_seconds = max(relay.wait_seconds, seconds)
        reader = self._find_reader(table)
        is_large = _is_large(self._list_local_peers())
        limit = MAX_READER_WAIT_SECONDS if is_large else MAX_SMALL_DOMAIN_WAIT_SECONDS
        wait = min(seconds, limit)
        changes: Changes | HistoryGone | None
        if reader is None or reader == self._own:
            relay.close_call()
            # Whatever they tell is part of the answer, and says nothing of a later moment.
            relay.updates.clear()
            return await self._query_store(table, version, wait)
        if seconds == 0:
            return await self._query_beside_reader(table, version, limit, reader)
        if is_large:
            relay.close_call()
            changes = await self._wait_for_reader(table, version, wait, reader)
        else:
            changes = await self._wait_beside_reader(table, version, seconds, reader)
        return changes or await self._query_store(table, version, 0.0)

    def receive_update(self, sender: HostName, update: ReaderUpdate) -> None:
        """Queue an update from any host of the domain, since hosts may disagree on the reader."""
        relay = self._tables[update.table]
        if update.changes is None:
            log_event(
                Part.CONFIGURATION,
                "reader can't reach the store",
                table=update.table,
                reader=sender,
            )
            relay.exclude(sender)
        else:
            relay.excluded_until.pop(sender, None)
            relay.updates.append(update)
            self.eras.record(update.changes.era)
        relay.update_received.set()

    def _find_reader(self, table: str) -> HostName | None:
        """Return the reader of a table for this domain, or ``None`` if it has none."""
        peers = self._list_local_peers()
        relay = self._tables[table]
        reader = None
        if _is_large(peers) or relay.wait_seconds > MAX_SMALL_DOMAIN_WAIT_SECONDS:
            hosts = [host for host in (*peers, self._own) if not relay.is_excluded(host)]
            reader = choose_by_hash(table, hosts) if hosts else None
        if reader != relay.reader:
            relay.reader = reader
            log_event(Part.CONFIGURATION, "reader chosen", table=table, reader=reader)
        return reader

    async def _wait_beside_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | HistoryGone | None:
        """Return the answer to this host's own call or the reader's next update.

        Return ``None`` if the store must be queried now. A refusal of the own call counts only if
        the reader sends nothing either, since the store may refuse single hosts.
        """
        relay = self._tables[table]
        if relay.call is None:
            relay.updates.clear()
            relay.call = asyncio.get_running_loop().create_task(
                self._store.wait_for_changes(table, version, seconds)
            )
        update = asyncio.get_running_loop().create_task(
            self._wait_for_reader(table, version, MAX_SMALL_DOMAIN_WAIT_SECONDS, reader)
        )
        is_confirmed = False
        try:
            result = await _find_answer(relay.call, update)
            if result is not None:
                self.eras.record(result.era)
            has_news = not isinstance(result, Changes) or result.rows or result.era != relay.era
            is_confirmed = not has_news and not relay.call.done()
            return result
        finally:
            update.cancel()
            if not is_confirmed:
                relay.close_call()

    async def _query_beside_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | HistoryGone | Refusal:
        """Return what arrives first: the store's answer now, or the reader's next update.

        The reader makes calls that wait up to ``seconds`` for changes.
        """
        loop = asyncio.get_running_loop()
        call = loop.create_task(self._query_store(table, version, 0.0))
        update = loop.create_task(self._wait_for_reader(table, version, seconds, reader))
        try:
            return await _find_answer(call, update) or await call
        finally:
            call.cancel()
            update.cancel()

    async def _wait_for_reader(
        self, table: str, version: int, seconds: float, reader: HostName
    ) -> Changes | None:
        """Return the changes that the reader sends next, or ``None`` if it is lost or times out.

        Each host then queries the store once, so that all of them detect an outage at the same
        time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds + READER_GRACE_SECONDS
        relay = self._tables[table]
        while self._find_reader(table) == reader:
            if relay.updates:
                updates = tuple(relay.updates)
                relay.updates.clear()
                return merge_updates(updates, version, relay.era)
            remaining = deadline - loop.time()
            if remaining <= 0:
                log_event(Part.CONFIGURATION, "reader timed out", table=table, reader=reader)
                relay.exclude(reader)
                return None
            relay.update_received.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    relay.update_received.wait(), min(READER_CHECK_SECONDS, remaining)
                )
        return None

    async def _query_store(
        self, table: str, version: int, seconds: float
    ) -> Changes | HistoryGone | Refusal:
        changes = await self._store.wait_for_changes(table, version, seconds)
        relay = self._tables[table]
        is_reader = self._find_reader(table) == self._own
        if isinstance(changes, HistoryGone):
            self.eras.record(changes.era)
            if is_reader and changes.era > relay.era:
                # The other hosts have to read the table too, and would time out otherwise.
                restored = Changes((), version, changes.era)
                self._send_to_domain(ReaderUpdate(table, version, restored))
        elif isinstance(changes, Changes):
            self.eras.record(changes.era)
            if is_reader or relay.is_excluded(self._own):
                relay.excluded_until.pop(self._own, None)
                self._send_to_domain(ReaderUpdate(table, version, changes))
        elif is_reader:
            relay.exclude(self._own)
            self._send_to_domain(ReaderUpdate(table, version, None))
        return changes


def _is_large(peers: Sequence[HostName]) -> bool:
    return len(peers) + 1 >= LARGE_DOMAIN_HOSTS


async def _find_answer(
    call: asyncio.Task[Changes | HistoryGone | Refusal],
    update: asyncio.Task[Changes | None],
) -> Changes | HistoryGone | None:
    """Return an answer of the store or an update of a reader, ``None`` if neither arrives."""
    await asyncio.wait({call, update}, return_when=asyncio.FIRST_COMPLETED)
    if not call.done():
        return await update
    answer = call.result()
    if not isinstance(answer, Refusal):
        return answer
    log_event(Part.CONFIGURATION, "call refused beside a reader", reason=answer.reason)
    return await update
