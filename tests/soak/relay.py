"""Relay connections to one address, and inject network faults into them."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536
# Delay of each chunk in the mode ``SLOW``.
SLOW_SECONDS = 0.08


class RelayMode(Enum):
    """Determine how the relay treats connections and their data."""

    FORWARD = "forward"
    SLOW = "slow"
    HOLD_ANSWERS = "hold_answers"
    REFUSE = "refuse"


class Relay:
    """Relay connections to ``target``; the mode applies to all of them."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = RelayMode.FORWARD
        self._mode_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._blackholed: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address at which the relay listens."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @property
    def is_forwarding(self) -> bool:
        """Return whether new connections are relayed without a fault."""
        return self._mode is RelayMode.FORWARD

    async def start(self) -> None:
        """Listen on a free local port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server:
            self._server.close()
        self.reset()

    def set_mode(self, mode: RelayMode) -> None:
        """Change the mode; answers that were held are sent once the mode is another one."""
        self._mode = mode
        if mode is RelayMode.REFUSE:
            self.reset()
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def blackhole(self) -> None:
        """Discard all further data on the current connections without closing them."""
        self._blackholed |= self._writers

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, _, port = self._target.rpartition(":")
        try:
            if self._mode is RelayMode.REFUSE:
                raise ConnectionRefusedError
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            requests = asyncio.create_task(self._copy(reader, target_writer, is_answer=False))
            answers = asyncio.create_task(self._copy(target_reader, writer, is_answer=True))
            await asyncio.wait({requests, answers}, return_when=asyncio.FIRST_COMPLETED)
            # When the client closes first, the connection to the target is closed at once; when
            # the target closes first, the rest of its answer has been sent.
            await asyncio.wait(
                {answers}, timeout=0 if requests.done() and not answers.done() else None
            )
            requests.cancel()
            answers.cancel()
        finally:
            self._writers -= writers
            self._blackholed -= writers
            for end in writers:
                end.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is RelayMode.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                while self._mode is RelayMode.HOLD_ANSWERS and is_answer:
                    await self._mode_changed.wait()
                if writer in self._blackholed:
                    continue
                writer.write(data)
                await writer.drain()
