"""Relay connections to one address, and harm them."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536
# Seconds by which a slow leg delays each chunk.
SLOW_SECONDS = 0.08


class Leg(Enum):
    """Tell what the relay does with bytes."""

    OPEN = "open"
    SLOW = "slow"
    HOLDS_ANSWERS = "holds_answers"
    REFUSES = "refuses"


class Relay:
    """Carry connections to ``target``; set ``leg`` to harm all of them."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._leg = Leg.OPEN
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address that leads to the target."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @property
    def is_calm(self) -> bool:
        """Return whether new connections are carried unharmed."""
        return self._leg is Leg.OPEN

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop, and reset all connections."""
        if self._server:
            self._server.close()
        self.reset()

    def harm(self, leg: Leg) -> None:
        """Change what happens to bytes; what was held goes on once the leg is open."""
        self._leg = leg
        if leg is Leg.REFUSES:
            self.reset()
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Break all connections."""
        for writer in self._open:
            writer.transport.abort()

    def silence(self) -> None:
        """Carry nothing more on the connections that are open now, and leave them open."""
        self._silenced |= self._open

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ip, _, port = self._target.rpartition(":")
        try:
            if self._leg is Leg.REFUSES:
                raise ConnectionRefusedError
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._open |= ends
        try:
            there = asyncio.create_task(self._pump(reader, far_writer, is_answer=False))
            back = asyncio.create_task(self._pump(far_reader, writer, is_answer=True))
            await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
            # A client that leaves takes its connection with it; the rest of an answer comes first.
            await asyncio.wait({back}, timeout=0 if there.done() and not back.done() else None)
            there.cancel()
            back.cancel()
        finally:
            self._open -= ends
            self._silenced -= ends
            for end in ends:
                end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, is_answer: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._leg is Leg.SLOW:
                    await asyncio.sleep(SLOW_SECONDS)
                while self._leg is Leg.HOLDS_ANSWERS and is_answer:
                    await self._changed.wait()
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
