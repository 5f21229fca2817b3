"""Close connections whose clients don't read their answers."""

import asyncio
from collections.abc import Callable

from turmericproxy.core.memory import Holding


class UnsentWatch:
    """Account for the unsent part of an answer, and call ``on_stalled`` if it stays unread.

    An answer is unread if nothing of it could be passed to the kernel for ``seconds``. Without
    room for it in the account, ``on_no_room`` is called.
    """

    def __init__(
        self,
        holding: Holding,
        seconds: float,
        on_stalled: Callable[[], None],
        on_no_room: Callable[[], None],
    ) -> None:
        self._holding = holding
        self._seconds = seconds
        self._on_stalled = on_stalled
        self._on_no_room = on_no_room
        self._timer: asyncio.TimerHandle | None = None
        self._started_at = 0.0
        self.is_active = False

    def measure_seconds(self) -> float:
        """Return for how long the write buffer has been full, in seconds."""
        loop = asyncio.get_running_loop()
        return loop.time() - self._started_at if self.is_active else 0.0

    def start(self, transport: asyncio.Transport) -> None:
        """Begin to watch, since the write buffer is full."""
        self.is_active = True
        self._started_at = asyncio.get_running_loop().time()
        size = transport.get_write_buffer_size()
        if not self._holding.resize(size):
            asyncio.get_running_loop().call_soon(self._on_no_room)
        self._set_timer(transport, size)

    def stop(self) -> None:
        """End the watch, since the write buffer has room, or the connection is closed."""
        self.is_active = False
        self._holding.close()
        if self._timer:
            self._timer.cancel()

    def _set_timer(self, transport: asyncio.Transport, size: int) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._check, transport, size)

    def _check(self, transport: asyncio.Transport, last_size: int) -> None:
        size = transport.get_write_buffer_size()
        if size >= last_size:
            self._on_stalled()
        else:
            self._set_timer(transport, size)
