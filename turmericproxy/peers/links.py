"""Keep links to other hosts, with a heartbeat each way, and call handlers on them."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from turmericproxy.core import (
    DomainName,
    HostName,
    Incarnation,
    Refusal,
    ResultCode,
    read_boottime,
    refuse,
)
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.connection import Connection
from turmericproxy.peers.states import PeerAddress, PeerState, create_state
from turmericproxy.settings.schema import PeerLinkSettings

HEARTBEAT_KIND = "heartbeat"
LISTEN_BACKLOG = 512
ON_DEMAND_IDLE_SECONDS = 30.0

Handler = Callable[[HostName, Any], Any]


class _Link:
    """Hold the connection that this host dialled to one other host."""

    def __init__(self, peer: PeerAddress) -> None:
        self.peer = peer
        self.connection: Connection | None = None
        self.state: PeerState | None = None
        self.heard_of_at = 0.0
        self.wake = threading.Event()
        self.is_wanted = True
        self.used_at = read_boottime()
        self.dial_lock = threading.Lock()


class PeerLinks:
    """Dial the given peers, answer the ones that dial, and pass frames to the handlers.

    Handlers run on reader threads and must return soon.
    """

    def __init__(
        self,
        host: HostName,
        domain: DomainName,
        incarnation: Incarnation,
        address: str,
        settings: PeerLinkSettings,
    ) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self._address = address
        self._settings = settings
        self._handlers: dict[str, Handler] = {}
        self._digest: dict[str, Any] = {}
        self._links: dict[HostName, _Link] = {}
        self._on_demand: dict[HostName, _Link] = {}
        self._directory: dict[HostName, PeerAddress] = {}
        self._inbound: set[Connection] = set()
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._listener: socket.socket | None = None

    def register(self, kind: str, handler: Handler) -> None:
        """Call ``handler`` with the sender and body of each frame of that kind."""
        self._handlers[kind] = handler

    def set_digest(self, name: str, value: Any) -> None:
        """Put a small value into every heartbeat from now on."""
        with self._lock:
            self._digest = {**self._digest, name: value}

    def start(self) -> None:
        """Listen for other hosts."""
        host, _, port = self._address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept, name="peer-listener", daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that the host listens on for peers."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    def close(self) -> None:
        """Close the listener and every link."""
        self._closed.set()
        if self._listener:
            # A thread that waits in accept keeps a listener alive until it is shut down.
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        with self._lock:
            links = [*self._links.values(), *self._on_demand.values()]
            inbound = list(self._inbound)
            self._links, self._on_demand, self._directory = {}, {}, {}
        for link in links:
            self._drop(link)
        for connection in inbound:
            connection.close()

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Keep links to exactly these hosts."""
        wanted = {peer.host: peer for peer in peers if peer.host != self.host}
        with self._lock:
            kept = {h: k for h, k in self._links.items() if wanted.get(h) == k.peer}
            dropped = [k for h, k in self._links.items() if h not in kept]
            added = [_Link(peer) for host, peer in wanted.items() if host not in kept]
            self._links = {**kept, **{link.peer.host: link for link in added}}
        for link in dropped:
            self._drop(link)
        for link in added:
            threading.Thread(target=self._keep_link, args=(link,), daemon=True).start()

    def set_directory(self, peers: Iterable[PeerAddress]) -> None:
        """Say where hosts are that are not linked; a call to one opens a link while it is used."""
        with self._lock:
            self._directory = {peer.host: peer for peer in peers if peer.host != self.host}

    def list_reachable(self) -> tuple[PeerState, ...]:
        """Return the hosts whose heartbeat was answered within the silence limit."""
        oldest = read_boottime() - self._settings.silence
        with self._lock:
            links = list(self._links.values())
        return tuple(k.state for k in links if k.state and k.heard_of_at >= oldest)

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        """Return the other host's reply, or a refusal if none came within ``timeout`` seconds."""
        connection = self._find_connection(host)
        if connection is None:
            return refuse(ResultCode.UPSTREAM_FAILED, f"host {host} has no open link")
        limit = self._settings.call_timeout if timeout is None else timeout
        return connection.call(kind, body, limit)

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        """Send without waiting, and return whether the frame was handed to the network."""
        connection = self._find_connection(host)
        return connection is not None and connection.send(kind, body)

    def broadcast(self, kind: str, body: Any) -> int:
        """Send to every linked host, and return to how many."""
        with self._lock:
            connections = [k.connection for k in self._links.values() if k.connection]
        return sum(connection.send(kind, body) for connection in connections)

    def _find_connection(self, host: HostName) -> Connection | None:
        with self._lock:
            link = self._links.get(host)
        if link is None:
            link = self._open_on_demand(host)
        return link.connection if link else None

    def _open_on_demand(self, host: HostName) -> _Link | None:
        with self._lock:
            peer = self._directory.get(host)
            link = self._on_demand.get(host)
            is_new = link is None and peer is not None
            if is_new and peer is not None:
                link = self._on_demand[host] = _Link(peer)
        if link is None:
            return None
        link.used_at = read_boottime()
        with link.dial_lock:
            if link.connection is None:
                self._beat(link)
        if is_new:
            threading.Thread(target=self._keep_on_demand, args=(link,), daemon=True).start()
        return link

    def _keep_on_demand(self, link: _Link) -> None:
        while link.is_wanted and read_boottime() - link.used_at < ON_DEMAND_IDLE_SECONDS:
            link.wake.wait(self._settings.heartbeat)
            if link.connection is not None:
                self._beat(link)
        with self._lock:
            self._on_demand.pop(link.peer.host, None)
        self._drop(link)

    def _create_heartbeat(self) -> dict[str, Any]:
        with self._lock:
            digest = self._digest
        return {
            "host": self.host,
            "domain": self.domain,
            "incarnation": self.incarnation,
            "digest": digest,
        }

    def _accept(self) -> None:
        assert self._listener is not None
        while not self._closed.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            _InboundLink(self, sock, self._settings.silence).start()

    def _keep_link(self, link: _Link) -> None:
        while not self._closed.is_set() and link.is_wanted:
            self._beat(link)
            link.wake.wait(self._settings.heartbeat)

    def _beat(self, link: _Link) -> None:
        connection = link.connection or self._dial(link)
        if connection is None:
            return
        sent_at = read_boottime()
        reply = connection.call(HEARTBEAT_KIND, self._create_heartbeat(), self._settings.silence)
        state = None if isinstance(reply, Refusal) else create_state(reply)
        if state is None or state.host != link.peer.host:
            log_event(Part.PEERS, "link lost", level=logging.WARNING, peer=link.peer.host)
            link.connection = None
            connection.close()
            return
        link.state = state
        # The state is as old as the question: the reply may have waited for a paused process.
        link.heard_of_at = sent_at

    def _dial(self, link: _Link) -> Connection | None:
        host, _, port = link.peer.address.rpartition(":")
        try:
            sock = socket.create_connection((host, int(port)), self._settings.call_timeout)
        except OSError:
            return None
        connection = Connection(
            sock,
            lambda kind, body: self.handle_frame(link.peer.host, kind, body),
            self._settings.silence,
        )
        connection.start()
        link.connection = connection
        log_event(Part.PEERS, "link opened", peer=link.peer.host)
        return connection

    def _drop(self, link: _Link) -> None:
        link.is_wanted = False
        link.wake.set()
        if link.connection:
            link.connection.close()

    def handle_frame(self, sender: HostName, kind: str, body: Any) -> Any:
        """Answer one frame of another host."""
        if kind == HEARTBEAT_KIND:
            return self._create_heartbeat()
        handler = self._handlers.get(kind)
        if handler is None:
            return None
        try:
            return handler(sender, body)
        except Exception as error:  # one bad frame must not end the link
            log_event(
                Part.PEERS, "handler failed", level=logging.ERROR, kind=kind, reason=repr(error)
            )
            return None

    def add_inbound(self, connection: Connection) -> None:
        """Remember a connection that another host dialled."""
        with self._lock:
            self._inbound = {c for c in self._inbound if not c.is_closed} | {connection}


class _InboundLink:
    """Answer the frames of a host that dialled this one."""

    def __init__(self, links: PeerLinks, sock: socket.socket, silence: float) -> None:
        self._links = links
        self._sender = HostName("")
        self._connection = Connection(sock, self._handle, silence)

    def start(self) -> None:
        """Start to read frames."""
        self._links.add_inbound(self._connection)
        self._connection.start()

    def _handle(self, kind: str, body: Any) -> Any:
        if kind == HEARTBEAT_KIND:
            self._sender = HostName(body["host"])
        return self._links.handle_frame(self._sender, kind, body)
