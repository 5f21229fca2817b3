"""Relay bytes between processes and cut, heal or silence the legs by name."""

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
    """Hold the two ends of one relayed connection."""

    leg: str
    client: socket.socket
    server: socket.socket
    is_silent: bool = False
    is_closed: bool = False

    def close(self) -> None:
        """Close both ends."""
        self.is_closed = True
        for end in (self.client, self.server):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


@dataclass
class _Listener:
    """Hold one relayed target and the thread that accepts its connections."""

    target: str
    address: str
    server: socket.socket
    threads: list[threading.Thread] = field(default_factory=list)


class Relay:
    """Carry connections to named targets over legs called ``source->target``.

    A cut leg carries nothing, on open connections and new ones, until it is healed: then the bytes
    that were held back go on, as after a network partition. A silenced connection stays open and
    carries nothing for good, while new ones work.
    """

    def __init__(self, identify_source: IdentifySource) -> None:
        self._identify_source = identify_source
        self._changed = threading.Condition()
        self._cuts: set[str] = set()
        self._connections: set[_Connection] = set()
        self._listeners: list[_Listener] = []
        self._bytes: Counter[str] = Counter()

    def open_target(self, target: str, address: str) -> str:
        """Start relaying to a target and return the address that leads to it."""
        server = socket.create_server(("127.0.0.1", 0), backlog=512)
        listener = _Listener(target, address, server)
        thread = threading.Thread(target=self._accept, args=(listener,), daemon=True)
        self._listeners.append(listener)
        thread.start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    def cut(self, pattern: str) -> None:
        """Let nothing pass on the legs whose names match."""
        with self._changed:
            self._cuts.add(pattern)

    def heal(self, pattern: str) -> None:
        """Undo a cut that was made with the same pattern; ``*`` undoes all."""
        with self._changed:
            if pattern == "*":
                self._cuts.clear()
            self._cuts.discard(pattern)
            self._changed.notify_all()

    def stall_connections(self, pattern: str) -> int:
        """Make the open connections on matching legs silent for good and return their number."""
        with self._changed:
            matching = [c for c in self._connections if fnmatch.fnmatchcase(c.leg, pattern)]
            for connection in matching:
                connection.is_silent = True
        return len(matching)

    def list_open(self) -> list[str]:
        """Return the name of the leg of each open connection."""
        with self._changed:
            return sorted(connection.leg for connection in self._connections)

    def count_bytes(self, pattern: str) -> int:
        """Return the bytes that matching legs have carried so far, both ways."""
        with self._changed:
            return sum(n for leg, n in self._bytes.items() if fnmatch.fnmatchcase(leg, pattern))

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
        leg = f"{self._identify_source(client)}->{listener.target}"
        with self._changed:
            self._changed.wait_for(lambda: not self._is_cut(leg))
        host, _, port = listener.address.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS)
        except OSError:
            client.close()
            return
        for end in (client, server):
            end.settimeout(None)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(leg, client, server)
        with self._changed:
            self._connections.add(connection)
        back = threading.Thread(
            target=self._pump, args=(connection, server, client), daemon=True, name=leg
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
                self._await_open(connection)
                target.sendall(data)
                with self._changed:
                    self._bytes[connection.leg] += len(data)
            self._await_open(connection)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset is passed on as a reset of the whole connection.
            self._await_open(connection)
            for end in (source, target):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def _await_open(self, connection: _Connection) -> None:
        with self._changed:
            self._changed.wait_for(lambda: connection.is_closed or self._is_passable(connection))

    def _is_passable(self, connection: _Connection) -> bool:
        return not connection.is_silent and not self._is_cut(connection.leg)

    def _is_cut(self, leg: str) -> bool:
        return any(fnmatch.fnmatchcase(leg, pattern) for pattern in self._cuts)
