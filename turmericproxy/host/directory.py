"""Discover the other hosts through a table of the store."""

import asyncio
import json

from turmericproxy.core import HostName, Incarnation, Refusal
from turmericproxy.fleet import FleetLinks, Hello
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import TableStore
from turmericproxy.tables.messages import Committed, Row, Transaction, Write

HOST_TABLE = "hosts"
# Delay between two attempts to write or read the table while the store is unreachable.
RETRY_SECONDS = 0.5
# Delay before the table is read a second time: of hosts that start at the same moment, each may
# have read it before the other one wrote its row.
SECOND_READ_SECONDS = 1.5


class HostDirectory:
    """Register this host in the table and connect to the registered hosts."""

    def __init__(self, store: TableStore, own: Hello, links: FleetLinks) -> None:
        self._store = store
        self._own = own
        self._links = links
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the registration task."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Cancel the registration task."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while not await self._register():
            await asyncio.sleep(RETRY_SECONDS)
        while not await self._connect_to_peers():
            await asyncio.sleep(RETRY_SECONDS)
        await asyncio.sleep(SECOND_READ_SECONDS)
        while not await self._connect_to_peers():
            await asyncio.sleep(RETRY_SECONDS)

    async def _register(self) -> bool:
        value = json.dumps([self._own.address, self._own.domain, self._own.link_mbps]).encode()
        write = Write(HOST_TABLE, self._own.host, value)
        result = await self._store.commit(Transaction((), (write,)))
        if isinstance(result, Committed):
            return True
        reason = getattr(result, "reason", "conflict")
        log_event(Part.PEERS, "host could not be registered", reason=reason)
        return False

    async def _connect_to_peers(self) -> bool:
        table = await self._store.read_table(HOST_TABLE)
        if isinstance(table, Refusal):
            log_event(Part.PEERS, "host table can't be read", reason=table.reason)
            return False
        for row in table.rows:
            hello = _read_hello(row)
            if hello:
                self._links.add_peer(hello)
        return True


def _read_hello(row: Row) -> Hello | None:
    try:
        address, domain, link_mbps = json.loads(row.value)
        identity = (HostName(row.key), str(address), str(domain), Incarnation(""))
        return Hello(*identity, int(link_mbps))
    except (ValueError, TypeError) as error:
        log_event(Part.PEERS, "invalid row in the host table", key=row.key, reason=repr(error))
        return None
