"""Find the other hosts through a table of the store."""

import asyncio
import json

from turmericproxy.core import HostName, Incarnation, Refusal
from turmericproxy.fleet import FleetLinks, Hello
from turmericproxy.logs import Part, log_event
from turmericproxy.store.interfaces import TableStore
from turmericproxy.tables.messages import Committed, Row, Transaction, Write

HOST_TABLE = "hosts"
# Seconds between two attempts to register while the store is away.
RETRY_SECONDS = 0.5
# Seconds after which the table is read again: hosts that started at the same moment may have
# read it before the other one wrote.
SECOND_READ_SECONDS = 1.5


class HostDirectory:
    """Register this host, and dial those that have registered."""

    def __init__(self, store: TableStore, own: Hello, links: FleetLinks) -> None:
        self._store = store
        self._own = own
        self._links = links
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to register."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop trying."""
        if self._task:
            self._task.cancel()

    async def _run(self) -> None:
        while not await self._register():
            await asyncio.sleep(RETRY_SECONDS)
        while not await self._read():
            await asyncio.sleep(RETRY_SECONDS)
        await asyncio.sleep(SECOND_READ_SECONDS)
        while not await self._read():
            await asyncio.sleep(RETRY_SECONDS)

    async def _register(self) -> bool:
        value = json.dumps([self._own.address, self._own.domain, self._own.link_mbps]).encode()
        write = Write(HOST_TABLE, self._own.host, value)
        result = await self._store.commit(Transaction((), (write,)))
        if isinstance(result, Committed):
            return True
        reason = getattr(result, "reason", "conflict")
        log_event(Part.PEERS, "host not registered", reason=reason)
        return False

    async def _read(self) -> bool:
        state = await self._store.read_table(HOST_TABLE)
        if isinstance(state, Refusal):
            log_event(Part.PEERS, "hosts can't be read", reason=state.reason)
            return False
        for row in state.rows:
            hello = _read_hello(row)
            if hello:
                self._links.add_peer(hello)
        return True


def _read_hello(row: Row) -> Hello | None:
    try:
        address, domain, link_mbps = json.loads(row.value)
        hello = (HostName(row.key), str(address), str(domain), Incarnation(""))
        return Hello(*hello, int(link_mbps))
    except (ValueError, TypeError) as error:
        log_event(Part.PEERS, "host's row can't be used", key=row.key, reason=repr(error))
        return None
