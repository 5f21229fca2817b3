"""Exchange msgpack frames with one other host over one TCP connection."""

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgpack

from turmericproxy.core import ResultCode, read_boottime, refuse

FRAME_LIMIT_BYTES = 16 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
REPLY_KIND = "reply"

FrameHandler = Callable[[str, Any], Any]


@dataclass
class _PendingCall:
    """Wait for the reply to one call."""

    arrived: threading.Event = field(default_factory=threading.Event)
    body: Any = None
    is_answered: bool = False


class Connection:
    """Send calls, answer calls and match replies on one connected socket.

    ``handle`` is called on the reader thread with the kind and body of each incoming frame; what
    it returns is sent back as the reply.
    """

    def __init__(self, sock: socket.socket, handle: FrameHandler, send_timeout: float) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(send_timeout)
        self._socket = sock
        self._handle = handle
        self._send_lock = threading.Lock()
        self._call_ids = count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._pending_lock = threading.Lock()
        self._closed = threading.Event()
        self.last_heard = read_boottime()
        self.sent_bytes = 0

    def start(self) -> None:
        """Start the reader thread."""
        threading.Thread(target=self._read_frames, name="peer-reader", daemon=True).start()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has ended."""
        return self._closed.is_set()

    def call(self, kind: str, body: Any, timeout: float) -> Any:
        """Send a frame and return the body of its reply, or a refusal after ``timeout`` seconds."""
        call_id = next(self._call_ids)
        pending = _PendingCall()
        with self._pending_lock:
            self._pending[call_id] = pending
        try:
            if not self.send(kind, body, call_id):
                return refuse(ResultCode.UPSTREAM_FAILED, "the link to the host is closed")
            pending.arrived.wait(timeout)
        finally:
            with self._pending_lock:
                self._pending.pop(call_id, None)
        if not pending.is_answered:
            return refuse(ResultCode.UPSTREAM_TIMEOUT, "the host did not reply in time")
        return pending.body

    def send(self, kind: str, body: Any, call_id: int = 0) -> bool:
        """Send a frame and return whether it was handed to the network."""
        frame = msgpack.packb([kind, call_id, body], use_bin_type=True)
        try:
            with self._send_lock:
                self._socket.sendall(frame)
        except OSError:
            self.close()
            return False
        self.sent_bytes += len(frame)
        return True

    def close(self) -> None:
        """End the connection and every waiting call."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        with self._pending_lock:
            waiting = list(self._pending.values())
        for pending in waiting:
            pending.arrived.set()

    def _read_frames(self) -> None:
        unpacker = msgpack.Unpacker(raw=False, max_buffer_size=FRAME_LIMIT_BYTES)
        while not self.is_closed:
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                break
            if not data:
                break
            self.last_heard = read_boottime()
            try:
                unpacker.feed(data)
                for kind, call_id, body in unpacker:
                    self._take_frame(kind, call_id, body)
            except (ValueError, TypeError, msgpack.UnpackException):
                break
        self.close()

    def _take_frame(self, kind: str, call_id: int, body: Any) -> None:
        if kind == REPLY_KIND:
            with self._pending_lock:
                pending = self._pending.get(call_id)
            if pending:
                pending.body = body
                pending.is_answered = True
                pending.arrived.set()
            return
        reply = self._handle(kind, body)
        if call_id:
            self.send(REPLY_KIND, reply, call_id)
