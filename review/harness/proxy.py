"""Forward connections to an address, or reset them while the proxy is cut."""

import asyncio
import contextlib


class Proxy:
    """Stand between a host and the store; while ``is_cut``, all connections are reset."""

    def __init__(self) -> None:
        self.target = ""
        self.address = ""
        self.is_cut = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, target: str) -> None:
        """Listen on a free port, and forward to ``target``."""
        self.target = target
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Reset all connections, and those that are made until ``heal``."""
        self.is_cut = True
        for writer in self._writers:
            writer.transport.abort()

    def heal(self) -> None:
        """Forward new connections again."""
        self.is_cut = False

    def close(self) -> None:
        """Stop listening."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            writer.transport.abort()
            return
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        finally:
            self._writers -= pair
            for end in pair:
                end.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()
