"""Accept connections of other hosts, within a bound, and answer the frames received on them."""

import contextlib
import socket
import threading
from collections.abc import Callable
from typing import Any

from turmericproxy.core import HostName, read_boottime
from turmericproxy.edge.causes import Cause, CauseReporter
from turmericproxy.peers.connection import Connection
from turmericproxy.peers.introduction import HEARTBEAT_KIND, read_host
from turmericproxy.settings.schema import PeerLinkSettings

LISTEN_BACKLOG = 512
# Pause after a failure to accept: descriptors are released by connections that end meanwhile.
# Without it, the thread would use a whole core until then.
ACCEPT_PAUSE_SECONDS = 0.1
# A link that received nothing for this long is closed if a new one needs its place: hosts send
# heartbeats every 0.5 s by default, and a machine that loses its power closes no connection.
IDLE_LINK_SECONDS = 30.0

FrameHandler = Callable[[HostName, str, Any], Any]


class InboundLinks:
    """Listen for other hosts and own the links that they opened.

    ``address`` is IP:PORT. ``handle_frame`` is called on reader threads with the sender, kind and
    body of each frame.
    """

    def __init__(
        self,
        address: str,
        settings: PeerLinkSettings,
        handle_frame: FrameHandler,
        reporter: CauseReporter | None = None,
    ) -> None:
        self._address = address
        self._settings = settings
        self._handle_frame = handle_frame
        self._reporter = reporter or CauseReporter()
        self._report_lock = threading.Lock()
        self._links: set[_InboundLink] = set()
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._listener: socket.socket | None = None

    @property
    def port(self) -> int:
        """Return the port that the host listens on for peers."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Start listening for connections of other hosts."""
        host, _, port = self._address.rpartition(":")
        self._listener = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        threading.Thread(target=self._accept_connections, name="peer-listener", daemon=True).start()

    def close(self) -> None:
        """Close the listener and every link."""
        self._closed.set()
        if self._listener:
            # A thread blocked in accept() keeps the listening socket open until it is shut down.
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.connection.close()

    def list_connections(self) -> list[Connection]:
        """Return the open connections, with those that have not introduced themselves."""
        with self._lock:
            return [link.connection for link in self._links if not link.connection.is_closed]

    def _accept_connections(self) -> None:
        assert self._listener is not None
        while not self._closed.is_set():
            try:
                sock, address = self._listener.accept()
            except ConnectionAbortedError:
                continue  # closed by the other side meanwhile
            except OSError as error:
                if not self._closed.is_set():
                    self._pause(error)
                continue
            self._open_link(sock, str(address[0]))

    def _pause(self, error: Exception) -> None:
        self._report(Cause.ACCEPT_FAILED, reason=repr(error))
        self._closed.wait(ACCEPT_PAUSE_SECONDS)

    def _open_link(self, sock: socket.socket, peer: str) -> None:
        if not self._make_room(peer):
            sock.close()
            return
        link = None
        try:
            link = _InboundLink(
                sock,
                self._settings,
                self._handle_frame,
                lambda: self._report(Cause.LINK_NOT_INTRODUCED, peer=peer),
            )
            with self._lock:
                self._links.add(link)
            link.connection.start()
        except (OSError, RuntimeError) as error:  # RuntimeError: no thread can be started
            if link:
                link.connection.close()
            sock.close()
            self._pause(error)
            return
        if self._closed.is_set():
            link.connection.close()

    def _make_room(self, peer: str) -> bool:
        with self._lock:
            self._links = {link for link in self._links if not link.connection.is_closed}
            if len(self._links) < self._settings.incoming_links:
                return True
            replaceable = self._find_replaceable()
        self._report(Cause.LINK_WITHOUT_ROOM, peer=peer)
        if replaceable:
            replaceable.connection.close()
        return replaceable is not None

    def _find_replaceable(self) -> "_InboundLink | None":
        """Return the oldest link without an introduction, else the longest idle one, if any.

        A host introduces itself as soon as it has connected. Refusing the newest instead would keep
        hosts out for as long as strangers fill all places.
        """
        links = sorted(self._links, key=lambda link: link.connection.last_received_at)
        idle_since = read_boottime() - IDLE_LINK_SECONDS
        for link in links:
            if not link.connection.is_introduced:
                return link
        return links[0] if links[0].connection.last_received_at < idle_since else None

    def _report(self, cause: Cause, **fields: str | int) -> None:
        with self._report_lock:
            self._reporter.report(cause, **fields)


class _InboundLink:
    """Answer frames received on a connection opened by another host."""

    def __init__(
        self,
        sock: socket.socket,
        settings: PeerLinkSettings,
        handle_frame: FrameHandler,
        report_missing: Callable[[], None],
    ) -> None:
        self._sender = HostName("")
        self._handle_frame = handle_frame
        self.connection = Connection(
            sock, self._handle, settings.silence, settings.introduction, report_missing
        )

    def _handle(self, kind: str, body: Any) -> Any:
        if kind == HEARTBEAT_KIND:
            host = read_host(body)
            if host is None:
                raise ValueError("the heartbeat names no host")
            self._sender = HostName(host)
        return self._handle_frame(self._sender, kind, body)
