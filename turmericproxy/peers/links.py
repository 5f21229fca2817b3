"""Maintain connections to other hosts with heartbeats and exchange frames over them."""

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
from turmericproxy.edge.causes import CauseReporter
from turmericproxy.logs import Part, log_event
from turmericproxy.peers.connection import Connection
from turmericproxy.peers.inbound import InboundLinks
from turmericproxy.peers.introduction import HEARTBEAT_KIND
from turmericproxy.peers.states import PeerAddress, PeerState, create_state
from turmericproxy.settings.schema import PeerLinkSettings

TEMPORARY_LINK_IDLE_SECONDS = 30.0

Handler = Callable[[HostName, Any], Any]


class _Link:
    """State of an outgoing link; times are readings of the boot-time clock, in seconds."""

    def __init__(self, peer: PeerAddress) -> None:
        self.peer = peer
        self.connection: Connection | None = None
        self.state: PeerState | None = None
        self.confirmed_at = 0.0
        self.wake = threading.Event()
        self.is_wanted = True
        self.last_used_at = read_boottime()
        self.connect_lock = threading.Lock()


class PeerLinks:
    """Connect to the given peers, accept connections and pass received frames to handlers.

    Handlers run on reader threads and must not block.
    """

    def __init__(
        self,
        host: HostName,
        domain: DomainName,
        incarnation: Incarnation,
        address: str,
        settings: PeerLinkSettings,
        reporter: CauseReporter | None = None,
    ) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self._settings = settings
        self._handlers: dict[str, Handler] = {}
        self._digest: dict[str, Any] = {}
        self._links: dict[HostName, _Link] = {}
        self._temporary_links: dict[HostName, _Link] = {}
        self._directory: dict[HostName, PeerAddress] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._inbound = InboundLinks(address, settings, self.handle_frame, reporter)

    def register(self, kind: str, handler: Handler) -> None:
        """Call ``handler`` with the sender and body of each received frame of this kind."""
        self._handlers[kind] = handler

    def set_digest(self, name: str, value: Any) -> None:
        """Include a small value in all following heartbeats."""
        with self._lock:
            self._digest = {**self._digest, name: value}

    def start(self) -> None:
        """Start listening for connections of other hosts."""
        self._inbound.start()

    @property
    def port(self) -> int:
        """Return the port that the host listens on for peers."""
        return self._inbound.port

    def close(self) -> None:
        """Close the listener and every link."""
        self._closed.set()
        with self._lock:
            links = [*self._links.values(), *self._temporary_links.values()]
            self._links, self._temporary_links, self._directory = {}, {}, {}
        for link in links:
            self._close_link(link)
        self._inbound.close()

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Open and close links so that exactly these hosts are linked."""
        wanted = {peer.host: peer for peer in peers if peer.host != self.host}
        with self._lock:
            kept = {h: link for h, link in self._links.items() if wanted.get(h) == link.peer}
            removed = [link for h, link in self._links.items() if h not in kept]
            added = [_Link(peer) for host, peer in wanted.items() if host not in kept]
            self._links = {**kept, **{link.peer.host: link for link in added}}
        for link in removed:
            self._close_link(link)
        for link in added:
            threading.Thread(target=self._maintain_link, args=(link,), daemon=True).start()

    def set_directory(self, peers: Iterable[PeerAddress]) -> None:
        """Set the addresses of known hosts; a call to an unlinked one opens a temporary link."""
        with self._lock:
            self._directory = {peer.host: peer for peer in peers if peer.host != self.host}

    def list_reachable(self) -> tuple[PeerState, ...]:
        """Return the linked hosts that answered a heartbeat sent within the silence limit."""
        oldest = read_boottime() - self._settings.silence
        with self._lock:
            links = list(self._links.values())
        return tuple(link.state for link in links if link.state and link.confirmed_at >= oldest)

    def call(self, host: HostName, kind: str, body: Any, timeout: float | None = None) -> Any:
        """Return the host's reply, or a refusal if none was received within ``timeout`` seconds."""
        connection = self._find_connection(host)
        if connection is None:
            return refuse(ResultCode.UPSTREAM_FAILED, f"no connection to host {host}")
        limit = self._settings.call_timeout if timeout is None else timeout
        return connection.call(kind, body, limit)

    def send(self, host: HostName, kind: str, body: Any) -> bool:
        """Send without waiting for a reply; return whether the frame was written to the socket."""
        connection = self._find_connection(host)
        return connection is not None and connection.send(kind, body)

    def broadcast(self, kind: str, body: Any) -> int:
        """Send to all linked hosts; return to how many the frame was written."""
        with self._lock:
            connections = [link.connection for link in self._links.values() if link.connection]
        return sum(connection.send(kind, body) for connection in connections)

    def _find_connection(self, host: HostName) -> Connection | None:
        with self._lock:
            link = self._links.get(host)
        if link is None:
            link = self._ensure_temporary_link(host)
        return link.connection if link else None

    def _ensure_temporary_link(self, host: HostName) -> _Link | None:
        with self._lock:
            peer = self._directory.get(host)
            link = self._temporary_links.get(host)
            is_new = link is None and peer is not None
            if is_new and peer is not None:
                link = self._temporary_links[host] = _Link(peer)
        if link is None:
            return None
        link.last_used_at = read_boottime()
        with link.connect_lock:
            if link.connection is None:
                self._exchange_heartbeat(link)
        if is_new:
            threading.Thread(
                target=self._maintain_temporary_link, args=(link,), daemon=True
            ).start()
        return link

    def _maintain_temporary_link(self, link: _Link) -> None:
        while link.is_wanted and read_boottime() - link.last_used_at < TEMPORARY_LINK_IDLE_SECONDS:
            link.wake.wait(self._settings.heartbeat)
            if link.connection is not None:
                self._exchange_heartbeat(link)
        with self._lock:
            self._temporary_links.pop(link.peer.host, None)
        self._close_link(link)

    def _create_heartbeat(self) -> dict[str, Any]:
        with self._lock:
            digest = self._digest
        return {
            "host": self.host,
            "domain": self.domain,
            "incarnation": self.incarnation,
            "digest": digest,
        }

    def _maintain_link(self, link: _Link) -> None:
        while not self._closed.is_set() and link.is_wanted:
            self._exchange_heartbeat(link)
            link.wake.wait(self._settings.heartbeat)

    def _exchange_heartbeat(self, link: _Link) -> None:
        connection = link.connection or self._connect(link)
        if connection is None:
            return
        sent_at = read_boottime()
        # Other threads may use the connection from then on: its first frame must be a heartbeat.
        reply = connection.call(
            HEARTBEAT_KIND,
            self._create_heartbeat(),
            self._settings.silence,
            lambda: self._publish(link, connection),
        )
        state = None if isinstance(reply, Refusal) else create_state(reply)
        if state is None or state.host != link.peer.host:
            log_event(Part.PEERS, "link lost", level=logging.WARNING, peer=link.peer.host)
            link.connection = None
            connection.close()
            return
        link.state = state
        # The state may be as old as the request, since a paused process reads the reply late.
        link.confirmed_at = sent_at

    def _connect(self, link: _Link) -> Connection | None:
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
        log_event(Part.PEERS, "link opened", peer=link.peer.host)
        return connection

    @staticmethod
    def _publish(link: _Link, connection: Connection) -> None:
        link.connection = connection
        if not link.is_wanted:  # closed meanwhile, when the connection was not known yet
            connection.close()

    def _close_link(self, link: _Link) -> None:
        link.is_wanted = False
        link.wake.set()
        if link.connection:
            link.connection.close()

    def handle_frame(self, sender: HostName, kind: str, body: Any) -> Any:
        """Return the reply to a frame from another host."""
        if kind == HEARTBEAT_KIND:
            return self._create_heartbeat()
        handler = self._handlers.get(kind)
        if handler is None:
            return None
        try:
            return handler(sender, body)
        except Exception as error:  # a frame that can't be handled must not close the link
            log_event(
                Part.PEERS, "handler failed", level=logging.ERROR, kind=kind, reason=repr(error)
            )
            return None
