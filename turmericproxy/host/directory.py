"""Discover the other hosts through a table of the store."""

import asyncio
import json
import random
from collections.abc import Callable

from turmericproxy.core import HostName, Incarnation, Refusal
from turmericproxy.core.addresses import split_address
from turmericproxy.core.documents import decode_json
from turmericproxy.fleet import FleetLinks, Hello
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import TableStore
from turmericproxy.tables.messages import Committed, Row, Transaction, Write
from turmericproxy.tasks import repeat

HOST_TABLE = "hosts"
# Delay between two attempts to write or read the table while the store is unreachable.
RETRY_SECONDS = 0.5
# Longest delay, chosen at random, before the table is read after the store was restored, so that
# the hosts don't all read it at once.
MAX_REFRESH_DELAY_SECONDS = 1.0
# Delay before the table is read a second time: of hosts that start at the same moment, each may
# have read it before the other one wrote its row.
SECOND_READ_SECONDS = 1.5


class HostDirectory:
    """Register this host in the table and connect to the registered hosts.

    ``on_read`` is called with the number of other hosts each time the table has been read.
    """

    def __init__(
        self,
        store: TableStore,
        own: Hello,
        links: FleetLinks,
        on_read: Callable[[int], None] = lambda _other_hosts: None,
    ) -> None:
        self._on_read = on_read
        self._store = store
        self._own = own
        self._links = links
        self._refresh_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the registration task."""
        self._task = asyncio.get_running_loop().create_task(
            repeat(Part.PEERS, "find the other hosts", self._run)
        )

    def refresh(self) -> None:
        """Register again if the store has lost this host's row, and connect to new hosts."""
        self._refresh_requested.set()

    async def close(self) -> None:
        """Cancel the registration task."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while not await self._register():
            await asyncio.sleep(RETRY_SECONDS)
        await self._read_until_answered()
        await asyncio.sleep(SECOND_READ_SECONDS)
        await self._read_until_answered()
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested.clear()
            await asyncio.sleep(random.uniform(0.0, MAX_REFRESH_DELAY_SECONDS))
            while not await self._read_until_answered() and not await self._register():
                await asyncio.sleep(RETRY_SECONDS)

    async def _read_until_answered(self) -> bool:
        """Connect to the hosts in the table; return whether this host's row is among them."""
        while (hosts := await self._connect_to_peers()) is None:
            await asyncio.sleep(RETRY_SECONDS)
        own = self._own
        return any(
            (h.host, h.address, h.domain) == (own.host, own.address, own.domain) for h in hosts
        )

    async def _register(self) -> bool:
        value = json.dumps([self._own.address, self._own.domain, self._own.link_mbps]).encode()
        write = Write(HOST_TABLE, self._own.host, value)
        result = await self._store.commit(Transaction((), (write,)))
        if isinstance(result, Committed):
            return True
        reason = getattr(result, "reason", "conflict")
        log_event(Part.PEERS, "host could not be registered", reason=reason)
        return False

    async def _connect_to_peers(self) -> list[Hello] | None:
        """Connect to the hosts in the table; return them, or ``None`` if it can't be read."""
        table = await self._store.read_table(HOST_TABLE)
        if isinstance(table, Refusal):
            log_event(Part.PEERS, "host table can't be read", reason=table.reason)
            return None
        hosts = [hello for row in table.rows if (hello := _read_hello(row))]
        for hello in hosts:
            self._links.add_peer(hello)
        self._on_read(sum(hello.host != self._own.host for hello in hosts))
        return hosts


def _read_hello(row: Row) -> Hello | None:
    try:
        address, domain, link_mbps = decode_json(row.value)
        split_address(address)
        identity = (HostName(row.key), str(address), str(domain), Incarnation(""))
        return Hello(*identity, int(link_mbps))
    except (ValueError, TypeError, AttributeError) as error:
        log_event(Part.PEERS, "invalid row in the host table", key=row.key, reason=repr(error))
        return None
