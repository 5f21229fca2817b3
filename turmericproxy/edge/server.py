"""Accept client connections on the event loop."""

import asyncio
import socket
from collections.abc import Callable
from weakref import WeakSet

from turmericproxy.core.memory import MemoryAccount
from turmericproxy.edge.connection import (
    ClientConnection,
    Handler,
    RefusalBuilder,
    build_empty_refusal,
)
from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import ClientRequest
from turmericproxy.edge.writer import AnswerWriter
from turmericproxy.logs import Part, log_event

# Length of the accept queue, in connections. When it is full, the kernel drops connection attempts
# and clients wait for TCP to retransmit.
ACCEPT_BACKLOG = 1024


class EdgeServer:
    """Listen on one address and pass each request to a handler.

    ``address`` is ``ip:port``; port 0 lets the system choose. ``get_limits`` returns the limits
    that currently apply, ``singleton_fields`` names further header fields that may occur only
    once, and ``build_refusal`` returns the answer to a request that can't be read. Bodies that
    ``memory`` has no room for are refused. ``active`` is the number of running handlers.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], EdgeLimits] = EdgeLimits,
        singleton_fields: tuple[str, ...] = (),
        build_refusal: RefusalBuilder = build_empty_refusal,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._memory = memory or MemoryAccount()
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._handler = handler
        self._get_limits = get_limits
        self._singleton_fields = singleton_fields
        self._build_refusal = build_refusal
        self._connections: WeakSet[ClientConnection] = WeakSet()
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task[tuple[asyncio.Transport, asyncio.BaseProtocol]]] = set()
        self._is_draining = False
        self.active = 0

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Bind the address and accept connections; raise ``OSError`` if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._create_connection, self._ip, self._port, backlog=ACCEPT_BACKLOG
        )

    def drain(self) -> None:
        """Close each connection after its last answer; new connections are still accepted."""
        self._is_draining = True

    @property
    def is_busy(self) -> bool:
        """Return whether any request or answer is still under way."""
        is_accepting = len(self._accepting) > 0
        return is_accepting or any(connection.is_busy for connection in self._connections)

    def close_idle(self) -> None:
        """Close the connections that are neither receiving nor handling a request."""
        for connection in list(self._connections):
            connection.close_idle()

    def end_requests(self) -> None:
        """Answer all requests now: cancel running handlers and refuse queued requests."""
        for connection in list(self._connections):
            connection.end_requests()

    def abort(self) -> None:
        """Close all connections at once, discarding unsent data."""
        for task in list(self._accepting):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def close(self) -> None:
        """Accept what the kernel has accepted, then no more; requests in progress continue."""
        if self._server is None:
            return
        listeners = [sock.dup() for sock in self._server.sockets]
        self._server.close()
        for listener in listeners:
            with listener:
                self._accept_waiting(listener)

    def _accept_waiting(self, listener: socket.socket) -> None:
        """Accept the connections in the kernel's queue, which resets them when it is closed."""
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        while True:
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log_event(Part.CALLERS, "connections not accepted", reason=repr(error))
                return
            task = loop.create_task(loop.connect_accepted_socket(self._create_connection, accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _create_connection(self) -> ClientConnection:
        connection = ClientConnection(
            self._run,
            self._get_limits,
            lambda: self._is_draining,
            self._singleton_fields,
            self._build_refusal,
            self._memory,
        )
        self._connections.add(connection)
        return connection

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        self.active += 1
        try:
            await self._handler(request, writer)
        finally:
            self.active -= 1
