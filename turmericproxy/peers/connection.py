"""Exchange msgpack frames with another host over a TCP connection."""

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgpack

from turmericproxy.core import ResultCode, read_boottime, refuse
from turmericproxy.peers.introduction import receive_introduction

MAX_FRAME_BYTES = 16 * 1024 * 1024
RECEIVE_CHUNK_BYTES = 64 * 1024
REPLY_KIND = "reply"

FrameHandler = Callable[[str, Any], Any]


@dataclass
class _PendingCall:
    """State of a call that waits for its reply."""

    completed: threading.Event = field(default_factory=threading.Event)
    body: Any = None
    is_answered: bool = False


class Connection:
    """Send and answer calls over one connected socket.

    ``handle`` is called on the reader thread with the kind and body of each received frame; its
    result is sent as the reply. ``send_timeout`` is in seconds. With ``introduction_timeout``, in
    seconds, the connection is closed unless its first frame is a heartbeat that arrives in time;
    ``report_missing`` is then called.
    """

    def __init__(
        self,
        sock: socket.socket,
        handle: FrameHandler,
        send_timeout: float,
        introduction_timeout: float | None = None,
        report_missing: Callable[[], None] = lambda: None,
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(send_timeout)
        self._socket = sock
        self._handle = handle
        self._send_timeout = send_timeout
        self._introduction_timeout = introduction_timeout
        self._report_missing = report_missing
        self.is_introduced = introduction_timeout is None
        self._send_lock = threading.Lock()
        self._call_ids = count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._pending_lock = threading.Lock()
        self._closed = threading.Event()
        self.last_received_at = read_boottime()
        self.sent_bytes = 0

    def start(self) -> None:
        """Start the reader thread."""
        threading.Thread(target=self._read_frames, name="peer-reader", daemon=True).start()

    @property
    def is_closed(self) -> bool:
        """Return whether the connection has been closed."""
        return self._closed.is_set()

    def call(
        self, kind: str, body: Any, timeout: float, on_sent: Callable[[], None] = lambda: None
    ) -> Any:
        """Send a frame and return the body of its reply, or a refusal after ``timeout`` seconds.

        ``on_sent`` is called when the frame has been written to the socket.
        """
        call_id = next(self._call_ids)
        pending = _PendingCall()
        with self._pending_lock:
            self._pending[call_id] = pending
        try:
            if not self.send(kind, body, call_id):
                return refuse(ResultCode.UPSTREAM_FAILED, "the connection to the host is closed")
            on_sent()
            pending.completed.wait(timeout)
        finally:
            with self._pending_lock:
                self._pending.pop(call_id, None)
        if not pending.is_answered:
            return refuse(ResultCode.UPSTREAM_TIMEOUT, "the host did not reply within the timeout")
        return pending.body

    def send(self, kind: str, body: Any, call_id: int = 0) -> bool:
        """Send a frame; return whether it was written to the socket."""
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
        """Close the connection and end all pending calls."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        with self._pending_lock:
            pending_calls = list(self._pending.values())
        for pending in pending_calls:
            pending.completed.set()

    def _read_frames(self) -> None:
        try:
            data = self._receive_introduction()
            if data is not None:
                self._process_received(data)
        finally:
            self.close()

    def _receive_introduction(self) -> bytes | None:
        if self._introduction_timeout is None:
            return b""
        data = receive_introduction(self._socket, self._introduction_timeout)
        if data is None:
            if not self.is_closed:
                self._report_missing()
            return None
        self._socket.settimeout(self._send_timeout)
        self.last_received_at = read_boottime()
        self.is_introduced = True
        return data

    def _process_received(self, data: bytes) -> None:
        """Process the frames in ``data`` and all that follow, until the connection ends."""
        unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_FRAME_BYTES)
        while not self.is_closed:
            try:
                unpacker.feed(data)
                for kind, call_id, body in unpacker:
                    self._process_frame(kind, call_id, body)
            except (ValueError, TypeError, msgpack.UnpackException):
                return
            try:
                data = self._socket.recv(RECEIVE_CHUNK_BYTES)
            except TimeoutError:
                data = b""
                continue
            except OSError:
                return
            if not data:
                return
            self.last_received_at = read_boottime()

    def _process_frame(self, kind: str, call_id: int, body: Any) -> None:
        if kind == REPLY_KIND:
            with self._pending_lock:
                pending = self._pending.get(call_id)
            if pending:
                pending.body = body
                pending.is_answered = True
                pending.completed.set()
            return
        reply = self._handle(kind, body)
        if call_id:
            self.send(REPLY_KIND, reply, call_id)
