"""Follow one table: read it whole once, then take its changes."""

import asyncio
import random
from collections.abc import Callable

from turmericproxy.core import Refusal
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import ChangedRow, HistoryGone, TableState, TableStore

# Seconds between two attempts while the store is away, doubled up to the longest.
SHORTEST_PAUSE = 0.1
LONGEST_PAUSE = 0.8
# Pauses are spread by this share, so that hosts don't come back together.
SPREAD = 0.3


class TableFollower:
    """Hand on a table's rows and their changes until closed.

    ``take_state`` gets all rows after each start and after each loss of history, ``take_change``
    each change since. ``wait`` bounds how long a call waits for changes, in seconds.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        wait: float,
        take_state: Callable[[TableState], None],
        take_change: Callable[[ChangedRow], None],
    ) -> None:
        self._store = store
        self._table = table
        self._wait = wait
        self._take_state = take_state
        self._take_change = take_change
        self._task: asyncio.Task[None] | None = None
        self._pause = SHORTEST_PAUSE
        self._random = random.Random()
        self._lost_at: float | None = None
        self.reconnected_at: float | None = None
        self.is_store_unreachable = False

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        version: int | None = None
        while True:
            try:
                version = await self._follow_once(version)
            except Exception as error:  # a row that can't be handled must not end the loop
                log_event(
                    Part.CONFIGURATION, "follower failed", table=self._table, reason=repr(error)
                )
                version = None
                await asyncio.sleep(LONGEST_PAUSE)

    async def _follow_once(self, version: int | None) -> int | None:
        if version is None:
            state = await self._store.read_table(self._table)
            if isinstance(state, Refusal):
                await self._back_off(state)
                return None
            self._record_contact()
            self._take_state(state)
            return state.version
        changes = await self._store.wait_for_changes(self._table, version, self._wait)
        if isinstance(changes, Refusal):
            await self._back_off(changes)
            return version
        self._record_contact()
        if isinstance(changes, HistoryGone):
            log_event(Part.CONFIGURATION, "history gone", table=self._table, version=version)
            return None
        for changed in changes.rows:
            self._take_change(changed)
        return max(version, changes.version)

    async def _back_off(self, refusal: Refusal) -> None:
        now = asyncio.get_running_loop().time()
        if not self.is_store_unreachable:
            self.is_store_unreachable = True
            self._lost_at = now
            log_event(Part.CONFIGURATION, "store lost", table=self._table, reason=refusal.reason)
        await asyncio.sleep(self._pause * self._random.uniform(1 - SPREAD, 1 + SPREAD))
        self._pause = min(LONGEST_PAUSE, 2 * self._pause)

    def _record_contact(self) -> None:
        self._pause = SHORTEST_PAUSE
        if self.is_store_unreachable and self._lost_at is not None:
            self.is_store_unreachable = False
            self.reconnected_at = asyncio.get_running_loop().time()
            log_event(
                Part.CONFIGURATION,
                "store regained",
                table=self._table,
                seconds=round(self.reconnected_at - self._lost_at, 2),
            )
