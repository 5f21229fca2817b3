"""Relay bytes between processes, and cut, heal or stall connections by the name of their link."""

import contextlib
import fnmatch
import socket
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 1.0

IdentifySource = Callable[[socket.socket], str]


@dataclass(eq=False)
class _Connection:
    """Store the two sockets of a relayed connection, and its state."""

    link: str
    client: socket.socket
    server: socket.socket
    is_stalled: bool = False
    is_closed: bool = False

    def close(self) -> None:
        """Close both sockets."""
        self.is_closed = True
        for end in (self.client, self.server):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


@dataclass
class _Listener:
    """Store a listening socket, and the name and address of the target that it forwards to."""

    target: str
    address: str
    server: socket.socket
    threads: list[threading.Thread] = field(default_factory=list)


class Relay:
    """Relay connections to named targets over links named ``source->target``.

    A cut link carries no bytes, on open and on new connections, until it is healed; then the bytes
    that were held back are delivered, as after a network partition. A stalled connection stays open
    but never carries bytes again, while new connections work.
    """

    def __init__(self, identify_source: IdentifySource) -> None:
        self._identify_source = identify_source
        self._changed = threading.Condition()
        self._cuts: set[str] = set()
        self._connections: set[_Connection] = set()
        self._listeners: list[_Listener] = []
        self._bytes: Counter[str] = Counter()

    def open_target(self, target: str, address: str) -> str:
        """Start relaying to a target and return the relay's address for it."""
        server = socket.create_server(("127.0.0.1", 0), backlog=512)
        listener = _Listener(target, address, server)
        thread = threading.Thread(target=self._accept, args=(listener,), daemon=True)
        self._listeners.append(listener)
        thread.start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    def cut(self, pattern: str) -> None:
        """Cut the links whose names match a pattern (see ``fnmatch``)."""
        with self._changed:
            self._cuts.add(pattern)

    def heal(self, pattern: str) -> None:
        """Undo the cut with the same pattern; ``*`` undoes all cuts."""
        with self._changed:
            if pattern == "*":
                self._cuts.clear()
            self._cuts.discard(pattern)
            self._changed.notify_all()

    def stall_connections(self, pattern: str) -> int:
        """Stall the open connections on matching links permanently and return their number."""
        with self._changed:
            matching = [c for c in self._connections if fnmatch.fnmatchcase(c.link, pattern)]
            for connection in matching:
                connection.is_stalled = True
        return len(matching)

    def list_open(self) -> list[str]:
        """Return the link name of each open connection, sorted."""
        with self._changed:
            return sorted(connection.link for connection in self._connections)

    def count_bytes(self, pattern: str) -> int:
        """Return the bytes carried so far on matching links, in both directions."""
        with self._changed:
            return sum(n for link, n in self._bytes.items() if fnmatch.fnmatchcase(link, pattern))

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            with contextlib.suppress(OSError):
                listener.server.shutdown(socket.SHUT_RDWR)
            listener.server.close()
        with self._changed:
            for connection in self._connections:
                connection.close()
            self._changed.notify_all()

    def _accept(self, listener: _Listener) -> None:
        while True:
            try:
                client, _ = listener.server.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(listener, client), daemon=True).start()

    def _connect(self, listener: _Listener, client: socket.socket) -> None:
        link = f"{self._identify_source(client)}->{listener.target}"
        with self._changed:
            self._changed.wait_for(lambda: not self._is_cut(link))
        host, _, port = listener.address.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS)
        except OSError:
            client.close()
            return
        for end in (client, server):
            end.settimeout(None)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(link, client, server)
        with self._changed:
            self._connections.add(connection)
        back = threading.Thread(
            target=self._pump, args=(connection, server, client), daemon=True, name=link
        )
        back.start()
        self._pump(connection, client, server)
        back.join()
        with self._changed:
            self._connections.discard(connection)
        connection.close()

    def _pump(self, connection: _Connection, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._await_passable(connection)
                target.sendall(data)
                with self._changed:
                    self._bytes[connection.link] += len(data)
            self._await_passable(connection)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            # An error on either socket, such as a reset, shuts down both.
            self._await_passable(connection)
            for end in (source, target):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def _await_passable(self, connection: _Connection) -> None:
        with self._changed:
            self._changed.wait_for(lambda: connection.is_closed or self._is_passable(connection))

    def _is_passable(self, connection: _Connection) -> bool:
        return not connection.is_stalled and not self._is_cut(connection.link)

    def _is_cut(self, link: str) -> bool:
        return any(fnmatch.fnmatchcase(link, pattern) for pattern in self._cuts)
