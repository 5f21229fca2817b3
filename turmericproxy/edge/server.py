"""Accept client connections on the event loop."""

from collections.abc import Callable
from weakref import WeakSet

from turmericproxy.edge.accepting import Acceptor
from turmericproxy.edge.connection import (
    ClientConnection,
    Handler,
    RefusalBuilder,
    build_empty_refusal,
)
from turmericproxy.edge.limits import EdgeLimits
from turmericproxy.edge.messages import ClientRequest
from turmericproxy.edge.resources import EdgeResources
from turmericproxy.edge.writer import AnswerWriter


class EdgeServer:
    """Listen on one address and pass each request to a handler.

    ``address`` is ``ip:port``; port 0 lets the system choose. ``get_limits`` returns the limits
    that currently apply, ``singleton_fields`` names further header fields that may occur only
    once, and ``build_refusal`` returns the answer to a request that can't be read. ``resources``
    are shared with other servers of the process. ``active`` is the number of running handlers.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        get_limits: Callable[[], EdgeLimits] = EdgeLimits,
        singleton_fields: tuple[str, ...] = (),
        build_refusal: RefusalBuilder = build_empty_refusal,
        resources: EdgeResources | None = None,
    ) -> None:
        self._resources = resources or EdgeResources()
        self._acceptor = Acceptor(
            address,
            self._create_connection,
            self._resources.connections.make_room,
            self._resources.reporter,
        )
        self._handler = handler
        self._get_limits = get_limits
        self._singleton_fields = singleton_fields
        self._build_refusal = build_refusal
        self._connections: WeakSet[ClientConnection] = WeakSet()
        self._is_draining = False
        self.active = 0

    @property
    def port(self) -> int:
        """Return the port that the server is bound to."""
        return self._acceptor.port

    async def start(self) -> None:
        """Bind the address and accept connections; raise ``OSError`` if it can't be bound."""
        self._acceptor.start()

    def drain(self) -> None:
        """Close each connection after its last answer; new connections are still accepted."""
        self._is_draining = True

    @property
    def is_busy(self) -> bool:
        """Return whether any request or answer is still under way."""
        return self._acceptor.is_accepting or any(
            connection.is_busy for connection in self._connections
        )

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
        self._acceptor.cancel()
        for connection in list(self._connections):
            connection.abort()

    def close(self) -> None:
        """Accept what the kernel has accepted, then no more; requests in progress continue."""
        self._acceptor.close()

    def _create_connection(self, peer: str) -> ClientConnection:
        connection = ClientConnection(
            self._run,
            self._get_limits,
            lambda: self._is_draining,
            self._singleton_fields,
            self._build_refusal,
            self._resources,
        )
        self._resources.connections.add(peer, connection)
        self._connections.add(connection)
        return connection

    async def _run(self, request: ClientRequest, writer: AnswerWriter) -> None:
        self.active += 1
        try:
            await self._handler(request, writer)
        finally:
            self.active -= 1
