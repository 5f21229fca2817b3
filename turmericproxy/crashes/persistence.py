"""Keep the blocks in a table of the store, and apply what an operator removes there."""

import asyncio
import random

from turmericproxy.core import HostName, Refusal
from turmericproxy.core.hashing import choose_by_hash, compute_rendezvous_weight
from turmericproxy.crashes.blocks import Block, BlockKey
from turmericproxy.crashes.controller import CrashController
from turmericproxy.crashes.records import (
    BLOCK_TABLE,
    compute_row_key,
    decode_block,
    encode_block,
    restore_block,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import TableState, TableStore
from turmericproxy.tables.messages import Committed, Condition, Conflict, Transaction, Write
from turmericproxy.tasks import repeat

# Delay between two attempts while the store is unreachable, which doubles up to the longest one.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 8.0
# Hosts that write a block, one after the other, until one has succeeded.
MAX_WRITERS = 3
# Time after which a host serves without having read the table.
LOAD_PATIENCE_SECONDS = 3.0
# Interval at which one host looks for blocks that an operator has removed.
POLL_SECONDS = 10.0
# Each further host waits this much longer before it writes a block, if none has told that it is
# written.
WRITE_STAGGER_SECONDS = 1.0
# Longest delay, chosen at random, before all hosts read the table after a change there.
MAX_READ_DELAY_SECONDS = 0.5


class BlockKeeper:
    """Read the blocks at the start, write new ones, and follow removals."""

    def __init__(self, store: TableStore, host: HostName, controller: CrashController) -> None:
        self._store = store
        self._host = host
        self._controller = controller
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._patience: asyncio.TimerHandle | None = None
        self._clock_offset = 0.0
        self._eras: dict[BlockKey, int] = {}
        self._read_at: float | None = None
        self._failures = 0
        controller.on_change = self._changed.set

    def start(self) -> None:
        """Start to read the table."""
        loop = asyncio.get_running_loop()
        self._patience = loop.call_later(LOAD_PATIENCE_SECONDS, self._give_up_loading)
        self._task = loop.create_task(repeat(Part.ROUTING, "keep the blocks", self._run))

    async def close(self) -> None:
        """Stop."""
        if self._patience:
            self._patience.cancel()
        if self._task:
            self._task.cancel()

    def _give_up_loading(self) -> None:
        if not self._controller.is_loaded:
            log_event(Part.ROUTING, "blocks not read in time")
            self._controller.is_loaded = True

    async def _run(self) -> None:
        if self._read_at is None:
            if not await self._read():
                await self._wait_to_retry()
                return
            self._controller.is_loaded = True
        await self._wait_for_work()
        await self._remove_lifted()
        await self._write_new()
        if self._controller.must_read:
            await asyncio.sleep(random.uniform(0.0, MAX_READ_DELAY_SECONDS))
            if await self._read():
                self._controller.must_read = False
        elif self._is_poll_due():
            await self._read()

    async def _wait_for_work(self) -> None:
        """Wait for a change, or until the table is due to be read while there are blocks."""
        if self._has_unfinished_work():
            await self._wait_to_retry()
            return
        try:
            async with asyncio.timeout(POLL_SECONDS if len(self._controller.blocks) else None):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    async def _wait_to_retry(self) -> None:
        longest = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2.0 ** min(self._failures, 8))
        await asyncio.sleep(random.uniform(longest / 2, longest))

    def _record_call(self, *, is_answered: bool) -> None:
        self._failures = 0 if is_answered else self._failures + 1

    def _has_unfinished_work(self) -> bool:
        controller = self._controller
        has_unstored = any(self._is_to_be_written(block) for block in controller.blocks)
        return has_unstored or bool(controller.lifted) or controller.must_read

    def _is_poll_due(self) -> bool:
        assert self._read_at is not None
        is_due = self._now() - self._read_at >= POLL_SECONDS and len(self._controller.blocks) > 0
        hosts = [self._host, *self._controller.list_reachable()]
        return is_due and choose_by_hash(BLOCK_TABLE, hosts) == self._host

    async def _read(self) -> bool:
        """Read the table and apply it; return whether the store answered."""
        known = {block.key for block in self._controller.blocks if block.is_stored}
        table = await self._store.read_table(BLOCK_TABLE)
        self._record_call(is_answered=isinstance(table, TableState))
        if isinstance(table, Refusal):
            log_event(Part.ROUTING, "blocks can't be read", reason=table.reason)
            return False
        self._read_at = self._now()
        self._clock_offset = table.store_clock - self._read_at
        present = set()
        for row in table.rows:
            record = decode_block(row)
            if record:
                block = restore_block(record, table.store_clock, self._read_at)
                present.add(block.key)
                self._controller.restore(block)
        for block in self._controller.blocks:
            block.is_stored |= block.key in present
        self._apply_removals(known - present, table)
        self._eras = dict.fromkeys(present, table.era)
        return True

    def _apply_removals(self, missing: set[BlockKey], table: TableState) -> None:
        for block in self._controller.blocks:
            if block.key not in missing:
                continue
            if self._eras.get(block.key, table.era) == table.era:
                self._controller.lift(block, "its row was removed from the store")
            else:
                # The store was restored from an older copy.
                block.is_stored = False

    async def _write_new(self) -> None:
        for block in self._controller.blocks:
            if not self._is_to_be_written(block) or not self._is_due(block):
                continue
            if await self._write(block):
                block.is_stored = True
                self._controller.announce(block)

    def _is_to_be_written(self, block: Block) -> bool:
        """Return whether this host is to write a block, now or if others don't."""
        return not block.is_stored and self._compute_rank(block) < MAX_WRITERS

    def _is_due(self, block: Block) -> bool:
        delay = self._compute_rank(block) * WRITE_STAGGER_SECONDS
        return self._now() >= block.changed_at + delay

    def _compute_rank(self, block: Block) -> int:
        own = compute_rendezvous_weight(block.name, self._host)
        hosts = self._controller.list_reachable()
        return sum(compute_rendezvous_weight(block.name, host) < own for host in hosts)

    async def _write(self, block: Block) -> bool:
        key = compute_row_key(block)
        write = Write(BLOCK_TABLE, key, encode_block(block, block.until + self._clock_offset))
        conditions = () if block.failed_trials else (Condition(BLOCK_TABLE, key, None),)
        result = await self._store.commit(Transaction(conditions, (write,)))
        self._record_call(is_answered=isinstance(result, Committed | Conflict))
        if isinstance(result, Committed):
            self._eras[block.key] = result.era
            return True
        if isinstance(result, Conflict):
            return True
        log_event(Part.ROUTING, "block not written", block=block.name, reason=result.reason)
        return False

    async def _remove_lifted(self) -> None:
        while self._controller.lifted:
            block = self._controller.lifted[0]
            write = Write(BLOCK_TABLE, compute_row_key(block), delete=True)
            result = await self._store.commit(Transaction((), (write,)))
            self._record_call(is_answered=isinstance(result, Committed))
            if not isinstance(result, Committed):
                reason = getattr(result, "reason", "conflict")
                log_event(Part.ROUTING, "block not removed", block=block.name, reason=reason)
                return
            self._controller.lifted.pop(0)
            self._controller.announce_lifted(block)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
