"""Check the bounds on connections that strangers open to the address for hosts."""

import errno
import socket
from collections.abc import Iterator
from typing import Any

import msgpack
import pytest

from tests.peers.test_links import await_condition
from turmericproxy.core import HostName, ResultCode
from turmericproxy.edge.causes import Cause, CauseReporter
from turmericproxy.peers import inbound
from turmericproxy.peers.connection import Connection
from turmericproxy.peers.inbound import InboundLinks
from turmericproxy.settings.schema import PeerLinkSettings

LIMIT = 4
HEARTBEAT = ["heartbeat", 1, {"host": "b", "domain": "d", "incarnation": "i", "digest": {}}]


class Listener:
    """Run incoming links that echo frames, and record the causes that they report."""

    def __init__(self, introduction: float = 30.0) -> None:
        self.causes: list[Cause] = []
        settings = PeerLinkSettings(introduction=introduction, incoming_links=LIMIT)
        self.links = InboundLinks(
            "127.0.0.1:0",
            settings,
            lambda sender, _kind, body: [sender, body],
            CauseReporter(self.causes.append),
        )
        self.links.start()
        self._sockets: list[socket.socket] = []

    def connect(self, *frames: Any) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.links.port), timeout=10)
        self._sockets.append(sock)
        for frame in frames:
            sock.sendall(frame if isinstance(frame, bytes) else msgpack.packb(frame))
        return sock

    def introduce(self) -> socket.socket:
        sock = self.connect(HEARTBEAT)
        assert read_frame(sock)[0] == "reply"
        return sock

    def close(self) -> None:
        self.links.close()
        for sock in self._sockets:
            sock.close()


def read_frame(sock: socket.socket) -> Any:
    unpacker = msgpack.Unpacker(raw=False, max_buffer_size=2**25)
    while data := sock.recv(65536):
        unpacker.feed(data)
        for frame in unpacker:
            return frame
    raise AssertionError("the connection was closed")


def is_closed(sock: socket.socket) -> bool:
    try:
        return sock.recv(1) == b""
    except ConnectionError:
        return True


@pytest.fixture
def listener() -> Iterator[Listener]:
    created = Listener()
    yield created
    created.close()


@pytest.mark.parametrize(
    "first",
    [
        ["echo", 1, 7],
        ["heartbeat", 1, {"domain": "d"}],
        ["heartbeat", 1, {**HEARTBEAT[2], "digest": {"more": "x" * 1024}}],
        ["heartbeat", 1, {"host": "b", "digest": [0] * 17}],
        7,
        b"\xc6\x00\xff\xff\xff" + b"x" * 2048,
        b"\xdc\x00\x10" * 400,
        b"\xc1",
    ],
    ids=["other", "no host", "long", "long array", "no array", "endless", "nested", "unreadable"],
)
def test_connection_is_closed_unless_its_first_frame_is_a_small_heartbeat(
    listener: Listener, first: Any
) -> None:
    """Guards against strangers whose frames are kept, or handled, without an introduction."""
    assert is_closed(listener.connect(first))
    assert await_condition(lambda: listener.causes == [Cause.LINK_NOT_INTRODUCED])


def test_connection_without_a_heartbeat_is_closed_after_the_time_limit() -> None:
    """Guards against silent connections that keep a thread and a descriptor for good."""
    listener = Listener(introduction=0.2)
    try:
        silent, begun = listener.connect(), listener.connect(msgpack.packb(HEARTBEAT)[:9])
        known = listener.introduce()
        assert is_closed(silent) and is_closed(begun)
        known.sendall(msgpack.packb(["echo", 2, 7]))
        assert read_frame(known) == ["reply", 2, ["b", 7]]
    finally:
        listener.close()


def test_frames_behind_the_introduction_are_handled_whatever_their_size(listener: Listener) -> None:
    """Guards against a bound on the first frame that loses or limits those that follow it."""
    sock = listener.connect(HEARTBEAT, ["echo", 2, 7])
    unpacker = msgpack.Unpacker(raw=False)
    replies: list[Any] = []
    while len(replies) < 2:
        unpacker.feed(sock.recv(65536))
        replies += list(unpacker)
    assert [reply[1] for reply in replies] == [1, 2]
    body = b"x" * 1_000_000
    sock.sendall(msgpack.packb(["echo", 3, body]))
    assert read_frame(sock) == ["reply", 3, ["b", body]]


def test_strangers_in_all_places_do_not_keep_a_host_out(listener: Listener) -> None:
    """Guards against a bound that silent connections reach, so that hosts are refused."""
    strangers = [listener.connect() for _ in range(3 * LIMIT)]
    listener.introduce()
    assert is_closed(strangers[0])
    assert len(listener.links.list_connections()) <= LIMIT
    assert Cause.LINK_WITHOUT_ROOM in listener.causes


def test_links_in_use_are_not_closed_for_a_new_one(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against links of hosts that are closed for strangers, and dead links kept for good."""
    known = [listener.introduce() for _ in range(LIMIT)]
    assert is_closed(listener.connect())
    known[0].sendall(msgpack.packb(["echo", 2, 7]))
    assert read_frame(known[0]) == ["reply", 2, ["b", 7]]
    monkeypatch.setattr(inbound, "IDLE_LINK_SECONDS", 0.0)
    listener.introduce()
    assert is_closed(known[1])
    assert len(listener.links.list_connections()) == LIMIT


def test_accepting_goes_on_after_failures(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a listener whose thread ends when no descriptor or thread is left."""
    failures = [OSError(errno.EMFILE, "no descriptor"), RuntimeError("can't start new thread")]
    start = Connection.start

    def fail_first(connection: Connection) -> None:
        if failures:
            raise failures.pop()
        start(connection)

    monkeypatch.setattr(Connection, "start", fail_first)
    assert is_closed(listener.connect()) and is_closed(listener.connect())
    listener.introduce()
    assert listener.causes.count(Cause.ACCEPT_FAILED) == 2


def test_call_on_a_closed_connection_is_not_reported_as_sent(listener: Listener) -> None:
    """Guards against a call that reports a frame as sent though the connection is closed."""
    sock = socket.create_connection(("127.0.0.1", listener.links.port))
    connection = Connection(sock, lambda _kind, _body: HostName(""), 1.0)
    connection.close()
    sent: list[bool] = []
    refusal = connection.call("echo", 1, 1.0, lambda: sent.append(True))
    assert refusal.code == ResultCode.UPSTREAM_FAILED and not sent
